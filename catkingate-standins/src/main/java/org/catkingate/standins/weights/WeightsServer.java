package org.catkingate.standins.weights;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

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
 * An origin of weights or a weight store; they differ in their options only. Safe for use
 * by any thread.
 *
 * @since 0.1
 */
public final class WeightsServer implements StandIn {

	private final WeightsOptions options;

	private final Map<String, GeneratedWeights> held = new ConcurrentHashMap<>();

	private final TokenBucket link;

	private final TokenBucket requests;

	private final Served served = Served.nothing();

	private final AtomicInteger corrupted = new AtomicInteger();

	private final HttpService service;

	private WeightsServer(WeightsOptions options) {
		this.options = options;
		this.link = new TokenBucket(() -> options.bytesPerSecond);
		this.requests = new TokenBucket(() -> options.requestsPerSecond);
		if (options.weights != null) {
			add(initial(options.weights));
		}
		this.service = HttpService.start(options, routes());
	}

	/**
	 * Starts a server.
	 * @param arguments options as on the command line
	 * @return the running server, never null
	 */
	public static WeightsServer start(String... arguments) {
		return new WeightsServer(ListenOptions.parse(WeightsOptions::new, arguments));
	}

	private static GeneratedWeights initial(String text) {
		String[] fields = text.split("/");
		return GeneratedWeights.of(GeneratedWeights.Shape.of(fields[0], fields[1], Long.parseLong(fields[2]),
				Long.parseLong(fields[3]), Integer.parseInt(fields[4])));
	}

	private RoutingHandler routes() {
		return new RoutingHandler().get("/weights/{model}/{version}/manifest", (exchange) -> guard(exchange, false))
			.get("/weights/{model}/{version}/data", (exchange) -> guard(exchange, true))
			.put("/control/weights", this::putWeights)
			.get("/control/bytes", (exchange) -> HttpService.sendJson(exchange, served()));
	}

	/**
	 * Adds a version, or replaces one of the same name.
	 * @param weights the weights
	 */
	public void add(GeneratedWeights weights) {
		this.held.put(weights.shape().model() + "/" + weights.shape().version(), weights);
	}

	/**
	 * Counts what was served.
	 * @return {@code dataBytes}, {@code manifests}, {@code ranges} and {@code refused}
	 */
	public ObjectNode served() {
		return this.served.toJson();
	}

	private void guard(HttpServerExchange exchange, boolean data) {
		if (this.options.down) {
			HttpService.cut(exchange);
			return;
		}
		if (this.options.refuse || !this.requests.tryTake(1)) {
			this.served.refused().incrementAndGet();
			exchange.getResponseHeaders().put(Headers.RETRY_AFTER, this.options.retryAfterSeconds);
			exchange.setStatusCode(StatusCodes.TOO_MANY_REQUESTS).endExchange();
			return;
		}
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> exchange.getIoThread()
			.executeAfter(() -> answer(exchange, data), this.options.delayMillis, TimeUnit.MILLISECONDS));
	}

	private void answer(HttpServerExchange exchange, boolean data) {
		Optional<GeneratedWeights> weights = find(exchange);
		if (weights.isEmpty()) {
			exchange.setStatusCode(StatusCodes.NOT_FOUND).endExchange();
		}
		else if (data) {
			sendData(exchange, weights.get());
		}
		else {
			this.served.manifests().incrementAndGet();
			exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
			exchange.getResponseSender().send(ByteBuffer.wrap(weights.get().manifest()));
		}
	}

	private Optional<GeneratedWeights> find(HttpServerExchange exchange) {
		String name = HttpService.query(exchange, "model", "") + "/" + HttpService.query(exchange, "version", "");
		return Optional.ofNullable(this.held.get(name));
	}

	private void sendData(HttpServerExchange exchange, GeneratedWeights weights) {
		long total = weights.shape().totalBytes();
		ByteRange range = ByteRange.parse(exchange.getRequestHeaders().getFirst(Headers.RANGE), total);
		if (range.isEmpty()) {
			exchange.setStatusCode(StatusCodes.REQUEST_RANGE_NOT_SATISFIABLE).endExchange();
			return;
		}
		if (range.partial()) {
			exchange.setStatusCode(StatusCodes.PARTIAL_CONTENT);
			exchange.getResponseHeaders()
				.put(Headers.CONTENT_RANGE, "bytes " + range.first() + "-" + range.last() + "/" + total);
		}
		this.served.ranges().incrementAndGet();
		exchange.setResponseContentLength(range.count());
		new PacedBody(exchange, weights, range, this.options, this.link, this.served, corrupts(weights, range)).start();
	}

	private boolean corrupts(GeneratedWeights weights, ByteRange range) {
		long wrong = (long) this.options.corruptChunk * weights.shape().chunkBytes();
		if (this.options.corruptChunk < 0 || wrong < range.first() || wrong > range.last()) {
			return false;
		}
		int limit = this.options.corruptTimes;
		return this.corrupted.getAndIncrement() < limit || limit < 0;
	}

	private void putWeights(HttpServerExchange exchange) {
		long seed = HttpService.queryNumber(exchange, "seed", 1);
		GeneratedWeights.Shape shape = new GeneratedWeights.Shape(HttpService.query(exchange, "model", "model"),
				HttpService.query(exchange, "version", "1"), seed, HttpService.queryNumber(exchange, "base-seed", seed),
				(int) HttpService.queryNumber(exchange, "own-every", 1),
				HttpService.queryNumber(exchange, "bytes", 1 << 20),
				(int) HttpService.queryNumber(exchange, "chunk-bytes", 1 << 16));
		exchange.dispatch(() -> {
			GeneratedWeights weights = GeneratedWeights.of(shape);
			add(weights);
			HttpService.sendJson(exchange,
					HttpService.JSON.createObjectNode()
						.put("manifestSha256", weights.manifestDigest())
						.put("digest", weights.digest()));
		});
	}

	@Override
	public InetSocketAddress address() {
		return this.service.address();
	}

	@Override
	public void configure(String... arguments) {
		this.corrupted.set(0);
		this.options.update(arguments);
	}

	@Override
	public void close() {
		this.service.close();
	}

}
