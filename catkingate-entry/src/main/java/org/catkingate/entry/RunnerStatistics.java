package org.catkingate.entry;

import org.catkingate.decisions.routing.ObservedLoad;

/**
 * Statistics of this entry's requests to one runner. Immutable.
 *
 * @param inFlight the number of requests in flight
 * @param awaitingHead the number of them that have no response head yet
 * @param stalledSinceMillis the time since which requests have been awaiting a head while
 * no response has started, in milliseconds of the monotonic clock
 * @param penalty the surcharge for failures, in requests, at {@code penaltyAtMillis}
 * @param penaltyAtMillis the time at which the penalty was last raised, in milliseconds
 * of the monotonic clock
 * @param headLatencyMillis the moving average of the time until responses started, in
 * milliseconds
 * @param headLatencyAtMillis the time at which the last response started, in milliseconds
 * of the monotonic clock
 */
record RunnerStatistics(int inFlight, int awaitingHead, long stalledSinceMillis, double penalty, long penaltyAtMillis,
		double headLatencyMillis, long headLatencyAtMillis) {

	/** The penalty that a failure adds, in requests. */
	private static final double PENALTY_PER_FAILURE = 16;

	/** The maximum penalty, in requests. */
	private static final double MAX_PENALTY = 256;

	private static final double PENALTY_HALF_LIFE_MILLIS = 2000;

	private static final double HEAD_LATENCY_HALF_LIFE_MILLIS = 5000;

	/** The weight of the newest latency in the moving average. */
	private static final double NEWEST_LATENCY_WEIGHT = 0.2;

	/** The penalty below which statistics can be discarded, in requests. */
	private static final double NEGLIGIBLE_PENALTY = 0.05;

	static final RunnerStatistics UNUSED = new RunnerStatistics(0, 0, 0, 0, 0, 0, 0);

	ObservedLoad loadAt(long nowMillis) {
		double stalled = (this.awaitingHead > 0) ? nowMillis - this.stalledSinceMillis : 0;
		return new ObservedLoad(this.inFlight, decayedPenaltyAt(nowMillis),
				Math.max(stalled, decayedHeadLatencyAt(nowMillis)));
	}

	RunnerStatistics withRequestStarted(long nowMillis) {
		long since = (this.awaitingHead == 0) ? nowMillis : this.stalledSinceMillis;
		return new RunnerStatistics(this.inFlight + 1, this.awaitingHead + 1, since, this.penalty, this.penaltyAtMillis,
				this.headLatencyMillis, this.headLatencyAtMillis);
	}

	RunnerStatistics withResponseStarted(long latencyMillis, long nowMillis) {
		double mean = (this.headLatencyMillis == 0) ? latencyMillis
				: this.headLatencyMillis + NEWEST_LATENCY_WEIGHT * (latencyMillis - this.headLatencyMillis);
		return new RunnerStatistics(this.inFlight, this.awaitingHead - 1, nowMillis, this.penalty, this.penaltyAtMillis,
				mean, nowMillis);
	}

	RunnerStatistics withRequestEnded(boolean responseStarted) {
		int stillAwaiting = (responseStarted) ? this.awaitingHead : this.awaitingHead - 1;
		return new RunnerStatistics(this.inFlight - 1, stillAwaiting, this.stalledSinceMillis, this.penalty,
				this.penaltyAtMillis, this.headLatencyMillis, this.headLatencyAtMillis);
	}

	RunnerStatistics withFailure(long nowMillis) {
		double newPenalty = Math.min(MAX_PENALTY, decayedPenaltyAt(nowMillis) + PENALTY_PER_FAILURE);
		return new RunnerStatistics(this.inFlight, this.awaitingHead, this.stalledSinceMillis, newPenalty, nowMillis,
				this.headLatencyMillis, this.headLatencyAtMillis);
	}

	boolean isNegligible(long nowMillis) {
		return this.inFlight == 0 && decayedPenaltyAt(nowMillis) < NEGLIGIBLE_PENALTY
				&& decayedHeadLatencyAt(nowMillis) < 1;
	}

	private double decayedPenaltyAt(long nowMillis) {
		return decayed(this.penalty, nowMillis - this.penaltyAtMillis, PENALTY_HALF_LIFE_MILLIS);
	}

	private double decayedHeadLatencyAt(long nowMillis) {
		return decayed(this.headLatencyMillis, nowMillis - this.headLatencyAtMillis, HEAD_LATENCY_HALF_LIFE_MILLIS);
	}

	private static double decayed(double value, long ageMillis, double halfLifeMillis) {
		return (value == 0) ? 0 : value * Math.pow(0.5, ageMillis / halfLifeMillis);
	}

}
