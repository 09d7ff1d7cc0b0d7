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
import org.catkingate.standins.StandIn;
import org.catkingate.standins.StandInOptions;
import org.catkingate.standins.TokenBucket;

/**
 * A stand-in for the origin of weights and for the weight store, which differ only in
 * their options. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class WeightsServer implements StandIn {

	private final WeightsOptions options;

	private final Map<String, GeneratedWeights> weightsByName = new ConcurrentHashMap<>();

	private final TokenBucket linkRateLimit;

	private final TokenBucket requestRateLimit;

	private final ServedCounts servedCounts = ServedCounts.create();

	private final AtomicInteger corruptedResponses = new AtomicInteger();

	private final HttpService service;

	private WeightsServer(WeightsOptions options) {
		this.options = options;
		this.linkRateLimit = new TokenBucket(() -> options.bytesPerSecond);
		this.requestRateLimit = new TokenBucket(() -> options.requestsPerSecond);
		if (options.weights != null) {
			add(parseWeights(options.weights));
		}
		this.service = HttpService.start(options, routes());
	}

	/**
	 * Starts a server.
	 * @param arguments options as on the command line
	 * @return the running server, never null
	 */
	public static WeightsServer start(String... arguments) {
		return new WeightsServer(StandInOptions.parse(WeightsOptions::new, arguments));
	}

	private static GeneratedWeights parseWeights(String text) {
		String[] fields = text.split("/");
		return GeneratedWeights.of(GeneratedWeights.Specification.of(fields[0], fields[1], Long.parseLong(fields[2]),
				Long.parseLong(fields[3]), Integer.parseInt(fields[4])));
	}

	private RoutingHandler routes() {
		return new RoutingHandler().get("/weights/{model}/{version}/manifest", (exchange) -> handle(exchange, false))
			.get("/weights/{model}/{version}/data", (exchange) -> handle(exchange, true))
			.put("/control/weights", this::handlePutWeights)
			.get("/control/bytes", (exchange) -> HttpService.sendJson(exchange, servedCounts()));
	}

	/**
	 * Adds a version or replaces the one with the same name.
	 * @param weights the weights
	 */
	public void add(GeneratedWeights weights) {
		this.weightsByName.put(weights.specification().model() + "/" + weights.specification().version(), weights);
	}

	/**
	 * Returns counters of the data sent and the requests rejected.
	 * @return {@code dataBytes}, {@code manifests}, {@code ranges} and {@code refused}
	 */
	public ObjectNode servedCounts() {
		return this.servedCounts.toJson();
	}

	private void handle(HttpServerExchange exchange, boolean data) {
		if (this.options.down) {
			HttpService.closeConnection(exchange);
			return;
		}
		if (this.options.refuse || !this.requestRateLimit.tryTake(1)) {
			this.servedCounts.rejected().incrementAndGet();
			exchange.getResponseHeaders().put(Headers.RETRY_AFTER, this.options.retryAfterSeconds);
			exchange.setStatusCode(StatusCodes.TOO_MANY_REQUESTS).endExchange();
			return;
		}
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> exchange.getIoThread()
			.executeAfter(() -> respond(exchange, data), this.options.delayMillis, TimeUnit.MILLISECONDS));
	}

	private void respond(HttpServerExchange exchange, boolean data) {
		Optional<GeneratedWeights> weights = findWeights(exchange);
		if (weights.isEmpty()) {
			exchange.setStatusCode(StatusCodes.NOT_FOUND).endExchange();
		}
		else if (data) {
			sendData(exchange, weights.get());
		}
		else {
			this.servedCounts.manifests().incrementAndGet();
			exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
			exchange.getResponseSender().send(ByteBuffer.wrap(weights.get().manifest()));
		}
	}

	private Optional<GeneratedWeights> findWeights(HttpServerExchange exchange) {
		String name = HttpService.queryParameter(exchange, "model", "") + "/"
				+ HttpService.queryParameter(exchange, "version", "");
		return Optional.ofNullable(this.weightsByName.get(name));
	}

	private void sendData(HttpServerExchange exchange, GeneratedWeights weights) {
		long total = weights.specification().totalBytes();
		ByteRange range = ByteRange.parse(exchange.getRequestHeaders().getFirst(Headers.RANGE), total);
		if (range.isEmpty()) {
			exchange.setStatusCode(StatusCodes.REQUEST_RANGE_NOT_SATISFIABLE).endExchange();
			return;
		}
		if (range.requested()) {
			exchange.setStatusCode(StatusCodes.PARTIAL_CONTENT);
			exchange.getResponseHeaders()
				.put(Headers.CONTENT_RANGE, "bytes " + range.first() + "-" + range.last() + "/" + total);
		}
		this.servedCounts.dataRequests().incrementAndGet();
		exchange.setResponseContentLength(range.count());
		new RateLimitedBody(exchange, weights, range, this.options, this.linkRateLimit, this.servedCounts,
				countIfCorrupted(weights, range))
			.start();
	}

	private boolean countIfCorrupted(GeneratedWeights weights, ByteRange range) {
		long corruptOffset = (long) this.options.corruptChunk * weights.specification().chunkBytes();
		if (this.options.corruptChunk < 0 || corruptOffset < range.first() || corruptOffset > range.last()) {
			return false;
		}
		int limit = this.options.corruptTimes;
		return this.corruptedResponses.getAndIncrement() < limit || limit < 0;
	}

	private void handlePutWeights(HttpServerExchange exchange) {
		long seed = HttpService.numericQueryParameter(exchange, "seed", 1);
		GeneratedWeights.Specification specification = new GeneratedWeights.Specification(
				HttpService.queryParameter(exchange, "model", "model"),
				HttpService.queryParameter(exchange, "version", "1"), seed,
				HttpService.numericQueryParameter(exchange, "base-seed", seed),
				(int) HttpService.numericQueryParameter(exchange, "own-every", 1),
				HttpService.numericQueryParameter(exchange, "bytes", 1 << 20),
				(int) HttpService.numericQueryParameter(exchange, "chunk-bytes", 1 << 16));
		exchange.dispatch(() -> {
			GeneratedWeights weights = GeneratedWeights.of(specification);
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
		this.corruptedResponses.set(0);
		this.options.update(arguments);
	}

	@Override
	public void close() {
		this.service.close();
	}

}
