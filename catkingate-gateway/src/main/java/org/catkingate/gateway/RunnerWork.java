package org.catkingate.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

import org.catkingate.decisions.admission.RunnerOption;
import org.catkingate.decisions.memory.RunnerMemory;
import org.catkingate.decisions.routing.Distance;
import org.catkingate.model.RunnerId;
import org.catkingate.runtime.calls.RunnerLoad;

/**
 * The work of one runner as far as this process knows it: the requests that this process
 * has sent, and the load that the runner and its loader report for those of others. Used
 * by the traffic thread only.
 */
final class RunnerWork {

	/**
	 * The time for which a reported load is valid, about the duration of a few requests.
	 */
	private static final long LOAD_REPORT_VALID_MILLIS = 1500;

	/**
	 * The age of the oldest pending request from which a runner counts as stalled: it is
	 * slow, unresponsive, or behind a congested network link. The value is twice the
	 * usual goals.
	 */
	private static final long STALL_THRESHOLD_MILLIS = 900;

	/**
	 * The weight of the newest observation in the average time to the start of a
	 * response, which is used for services without a model engine.
	 */
	private static final double SMOOTHING_FACTOR = 0.1;

	/**
	 * The assumed time to the start of a response of a service without a model engine
	 * before any has been observed.
	 */
	private static final double DEFAULT_RESPONSE_START_MILLIS = 80;

	/**
	 * The requests that each other gateway is assumed to have sent since the last load
	 * report, in proportion to those of this gateway. All gateways see the same load, so
	 * that they prefer the same runner unless its distance from them differs.
	 */
	private static final double OTHER_GATEWAY_SHARE = 0.5;

	private final Deque<Long> pendingSinceMillis = new ArrayDeque<>();

	private final RunnerMemory memory = new RunnerMemory();

	private int responding;

	private int pending;

	private long pendingPromptTokens;

	private int othersResponding;

	private int othersPending;

	private int sentSinceReport;

	private long loadReportAtMillis = Long.MIN_VALUE / 2;

	private double responseStartMillis = DEFAULT_RESPONSE_START_MILLIS;

	void addPending(long promptTokens, long nowMillis) {
		this.pendingSinceMillis.addLast(nowMillis);
		this.sentSinceReport++;
		this.pending++;
		this.pendingPromptTokens += promptTokens;
	}

	void startResponse(long promptTokens, long elapsedMillis) {
		removePending(promptTokens);
		this.responding++;
		this.responseStartMillis += SMOOTHING_FACTOR * (elapsedMillis - this.responseStartMillis);
	}

	void removePending(long promptTokens) {
		// responses start in about the order in which the requests were sent
		this.pendingSinceMillis.pollFirst();
		this.pending--;
		this.pendingPromptTokens -= promptTokens;
	}

	void endResponse() {
		this.responding--;
	}

	RunnerMemory memory() {
		return this.memory;
	}

	void recordLoad(RunnerLoad load, long nowMillis) {
		this.memory.recordRequests(load.running() + load.waiting(), nowMillis);
		this.othersResponding = Math.max(0, load.running() - this.responding);
		this.othersPending = Math.max(0, load.waiting() - this.pending);
		this.sentSinceReport = 0;
		this.loadReportAtMillis = nowMillis;
	}

	/**
	 * Describes the runner for the choice of a runner.
	 * @param runner the runner
	 * @param slots the number of requests that it runs at the same time
	 * @param distance its distance from this process
	 * @param circumstances what is known beside its work
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the option, never null
	 */
	RunnerOption createOption(RunnerId runner, int slots, Distance distance, Circumstances circumstances,
			long nowMillis) {
		boolean recent = nowMillis - this.loadReportAtMillis < LOAD_REPORT_VALID_MILLIS;
		int respondingForOthers = recent ? this.othersResponding : 0;
		double sentByOthers = OTHER_GATEWAY_SHARE * circumstances.otherGateways() * this.sentSinceReport;
		double pendingForOthers = recent ? this.othersPending + sentByOthers : 0;
		return new RunnerOption(runner, distance, slots, this.responding + respondingForOthers,
				this.pending + pendingForOthers,
				this.pendingPromptTokens + pendingForOthers * circumstances.meanPromptTokens(),
				this.responseStartMillis, circumstances.suspect() || isStalled(nowMillis),
				circumstances.startWithinMillis());
	}

	private boolean isStalled(long nowMillis) {
		return !this.pendingSinceMillis.isEmpty()
				&& nowMillis - this.pendingSinceMillis.peekFirst() > STALL_THRESHOLD_MILLIS;
	}

	/**
	 * What is known beside the work of a runner.
	 *
	 * @param meanPromptTokens the mean length of prompts of the service, in tokens
	 * @param otherGateways the number of other gateways
	 * @param suspect whether the runner failed recently
	 * @param startWithinMillis the time left in which responses may start there, in
	 * milliseconds
	 */
	record Circumstances(double meanPromptTokens, int otherGateways, boolean suspect, long startWithinMillis) {

	}

}
