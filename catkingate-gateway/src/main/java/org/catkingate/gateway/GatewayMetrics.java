package org.catkingate.gateway;

import java.util.Locale;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

import org.catkingate.decisions.sending.SendCondition;

/**
 * The metrics of a gateway. Safe for use by any thread.
 */
final class GatewayMetrics {

	/** Upper bounds of the buckets, dense around the usual goals for response times. */
	private static final double[] BUCKET_BOUNDS_SECONDS = { 0.01, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 2, 5 };

	/** Upper bounds of the buckets for ratios, symmetric around 1. */
	private static final double[] BUCKET_BOUNDS_RATIO = { 0.1, 0.25, 0.5, 0.8, 1.25, 2, 4, 10 };

	private final Counter requests;

	private final Counter retries;

	private final Counter malformed;

	private final Counter leavingRunners;

	private final Counter quarantined;

	private final Counter runnerPauses;

	private final Counter limited;

	private final Counter waits;

	private final Counter unmetConditions;

	private final Counter slowReaders;

	private final Counter withoutMemory;

	private final Counter cutOff;

	private final Gauge inProgress;

	private final Histogram timeToFirstByte;

	private final Histogram total;

	private final Histogram lengthError;

	private final Histogram startError;

	private final Histogram trafficDelay;

	private GatewayMetrics(PrometheusRegistry registry) {
		this.requests = Counter.builder()
			.name("catkingate_gateway_requests")
			.help("Requests by what became of them")
			.labelNames("outcome")
			.register(registry);
		this.retries = Counter.builder()
			.name("catkingate_gateway_repeats")
			.help("Sends beyond the first of a request")
			.register(registry);
		this.malformed = Counter.builder()
			.name("catkingate_gateway_malformed")
			.help("Requests that could not be understood")
			.register(registry);
		this.leavingRunners = Counter.builder()
			.name("catkingate_gateway_runners_leaving")
			.help("Starts of runners that stated in a response that they leave")
			.register(registry);
		this.quarantined = Counter.builder()
			.name("catkingate_gateway_quarantined")
			.help("Requests that were not sent, or not sent again, since they or a part of their prompt may end runners")
			.register(registry);
		this.runnerPauses = Counter.builder()
			.name("catkingate_gateway_runner_pauses")
			.help("Times that runners asked for no requests for a while")
			.register(registry);
		this.limited = Counter.builder()
			.name("catkingate_gateway_limited")
			.help("Requests that were not sent because the limits of all runners were used up")
			.register(registry);
		this.waits = Counter.builder()
			.name("catkingate_gateway_waits")
			.help("Requests that waited before they were sent or rejected, by what for and what became of them")
			.labelNames("cause", "outcome")
			.register(registry);
		this.unmetConditions = Counter.builder()
			.name("catkingate_gateway_unmet_conditions")
			.help("Decisions on requests for which no runner was left, by the condition that most runners did not meet")
			.labelNames("condition")
			.register(registry);
		this.slowReaders = Counter.builder()
			.name("catkingate_gateway_slow_readers_cut")
			.help("Responses cut since their callers did not read, or an event was not completed, and the memory for responses was used up")
			.register(registry);
		this.withoutMemory = Counter.builder()
			.name("catkingate_gateway_requests_without_memory")
			.help("Requests that were rejected since the memory for the bodies of requests was used up")
			.register(registry);
		this.cutOff = Counter.builder()
			.name("catkingate_gateway_requests_cut_off")
			.help("Requests that ended without an outcome, or whose responses were not taken by the callers' connections, by phase")
			.labelNames("phase")
			.register(registry);
		this.inProgress = Gauge.builder()
			.name("catkingate_gateway_requests_in_progress")
			.help("Requests in progress")
			.register(registry);
		this.timeToFirstByte = histogram(registry, "catkingate_gateway_first_byte_seconds",
				"From a request's arrival to the first byte of the answer's body", BUCKET_BOUNDS_SECONDS);
		this.total = histogram(registry, "catkingate_gateway_whole_seconds",
				"From a request's arrival to the end of its answer", BUCKET_BOUNDS_SECONDS);
		this.lengthError = histogram(registry, "catkingate_gateway_length_error_ratio",
				"The length of complete responses in proportion to the estimated mean", BUCKET_BOUNDS_RATIO);
		this.startError = histogram(registry, "catkingate_gateway_start_error_ratio",
				"The time to the start of responses in proportion to the predicted time", BUCKET_BOUNDS_RATIO);
		this.trafficDelay = histogram(registry, "catkingate_gateway_traffic_delay_seconds",
				"By how much the traffic thread runs its periodic tasks too late", BUCKET_BOUNDS_SECONDS);
	}

	static GatewayMetrics registerIn(PrometheusRegistry registry) {
		return new GatewayMetrics(registry);
	}

	private static Histogram histogram(PrometheusRegistry registry, String name, String help, double[] bounds) {
		return Histogram.builder().name(name).help(help).classicOnly().classicUpperBounds(bounds).register(registry);
	}

	void countStarted() {
		this.inProgress.inc();
	}

	void countRetry() {
		this.retries.inc();
	}

	void countMalformed() {
		this.malformed.inc();
	}

	void countRunnerLeaving() {
		this.leavingRunners.inc();
	}

	void countQuarantined() {
		this.quarantined.inc();
	}

	void countRunnerPause() {
		this.runnerPauses.inc();
	}

	void countLimited() {
		this.limited.inc();
	}

	void countWait(String cause, String outcome) {
		this.waits.labelValues(cause, outcome).inc();
	}

	void recordLengthError(double ratio) {
		this.lengthError.observe(ratio);
	}

	void recordStartError(double ratio) {
		this.startError.observe(ratio);
	}

	void recordTrafficDelay(double seconds) {
		this.trafficDelay.observe(seconds);
	}

	void countUnmet(SendCondition condition) {
		this.unmetConditions.labelValues(condition.name().toLowerCase(Locale.ROOT)).inc();
	}

	void countSlowReader() {
		this.slowReaders.inc();
	}

	void countWithoutMemory() {
		this.withoutMemory.inc();
	}

	void countCutOff(String phase) {
		this.cutOff.labelValues(phase).inc();
	}

	void countRejected(String outcome) {
		this.requests.labelValues(outcome).inc();
	}

	void recordFinished(String outcome, long firstByteMillis, long totalMillis) {
		this.inProgress.dec();
		this.requests.labelValues(outcome).inc();
		if (firstByteMillis >= 0) {
			this.timeToFirstByte.observe(firstByteMillis / 1000.0);
		}
		this.total.observe(totalMillis / 1000.0);
	}

	long inProgress() {
		return (long) this.inProgress.get();
	}

}
