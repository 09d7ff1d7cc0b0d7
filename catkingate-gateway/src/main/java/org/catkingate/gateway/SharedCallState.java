package org.catkingate.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.IntSupplier;

import org.catkingate.decisions.admission.AdmissionDecision;
import org.catkingate.decisions.admission.AdmissionPolicies;
import org.catkingate.decisions.admission.CallDescription;
import org.catkingate.decisions.admission.PredictionCorrection;
import org.catkingate.decisions.retries.RetryAllowance;
import org.catkingate.decisions.retries.SlidingWindowCounter;
import org.catkingate.decisions.shutdown.ResponseDurations;
import org.catkingate.model.ModelName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.CallKind;
import org.catkingate.model.registry.EngineProfile;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.calls.HeaderCodec;

/**
 * The state and services that all calls of one gateway share. Used by the traffic thread
 * only, except for the metrics.
 */
final class SharedCallState {

	private final Map<ServiceName, ServiceUsage> usages = new HashMap<>();

	private final Map<ServiceName, PredictionCorrection> predictionCorrections = new HashMap<>();

	private final RunnerTable runners;

	private final HeaderCodec codec;

	private final RetryAllowance retryAllowance;

	private final IntSupplier gatewayCount;

	private final IntSupplier assumedGatewayCount;

	private final MonotonicClock clock;

	private final GatewayMetrics metrics;

	private final PromptGuard prompts;

	private final ServiceCompetitions competitions;

	private final WaitingCalls waitingCalls;

	private final RequestCosts costs;

	private final ResponseMemory responseMemory;

	private final ShutdownState shutdownState;

	/**
	 * Creates the state, without any calls.
	 * @param runners the runners
	 * @param codec reads and writes the headers of calls
	 * @param retryAllowance the retries that all gateways together may make
	 * @param gatewayCount counts the known gateways, including this one
	 * @param assumedGatewayCount counts the gateways that may share the allowance; an
	 * estimate that errs on the high side
	 * @param clock the clock
	 * @param metrics the metrics
	 * @param prompts detects parts of prompts that crash runners
	 * @param costs estimates the cost of calls
	 * @param responseMemory bounds what is held of responses
	 * @param shutdownState the shutdown of the process
	 */
	SharedCallState(RunnerTable runners, HeaderCodec codec, RetryAllowance retryAllowance, IntSupplier gatewayCount,
			IntSupplier assumedGatewayCount, MonotonicClock clock, GatewayMetrics metrics, PromptGuard prompts,
			RequestCosts costs, ResponseMemory responseMemory, ShutdownState shutdownState) {
		this.runners = runners;
		this.codec = codec;
		this.retryAllowance = retryAllowance;
		this.gatewayCount = gatewayCount;
		this.assumedGatewayCount = assumedGatewayCount;
		this.clock = clock;
		this.metrics = metrics;
		this.prompts = prompts;
		this.competitions = new ServiceCompetitions(runners::configuration);
		this.waitingCalls = new WaitingCalls(this.competitions, runners::servesInMillis, clock);
		this.costs = costs;
		this.responseMemory = responseMemory;
		this.shutdownState = shutdownState;
	}

	HeaderCodec codec() {
		return this.codec;
	}

	MonotonicClock clock() {
		return this.clock;
	}

	GatewayMetrics metrics() {
		return this.metrics;
	}

	PromptGuard prompts() {
		return this.prompts;
	}

	RunnerTable runners() {
		return this.runners;
	}

	AdmissionDecision decide(CallDescription call, Set<RunnerId> triedRunners) {
		return this.runners.decide(call, triedRunners, this.gatewayCount.getAsInt() - 1,
				ThreadLocalRandom.current().nextDouble(), this.clock.millis());
	}

	/**
	 * Estimates the cost of a call.
	 * @param request the call
	 * @return the cost, never null
	 */
	RequestCost estimateCost(AdmittedRequest request) {
		return this.costs.estimate(request, this.runners.engine(request.service()),
				() -> this.runners.stateSlowdown(request.service()));
	}

	/**
	 * Returns the remaining time for requests to start on given versions.
	 * @param service the service
	 * @param serving the version of each model
	 * @return the time in milliseconds, 0 or less if it has elapsed
	 */
	long startWithinMillis(ServiceName service, Map<ModelName, Long> serving) {
		return this.runners.startWithinMillis(service, serving, this.clock.millis());
	}

	/**
	 * Counts a call to a service, which increases the number of retries that the
	 * allowance permits.
	 * @param service the service
	 */
	void countCall(ServiceName service) {
		usage(service).calls().add(this.clock.millis());
	}

	/**
	 * Counts one retry of a call to a service if the allowance permits it.
	 * @param service the service
	 * @return whether the retry is allowed
	 */
	boolean acquireRetry(ServiceName service) {
		long now = this.clock.millis();
		ServiceUsage usage = usage(service);
		if (!this.retryAllowance.allows(usage.calls().count(now), usage.retries().count(now),
				this.assumedGatewayCount.getAsInt())) {
			return false;
		}
		usage.retries().add(now);
		this.metrics.countRetry();
		return true;
	}

	/**
	 * Records that a call that has waited for runners to load is sent.
	 * @param service the service
	 */
	void recordRelease(ServiceName service) {
		double intervalMillis = this.runners.engine(service).map(EngineProfile::completionIntervalMillis).orElse(0.0);
		this.competitions.of(service, this.clock.millis())
			.recordRelease(intervalMillis, this.runners.count(service), this.gatewayCount.getAsInt(),
					this.clock.millis());
	}

	ServiceCompetitions competitions() {
		return this.competitions;
	}

	WaitingCalls waitingCalls() {
		return this.waitingCalls;
	}

	ResponseMemory responseMemory() {
		return this.responseMemory;
	}

	/**
	 * Returns whether a request may be sent to a runner, as far as a shutdown of this
	 * process is concerned.
	 * @param request the request
	 * @return whether its response is expected to end in time
	 */
	boolean allowsSending(AdmittedRequest request) {
		return this.shutdownState.schedule()
			.map((schedule) -> schedule.allows(request.deadlineMillis(), likelyMillis(request), this.clock.millis()))
			.orElse(true);
	}

	/*
	 * Without recent responses, a plain one is expected within its goal, and a stream,
	 * whose goal is its first event, may take all of its time.
	 */
	private long likelyMillis(AdmittedRequest request) {
		long unobservedMillis = (request.route().kind() == CallKind.STREAM) ? request.route().timeoutMillis()
				: request.route().goalMillis();
		return usage(request.service()).durations().likelyMillis(this.clock.millis()).orElse(unobservedMillis);
	}

	/**
	 * Returns when a caller should come back that is rejected since this process shuts
	 * down.
	 * @return the delay in milliseconds
	 */
	long shutdownRetryAfterMillis() {
		return (this.gatewayCount.getAsInt() > 1)
				? AdmissionPolicies.retryElsewhereAfterMillis(ThreadLocalRandom.current().nextDouble())
				: RejectionWriter.DEFAULT_RETRY_AFTER_MILLIS;
	}

	/**
	 * Records a successful response.
	 * @param service the service
	 * @param durationMillis the time since the request was sent to its runner, in
	 * milliseconds
	 */
	void recordDuration(ServiceName service, long durationMillis) {
		usage(service).durations().record(durationMillis, this.clock.millis());
	}

	ShutdownState shutdownState() {
		return this.shutdownState;
	}

	/**
	 * Returns the factor that corrects predictions for a service.
	 * @param service the service
	 * @return the observed time to the start of responses in proportion to the predicted
	 */
	double correctionFactor(ServiceName service) {
		return this.predictionCorrections.getOrDefault(service, PredictionCorrection.none()).factor();
	}

	/**
	 * Records the start of a response, which adjusts later predictions.
	 * @param service the service
	 * @param predictedMillis the predicted time to the start, in milliseconds
	 * @param observedMillis the observed time, in milliseconds
	 */
	void recordResponseStart(ServiceName service, double predictedMillis, long observedMillis) {
		this.metrics.recordStartError(observedMillis / Math.max(1, predictedMillis));
		this.predictionCorrections.merge(service,
				PredictionCorrection.none().withObservation(predictedMillis, observedMillis),
				(previous, first) -> previous.withObservation(predictedMillis, observedMillis));
	}

	private ServiceUsage usage(ServiceName service) {
		return this.usages.computeIfAbsent(service,
				(name) -> new ServiceUsage(SlidingWindowCounter.create(this.retryAllowance.windowMillis()),
						SlidingWindowCounter.create(this.retryAllowance.windowMillis()), new ResponseDurations()));
	}

	/**
	 * The use of a service.
	 *
	 * @param calls the calls to it within the current window
	 * @param retries the retries of these calls
	 * @param durations the durations of its responses
	 */
	private record ServiceUsage(SlidingWindowCounter calls, SlidingWindowCounter retries, ResponseDurations durations) {

	}

}
