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
import org.catkingate.standins.StandIn;
import org.catkingate.standins.StandInOptions;
import org.catkingate.standins.TokenBucket;

/**
 * A stand-in for a model engine. The text that it generates depends only on the prompt
 * and on the digest of the loaded weights. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class Engine implements StandIn {

	private static final int READ_BUFFER_BYTES = 64 * 1024;

	private final EngineComponents components;

	private final TokenBucket loadRateLimit;

	private final HttpService service;

	private Engine(EngineOptions options) {
		this.components = EngineComponents.of(options);
		this.loadRateLimit = new TokenBucket(() -> options.loadBytesPerSecond);
		this.service = HttpService.start(options, routes());
	}

	/**
	 * Starts an engine.
	 * @param arguments options as on the command line
	 * @return the running engine, never null
	 */
	public static Engine start(String... arguments) {
		return new Engine(StandInOptions.parse(EngineOptions::new, arguments));
	}

	private RoutingHandler routes() {
		return new RoutingHandler().post("/v1/completions", HttpService.withBody(this::handleCompletion))
			.delete("/v1/requests/{id}", this::handleCancel)
			.get("/engine/state", this::sendState)
			.put("/engine/weights", this::handleLoad)
			.get("/control/runs", (exchange) -> HttpService.sendJson(exchange, this.components.runs().toJson()));
	}

	/**
	 * Returns the most recent runs that have ended, including cancelled ones.
	 * @return the runs in the order in which they ended, never null
	 */
	public List<EngineRun> runs() {
		return List.of(this.components.runs().endedRuns());
	}

	private void handleCompletion(HttpServerExchange exchange, byte[] body) throws JsonProcessingException {
		if (this.components.options().down) {
			HttpService.closeConnection(exchange);
			return;
		}
		if (this.components.memory().contents().digest() == null) {
			exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE).getResponseSender().send("no weights are held");
			return;
		}
		EngineRequest request = EngineRequest.of(exchange,
				HttpService.JSON.readTree(new String(body, StandardCharsets.UTF_8)));
		Generation generation = new Generation(exchange, request, this.components);
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> admit(exchange, generation));
	}

	private void admit(HttpServerExchange exchange, Generation generation) {
		if (this.components.scheduler().admit(generation)) {
			generation.cancelOnClientDisconnect();
			return;
		}
		exchange.getResponseHeaders().put(Headers.RETRY_AFTER, 1);
		exchange.setStatusCode(StatusCodes.TOO_MANY_REQUESTS).endExchange();
	}

	private void handleCancel(HttpServerExchange exchange) {
		List<Generation> generations = this.components.scheduler()
			.findByRequestId(HttpService.queryParameter(exchange, "id", ""));
		generations.forEach(Generation::cancel);
		exchange.setStatusCode(generations.isEmpty() ? StatusCodes.NOT_FOUND : StatusCodes.NO_CONTENT).endExchange();
	}

	private void sendState(HttpServerExchange exchange) {
		if (this.components.options().down) {
			HttpService.closeConnection(exchange);
			return;
		}
		HttpService.sendJson(exchange, state());
	}

	private ObjectNode state() {
		WeightsMemory.Contents contents = this.components.memory().contents();
		DelayedRequestCounts.RequestCounts counts = this.components.scheduler().reportedCounts();
		return HttpService.JSON.createObjectNode()
			.put("model", contents.model())
			.put("version", contents.version())
			.put("digest", contents.digest())
			.put("fence", contents.fence())
			.put("running", counts.running())
			.put("waiting", counts.waiting());
	}

	private void handleLoad(HttpServerExchange exchange) {
		if (this.components.options().down) {
			HttpService.closeConnection(exchange);
			return;
		}
		WeightsMemory.LoadOperation load = this.components.memory()
			.begin(HttpService.queryParameter(exchange, "model", null),
					HttpService.queryParameter(exchange, "version", null),
					HttpService.numericQueryParameter(exchange, "fence", 0), this.components.options().checksFencing);
		if (load == null) {
			exchange.setStatusCode(StatusCodes.CONFLICT);
			HttpService.sendJson(exchange, state());
			return;
		}
		exchange.dispatch(() -> readWeights(exchange, load));
	}

	private void readWeights(HttpServerExchange exchange, WeightsMemory.LoadOperation load) {
		boolean complete = false;
		try {
			exchange.startBlocking();
			complete = writeToMemory(exchange.getInputStream(), load);
		}
		catch (IOException ex) {
			HttpService.closeConnection(exchange);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		boolean applied = this.components.memory().end(load, complete);
		if (!applied) {
			exchange.setStatusCode(StatusCodes.CONFLICT);
		}
		HttpService.sendJson(exchange, state());
		exchange.endExchange();
	}

	private boolean writeToMemory(InputStream body, WeightsMemory.LoadOperation load)
			throws IOException, InterruptedException {
		byte[] buffer = new byte[READ_BUFFER_BYTES];
		int count = body.read(buffer);
		while (count >= 0) {
			Thread.sleep(this.loadRateLimit.take(count));
			if (!this.components.memory().write(load, buffer, count)) {
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
		this.components.options().update(arguments);
	}

	@Override
	public void close() {
		this.service.close();
	}

}
