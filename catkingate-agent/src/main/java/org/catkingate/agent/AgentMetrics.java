package org.catkingate.agent;

import java.util.concurrent.atomic.LongAdder;
import java.util.function.DoubleSupplier;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

import org.catkingate.agent.idempotency.KeyCounts;
import org.catkingate.agent.requests.AgentRequestHandler;
import org.catkingate.agent.weights.WeightsDistribution;
import org.catkingate.runtime.fleet.Fleet;

/**
 * Metrics of an agent. Stateless.
 */
final class AgentMetrics {

	private AgentMetrics() {
	}

	static PrometheusRegistry of(Fleet fleet, AgentRequestHandler requestHandler, WeightsDistribution weights,
			KeyCounts keys) {
		PrometheusRegistry registry = new PrometheusRegistry();
		JvmMetrics.builder().register(registry);
		registerGauge(registry, "catkingate_requests_in_progress", "Requests in progress", requestHandler::inProgress);
		registerGauge(registry, "catkingate_configuration_revision", "The revision in force",
				() -> fleet.snapshot().configuration().version().revision());
		registerCounter(registry, "catkingate_requests_cancelled", "Requests cancelled by their caller",
				requestHandler.counters().cancelled());
		registerCounter(registry, "catkingate_keys_started", "Calls with an Idempotency-Key that were run",
				keys.started());
		registerCounter(registry, "catkingate_keys_refused", "Calls with an Idempotency-Key refused as not run",
				keys.rejected());
		registerCounter(registry, "catkingate_keys_replayed", "Repeats that got the kept answer", keys.replayed());
		registerCounter(registry, "catkingate_keys_unknown", "Calls whose outcome nobody can tell", keys.unknown());
		registerGauge(registry, "catkingate_weights_memory_bytes", "Memory that weights take",
				() -> weights.progress().usedBytes());
		CounterWithCallback.builder()
			.name("catkingate_weights_received_bytes")
			.help("Bytes of weights received, by source")
			.labelNames("source")
			.callback((callback) -> weights.progress()
				.receivedBytes()
				.forEach((distance, bytes) -> callback.call(bytes, distance.name())))
			.register(registry);
		return registry;
	}

	private static void registerGauge(PrometheusRegistry registry, String name, String help, DoubleSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsDouble()))
			.register(registry);
	}

	private static void registerCounter(PrometheusRegistry registry, String name, String help, LongAdder count) {
		CounterWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(count.sum()))
			.register(registry);
	}

}
