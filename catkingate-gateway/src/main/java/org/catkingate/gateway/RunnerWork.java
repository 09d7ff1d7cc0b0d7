package org.catkingate.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Optional;

import org.catkingate.decisions.admission.RunnerOption;
import org.catkingate.decisions.cost.CallCost;
import org.catkingate.decisions.cost.RunnerBacklog;
import org.catkingate.decisions.cost.SlowdownTracker;
import org.catkingate.decisions.memory.RunnerMemory;
import org.catkingate.decisions.routing.Distance;
import org.catkingate.model.registry.RegisteredRunner;
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

	private final SlowdownTracker slowdown = new SlowdownTracker();

	private boolean slowdownStated;

	private final Deque<Long> pendingSinceMillis = new ArrayDeque<>();

	private final RunnerMemory memory = new RunnerMemory();

	private int responding;

	private int pending;

	private long pendingPromptTokens;

	/** What is expected to be left of the responses to this process. */
	private double remainingLength;

	private int othersResponding;

	private int othersPending;

	private int sentSinceReport;

	private long loadReportAtMillis = Long.MIN_VALUE / 2;

	private double responseStartMillis = DEFAULT_RESPONSE_START_MILLIS;

	/**
	 * Adds a request without an estimate of its cost.
	 * @param promptTokens the length of the prompt, in tokens
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void addPending(long promptTokens, long nowMillis) {
		add(RequestCost.unknown(promptTokens), nowMillis);
	}

	/**
	 * Adds a request that is sent to the runner.
	 * @param cost its cost
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the request, which must be told its progress and its end
	 */
	SentRequest add(RequestCost cost, long nowMillis) {
		this.pendingSinceMillis.addLast(nowMillis);
		this.sentSinceReport++;
		this.pending++;
		SentRequest request = new SentRequest(this, cost, nowMillis);
		this.pendingPromptTokens += request.promptTokens();
		return request;
	}

	void changeRemainingLength(double change) {
		this.remainingLength += change;
	}

	/**
	 * Records the load that the runner states in a response, which unlike that of its
	 * loader includes its slowdown.
	 * @param load the load
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void recordResponseLoad(RunnerLoad load, long nowMillis) {
		recordLoad(load, nowMillis);
		load.slowdown().ifPresent((stated) -> {
			this.slowdownStated = true;
			this.slowdown.record(stated, nowMillis);
		});
	}

	/**
	 * Returns whether the runner states how slow its machine is at the moment.
	 * @return whether it has stated it since it started
	 */
	boolean statesSlowdown() {
		return this.slowdownStated;
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
	 * @param distance its distance from this process
	 * @param circumstances what is known beside its work
	 * @param suspect whether it failed recently
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the option, never null
	 */
	RunnerOption createOption(RegisteredRunner runner, Distance distance, Circumstances circumstances, boolean suspect,
			long nowMillis) {
		boolean recent = nowMillis - this.loadReportAtMillis < LOAD_REPORT_VALID_MILLIS;
		int respondingForOthers = recent ? this.othersResponding : 0;
		double sentByOthers = OTHER_GATEWAY_SHARE * circumstances.otherGateways() * this.sentSinceReport;
		double pendingForOthers = recent ? this.othersPending + sentByOthers : 0;
		return new RunnerOption(runner.id(), distance, runner.slots(), this.responding + respondingForOthers,
				this.pending + pendingForOthers,
				this.pendingPromptTokens + pendingForOthers * circumstances.meanPromptTokens(),
				this.responseStartMillis, suspect || isStalled(nowMillis), circumstances.startWithinMillis(),
				circumstances.cost().map((cost) -> createBacklog(cost, pendingForOthers, nowMillis)));
	}

	/*
	 * Without valid reports, only the requests of this process count.
	 */
	private RunnerBacklog createBacklog(CallCost cost, double pendingForOthers, long nowMillis) {
		long ageMillis = nowMillis - this.loadReportAtMillis;
		boolean recent = ageMillis < LOAD_REPORT_VALID_MILLIS;
		double others = (recent ? this.othersResponding : 0) * cost.typicalRemaining()
				+ pendingForOthers * cost.typicalLength();
		return new RunnerBacklog(Math.max(0, this.remainingLength) + others, this.slowdown.expected(nowMillis),
				this.slowdown.spread(), recent ? ageMillis : Long.MAX_VALUE);
	}

	/**
	 * Describes the work that is left at the runner.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the description, never null
	 */
	String describe(long nowMillis) {
		boolean recent = nowMillis - this.loadReportAtMillis < LOAD_REPORT_VALID_MILLIS;
		return String.format(Locale.ROOT,
				"responding=%d pending=%d prompt-tokens=%d remaining=%.0f others=%s slowdown=%.2f spread=%.2f",
				this.responding, this.pending, this.pendingPromptTokens, this.remainingLength,
				recent ? this.othersResponding + "+" + this.othersPending + " age-ms="
						+ (nowMillis - this.loadReportAtMillis) : "unknown",
				this.slowdown.expected(nowMillis), this.slowdown.spread());
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
	 * @param startWithinMillis the time left in which responses may start there, in
	 * milliseconds
	 * @param cost the expected cost of the call, empty if the choice does not depend on
	 * it
	 */
	record Circumstances(double meanPromptTokens, int otherGateways, long startWithinMillis, Optional<CallCost> cost) {

	}

}
