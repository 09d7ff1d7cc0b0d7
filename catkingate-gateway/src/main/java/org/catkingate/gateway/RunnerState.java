package org.catkingate.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;

import org.catkingate.decisions.admission.RunnerOption;
import org.catkingate.decisions.routing.Distance;
import org.catkingate.model.ModelName;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.runtime.calls.RunnerLoad;
import org.catkingate.runtime.http.KeptConnections;
import org.catkingate.wire.Runners;

/**
 * What this process knows of one runner beside its registration: the requests that it has
 * there, the load that the runner told, and failures. Used by the traffic thread only.
 */
final class RunnerState {

	/** How long a told load counts, in milliseconds: a few requests' time. */
	private static final long LOAD_REPORT_VALID_MILLIS = 1500;

	/**
	 * How long a loader's word on its runner counts, in milliseconds: several of its
	 * intervals.
	 */
	private static final long LOADER_REPORT_VALID_MILLIS = 2000;

	/**
	 * How long a runner that refused for want of a place gets nothing, in milliseconds.
	 */
	private static final long FULL_BACKOFF_MILLIS = 100;

	/**
	 * How long a runner that failed is used only if no other is left, in milliseconds.
	 */
	private static final long SUSPECT_MILLIS = 1000;

	/**
	 * Failures in a row that make a runner suspect; one may be the request's own fault.
	 */
	private static final int MIN_SUSPECT_FAILURES = 2;

	/**
	 * A runner that has not begun to answer for so long is slow, mute or behind a full
	 * link, in milliseconds: twice the usual goals.
	 */
	private static final long STALL_THRESHOLD_MILLIS = 900;

	/** The weight of the newest observation of a plain service's time. */
	private static final double SMOOTHING_FACTOR = 0.1;

	/** The time of a plain service before any is observed, in milliseconds. */
	private static final double DEFAULT_RESPONSE_START_MILLIS = 80;

	/**
	 * How much of what this gateway sent since the last word on a load each other gateway
	 * is taken to have sent as well: all see the same runner as the best, but for their
	 * distance.
	 */
	private static final double OTHER_GATEWAY_SHARE = 0.5;

	private final KeptConnections connections;

	private final Distance distance;

	private RegisteredRunner runner;

	private Map<ModelName, Long> reportedVersions = Map.of();

	private long loaderReportAtMillis = Long.MIN_VALUE / 2;

	private int responding;

	private int pending;

	private long pendingPromptTokens;

	private final Deque<Long> pendingSinceMillis = new ArrayDeque<>();

	private int othersResponding;

	private int othersPending;

	private int sentSinceReport;

	private long loadReportAtMillis = Long.MIN_VALUE / 2;

	private long fullUntilMillis = Long.MIN_VALUE;

	private long suspectUntilMillis = Long.MIN_VALUE;

	private int failures;

	private double responseStartMillis = DEFAULT_RESPONSE_START_MILLIS;

	RunnerState(RegisteredRunner runner, Distance distance, KeptConnections connections) {
		this.runner = runner;
		this.distance = distance;
		this.connections = connections;
	}

	RegisteredRunner runner() {
		return this.runner;
	}

	void updateRegistration(RegisteredRunner next) {
		this.runner = next;
	}

	KeptConnections connections() {
		return this.connections;
	}

	boolean isFull(long nowMillis) {
		return nowMillis < this.fullUntilMillis;
	}

	void addPending(long promptTokens, long nowMillis) {
		this.pendingSinceMillis.addLast(nowMillis);
		this.sentSinceReport++;
		this.pending++;
		this.pendingPromptTokens += promptTokens;
	}

	void startResponse(long promptTokens, long tookMillis) {
		removePending(promptTokens);
		this.responding++;
		this.failures = 0;
		this.responseStartMillis += SMOOTHING_FACTOR * (tookMillis - this.responseStartMillis);
	}

	void removePending(long promptTokens) {
		// requests begin in about the order in which they were sent
		this.pendingSinceMillis.pollFirst();
		this.pending--;
		this.pendingPromptTokens -= promptTokens;
	}

	void endResponse() {
		this.responding--;
	}

	void recordReport(RunnerLoad load, long nowMillis) {
		this.othersResponding = Math.max(0, load.running() - this.responding);
		this.othersPending = Math.max(0, load.waiting() - this.pending);
		this.sentSinceReport = 0;
		this.loadReportAtMillis = nowMillis;
	}

	/**
	 * Takes the word of the loader beside the runner.
	 * @param told what it says
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void recordReport(Runners.RunnerTold told, long nowMillis) {
		this.reportedVersions = told.loading() ? Map.of() : told.versions();
		this.loaderReportAtMillis = nowMillis;
		recordReport(new RunnerLoad(told.running(), told.waiting()), nowMillis);
	}

	/**
	 * Tells which versions the runner serves now, by its loader's word if that is recent,
	 * else by its registration.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the version of each model
	 */
	Map<ModelName, Long> servedVersions(long nowMillis) {
		return (nowMillis - this.loaderReportAtMillis >= LOADER_REPORT_VALID_MILLIS) ? this.runner.models()
				: this.reportedVersions;
	}

	void recordRejection(long nowMillis) {
		this.fullUntilMillis = nowMillis + FULL_BACKOFF_MILLIS;
	}

	void recordFailure(long nowMillis) {
		this.failures++;
		if (this.failures >= MIN_SUSPECT_FAILURES) {
			this.suspectUntilMillis = nowMillis + SUSPECT_MILLIS;
		}
	}

	RunnerOption createOption(double usualPromptTokens, int otherGateways, long beginWithinMillis, long nowMillis) {
		boolean young = nowMillis - this.loadReportAtMillis < LOAD_REPORT_VALID_MILLIS;
		int others = young ? this.othersResponding : 0;
		double untold = OTHER_GATEWAY_SHARE * otherGateways * this.sentSinceReport;
		double othersWaiting = young ? this.othersPending + untold : 0;
		return new RunnerOption(this.runner.id(), this.distance, this.runner.slots(), this.responding + others,
				this.pending + othersWaiting, this.pendingPromptTokens + othersWaiting * usualPromptTokens,
				this.responseStartMillis, nowMillis < this.suspectUntilMillis || isStalled(nowMillis),
				beginWithinMillis);
	}

	private boolean isStalled(long nowMillis) {
		return !this.pendingSinceMillis.isEmpty()
				&& nowMillis - this.pendingSinceMillis.peekFirst() > STALL_THRESHOLD_MILLIS;
	}

	void close() {
		this.connections.close();
	}

}
