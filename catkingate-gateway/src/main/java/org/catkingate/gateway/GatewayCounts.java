package org.catkingate.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The counters and histograms of a gateway. Safe for use by any thread.
 */
final class GatewayCounts {

	/** Upper bounds in seconds, close together around the usual goals. */
	private static final double[] BOUNDS = { 0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 2, 5 };

	private final Counter requests;

	private final Counter repeats;

	private final Counter malformed;

	private final Gauge inProgress;

	private final Histogram firstByte;

	private final Histogram whole;

	private GatewayCounts(PrometheusRegistry registry) {
		this.requests = Counter.builder()
			.name("catkingate_gateway_requests")
			.help("Requests by what became of them")
			.labelNames("outcome")
			.register(registry);
		this.repeats = Counter.builder()
			.name("catkingate_gateway_repeats")
			.help("Sends beyond the first of a request")
			.register(registry);
		this.malformed = Counter.builder()
			.name("catkingate_gateway_malformed")
			.help("Requests that could not be understood")
			.register(registry);
		this.inProgress = Gauge.builder()
			.name("catkingate_gateway_requests_in_progress")
			.help("Requests in progress")
			.register(registry);
		this.firstByte = histogram(registry, "catkingate_gateway_first_byte_seconds",
				"From a request's arrival to the first byte of the answer's body");
		this.whole = histogram(registry, "catkingate_gateway_whole_seconds",
				"From a request's arrival to the end of its answer");
	}

	static GatewayCounts in(PrometheusRegistry registry) {
		return new GatewayCounts(registry);
	}

	private static Histogram histogram(PrometheusRegistry registry, String name, String help) {
		return Histogram.builder().name(name).help(help).classicOnly().classicUpperBounds(BOUNDS).register(registry);
	}

	void started() {
		this.inProgress.inc();
	}

	void repeated() {
		this.repeats.inc();
	}

	void malformed() {
		this.malformed.inc();
	}

	void refused(String outcome) {
		this.requests.labelValues(outcome).inc();
	}

	void finished(String outcome, long firstMillis, long wholeMillis) {
		this.inProgress.dec();
		this.requests.labelValues(outcome).inc();
		if (firstMillis >= 0) {
			this.firstByte.observe(firstMillis / 1000.0);
		}
		this.whole.observe(wholeMillis / 1000.0);
	}

	long inProgress() {
		return (long) this.inProgress.get();
	}

}
