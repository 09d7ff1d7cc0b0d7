package org.catkingate.runtime.http;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The metrics of the connections of callers. Stateless.
 *
 * @since 0.1
 */
public final class CallerConnectionMetrics {

	private CallerConnectionMetrics() {
	}

	/**
	 * Registers the metrics.
	 * @param limit the connections
	 * @param metrics the registry of metrics
	 */
	public static void register(CallerConnectionLimit limit, PrometheusRegistry metrics) {
		GaugeWithCallback.builder()
			.name("catkingate_caller_connections")
			.help("Open connections of callers")
			.callback((callback) -> callback.call(limit.size()))
			.register(metrics);
		CounterWithCallback.builder()
			.name("catkingate_caller_connections_closed")
			.help("Connections of callers that were closed for want of room, by reason")
			.labelNames("reason")
			.callback((callback) -> limit.closedCounts().forEach((reason, count) -> callback.call(count, reason)))
			.register(metrics);
	}

}
