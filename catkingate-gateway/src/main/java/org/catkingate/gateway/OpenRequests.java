package org.catkingate.gateway;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;

import org.catkingate.runtime.MonotonicClock;

/**
 * The requests in progress. Each request whose outcome has not been logged when it ends,
 * and each whose response the caller's connection has not taken, is logged as cut off.
 * Requests are tracked by the traffic thread; the rest is safe for use by any thread, so
 * that it also works while the traffic thread does not respond.
 */
final class OpenRequests {

	private static final AttachmentKey<OpenRequest> LATEST = AttachmentKey.create(OpenRequest.class);

	private final Set<OpenRequest> requests = ConcurrentHashMap.newKeySet();

	private final LongAdder arrivedInShutdown = new LongAdder();

	private final ShutdownState shutdownState;

	private final GatewayMetrics metrics;

	private final MonotonicClock clock;

	OpenRequests(ShutdownState shutdownState, GatewayMetrics metrics, MonotonicClock clock) {
		this.shutdownState = shutdownState;
		this.metrics = metrics;
		this.clock = clock;
	}

	/**
	 * Tracks a request until its response has been handed over or its connection closes.
	 * @param exchange the exchange of the request
	 */
	void track(HttpServerExchange exchange) {
		long now = this.clock.millis();
		OpenRequest request = new OpenRequest(exchange, now, this.shutdownState.sinceStartMillis(now), this::logCutOff,
				this.requests::remove);
		request.inShutdownMillis().ifPresent((millis) -> this.arrivedInShutdown.increment());
		this.requests.add(request);
		ServerConnection connection = exchange.getConnection();
		if (connection.putAttachment(LATEST, request) == null) {
			connection.addCloseListener((closed) -> closed.getAttachment(LATEST).handleClose());
		}
		exchange.addExchangeCompleteListener((completed, next) -> {
			request.handleExchangeEnd();
			next.proceed();
		});
	}

	private void logCutOff(OpenRequest request, String reason) {
		this.metrics.countCutOff(request.phase().text());
		RequestLog.writeCutOff(request, reason, this.clock.millis() - request.arrivedAtMillis());
	}

	/**
	 * Logs the requests in progress as cut off by the end of the process.
	 */
	void cutOffAll() {
		this.requests.forEach((request) -> request.cutOff("process-ended"));
	}

	/**
	 * Counts the requests in progress.
	 * @return the number by phase, without phases that no request is in
	 */
	Map<String, Long> countByPhase() {
		Map<String, Long> counts = new TreeMap<>();
		this.requests.forEach((request) -> counts.merge(request.phase().text(), 1L, Long::sum));
		return counts;
	}

	/**
	 * Returns the number of requests that have arrived since the shutdown began.
	 * @return the number
	 */
	long arrivedInShutdown() {
		return this.arrivedInShutdown.sum();
	}

}
