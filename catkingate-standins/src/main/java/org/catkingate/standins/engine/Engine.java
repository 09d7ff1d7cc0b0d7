package org.catkingate.standins.engine;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;

import org.catkingate.standins.HttpService;
import org.catkingate.standins.ListenOptions;
import org.catkingate.standins.StandIn;
import org.catkingate.standins.TokenBucket;

/**
 * A model engine that generates text from nothing but prompt and weights. Safe for use by
 * any thread.
 *
 * @since 0.1
 */
public final class Engine implements StandIn {

	private static final int READ_BYTES = 64 * 1024;

	private final EngineParts parts;

	private final TokenBucket loadRate;

	private final HttpService service;

	private Engine(EngineOptions options) {
		this.parts = EngineParts.of(options);
		this.loadRate = new TokenBucket(() -> options.loadBytesPerSecond);
		this.service = HttpService.start(options, routes());
	}

	/**
	 * Starts an engine.
	 * @param arguments options as on the command line
	 * @return the running engine, never null
	 */
	public static Engine start(String... arguments) {
		return new Engine(ListenOptions.parse(EngineOptions::new, arguments));
	}

	private RoutingHandler routes() {
		return new RoutingHandler().post("/v1/completions", HttpService.withBody(this::complete))
			.delete("/v1/requests/{id}", this::cancel)
			.get("/engine/state", this::sendState)
			.put("/engine/weights", this::load)
			.get("/control/runs", (exchange) -> HttpService.sendJson(exchange, this.parts.runs().toJson()));
	}

	/**
	 * Returns the runs that have ended.
	 * @return the runs, in the order of their ends, never null
	 */
	public List<EngineRun> runs() {
		return List.of(this.parts.runs().all());
	}

	private void complete(HttpServerExchange exchange, byte[] body) throws JsonProcessingException {
		if (this.parts.options().down) {
			HttpService.cut(exchange);
			return;
		}
		if (this.parts.memory().contents().digest() == null) {
			exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE).getResponseSender().send("no weights are held");
			return;
		}
		EngineRequest request = EngineRequest.of(exchange,
				HttpService.JSON.readTree(new String(body, StandardCharsets.UTF_8)));
		Generation generation = new Generation(exchange, request, this.parts);
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> admit(exchange, generation));
	}

	private void admit(HttpServerExchange exchange, Generation generation) {
		if (this.parts.batch().admit(generation)) {
			generation.watch();
			return;
		}
		exchange.getResponseHeaders().put(Headers.RETRY_AFTER, 1);
		exchange.setStatusCode(StatusCodes.TOO_MANY_REQUESTS).endExchange();
	}

	private void cancel(HttpServerExchange exchange) {
		List<Generation> found = this.parts.batch().find(HttpService.query(exchange, "id", ""));
		found.forEach(Generation::cancel);
		exchange.setStatusCode(found.isEmpty() ? StatusCodes.NOT_FOUND : StatusCodes.NO_CONTENT).endExchange();
	}

	private void sendState(HttpServerExchange exchange) {
		if (this.parts.options().down) {
			HttpService.cut(exchange);
			return;
		}
		HttpService.sendJson(exchange, state());
	}

	private ObjectNode state() {
		WeightsMemory.Contents contents = this.parts.memory().contents();
		LaggedLoad.Load load = this.parts.batch().load();
		return HttpService.JSON.createObjectNode()
			.put("model", contents.model())
			.put("version", contents.version())
			.put("digest", contents.digest())
			.put("fence", contents.fence())
			.put("running", load.running())
			.put("waiting", load.waiting());
	}

	private void load(HttpServerExchange exchange) {
		if (this.parts.options().down) {
			HttpService.cut(exchange);
			return;
		}
		WeightsMemory.Load load = this.parts.memory()
			.begin(HttpService.query(exchange, "model", null), HttpService.query(exchange, "version", null),
					HttpService.queryNumber(exchange, "fence", 0), this.parts.options().checksFencing);
		if (load == null) {
			exchange.setStatusCode(StatusCodes.CONFLICT);
			HttpService.sendJson(exchange, state());
			return;
		}
		exchange.dispatch(() -> readWeights(exchange, load));
	}

	private void readWeights(HttpServerExchange exchange, WeightsMemory.Load load) {
		boolean whole = false;
		try {
			exchange.startBlocking();
			whole = copy(exchange.getInputStream(), load);
		}
		catch (IOException ex) {
			HttpService.cut(exchange);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		boolean applied = this.parts.memory().end(load, whole);
		if (!applied) {
			exchange.setStatusCode(StatusCodes.CONFLICT);
		}
		HttpService.sendJson(exchange, state());
		exchange.endExchange();
	}

	private boolean copy(InputStream body, WeightsMemory.Load load) throws IOException, InterruptedException {
		byte[] buffer = new byte[READ_BYTES];
		int count = body.read(buffer);
		while (count >= 0) {
			Thread.sleep(this.loadRate.take(count));
			if (!this.parts.memory().write(load, buffer, count)) {
				return false;
			}
			count = body.read(buffer);
		}
		return true;
	}

	@Override
	public InetSocketAddress address() {
		return this.service.address();
	}

	@Override
	public void configure(String... arguments) {
		this.parts.options().update(arguments);
	}

	@Override
	public void close() {
		this.service.close();
	}

}
