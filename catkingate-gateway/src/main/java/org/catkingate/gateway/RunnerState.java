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
	private static final long LOAD_MILLIS = 1500;

	/**
	 * How long a loader's word on its runner counts, in milliseconds: several of its
	 * intervals.
	 */
	private static final long WORD_MILLIS = 2000;

	/**
	 * How long a runner that refused for want of a place gets nothing, in milliseconds.
	 */
	private static final long FULL_MILLIS = 100;

	/**
	 * How long a runner that failed is used only if no other is left, in milliseconds.
	 */
	private static final long SUSPECT_MILLIS = 1000;

	/**
	 * Failures in a row that make a runner suspect; one may be the request's own fault.
	 */
	private static final int SUSPECT_FAILURES = 2;

	/**
	 * A runner that has not begun to answer for so long is slow, mute or behind a full
	 * link, in milliseconds: twice the usual goals.
	 */
	private static final long STALLED_MILLIS = 900;

	/** The weight of the newest observation of a plain service's time. */
	private static final double NEWEST = 0.1;

	/** The time of a plain service before any is observed, in milliseconds. */
	private static final double FIRST_WORK_MILLIS = 80;

	/**
	 * How much of what this gateway sent since the last word on a load each other gateway
	 * is taken to have sent as well: all see the same runner as the best, but for their
	 * distance.
	 */
	private static final double OTHERS_ALIKE = 0.5;

	private final KeptConnections connections;

	private final Distance distance;

	private RegisteredRunner runner;

	private Map<ModelName, Long> toldToServe = Map.of();

	private long wordAtMillis = Long.MIN_VALUE / 2;

	private int answering;

	private int starting;

	private long startingPromptTokens;

	private final Deque<Long> startedAtMillis = new ArrayDeque<>();

	private int othersAnswering;

	private int othersStarting;

	private int sentSinceTold;

	private long toldAtMillis = Long.MIN_VALUE / 2;

	private long fullUntilMillis = Long.MIN_VALUE;

	private long suspectUntilMillis = Long.MIN_VALUE;

	private int failures;

	private double workMillis = FIRST_WORK_MILLIS;

	RunnerState(RegisteredRunner runner, Distance distance, KeptConnections connections) {
		this.runner = runner;
		this.distance = distance;
		this.connections = connections;
	}

	RegisteredRunner runner() {
		return this.runner;
	}

	void changed(RegisteredRunner next) {
		this.runner = next;
	}

	KeptConnections connections() {
		return this.connections;
	}

	boolean isFull(long nowMillis) {
		return nowMillis < this.fullUntilMillis;
	}

	void started(long promptTokens, long nowMillis) {
		this.startedAtMillis.addLast(nowMillis);
		this.sentSinceTold++;
		this.starting++;
		this.startingPromptTokens += promptTokens;
	}

	void begun(long promptTokens, long tookMillis) {
		notStarting(promptTokens);
		this.answering++;
		this.failures = 0;
		this.workMillis += NEWEST * (tookMillis - this.workMillis);
	}

	void notStarting(long promptTokens) {
		// requests begin in about the order in which they were sent
		this.startedAtMillis.pollFirst();
		this.starting--;
		this.startingPromptTokens -= promptTokens;
	}

	void ended() {
		this.answering--;
	}

	void told(RunnerLoad load, long nowMillis) {
		this.othersAnswering = Math.max(0, load.running() - this.answering);
		this.othersStarting = Math.max(0, load.waiting() - this.starting);
		this.sentSinceTold = 0;
		this.toldAtMillis = nowMillis;
	}

	/**
	 * Takes the word of the loader beside the runner.
	 * @param told what it says
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void told(Runners.RunnerTold told, long nowMillis) {
		this.toldToServe = told.loading() ? Map.of() : told.versions();
		this.wordAtMillis = nowMillis;
		told(new RunnerLoad(told.running(), told.waiting()), nowMillis);
	}

	/**
	 * Tells which versions the runner serves now, by its loader's word if that is recent,
	 * else by its registration.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the version of each model
	 */
	Map<ModelName, Long> serving(long nowMillis) {
		return (nowMillis - this.wordAtMillis >= WORD_MILLIS) ? this.runner.models() : this.toldToServe;
	}

	void refused(long nowMillis) {
		this.fullUntilMillis = nowMillis + FULL_MILLIS;
	}

	void failed(long nowMillis) {
		this.failures++;
		if (this.failures >= SUSPECT_FAILURES) {
			this.suspectUntilMillis = nowMillis + SUSPECT_MILLIS;
		}
	}

	RunnerOption option(double usualPromptTokens, int otherGateways, long beginWithinMillis, long nowMillis) {
		boolean young = nowMillis - this.toldAtMillis < LOAD_MILLIS;
		int others = young ? this.othersAnswering : 0;
		double untold = OTHERS_ALIKE * otherGateways * this.sentSinceTold;
		double othersWaiting = young ? this.othersStarting + untold : 0;
		return new RunnerOption(this.runner.id(), this.distance, this.runner.slots(), this.answering + others,
				this.starting + othersWaiting, this.startingPromptTokens + othersWaiting * usualPromptTokens,
				this.workMillis, nowMillis < this.suspectUntilMillis || isStalled(nowMillis), beginWithinMillis);
	}

	private boolean isStalled(long nowMillis) {
		return !this.startedAtMillis.isEmpty() && nowMillis - this.startedAtMillis.peekFirst() > STALLED_MILLIS;
	}

	void close() {
		this.connections.close();
	}

}
