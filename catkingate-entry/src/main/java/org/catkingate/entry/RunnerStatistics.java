package org.catkingate.entry;

import org.catkingate.decisions.routing.OwnLoad;

/**
 * What this entry has seen of one runner. Immutable; each operation returns the record
 * after it.
 *
 * @param inFlight the requests there
 * @param awaitingHead those of them whose answer has not begun
 * @param stalledSinceMillis since when none of those has begun, in milliseconds of the
 * monotonic clock
 * @param penalty the surcharge for failures
 * @param penaltyAtMillis when the penalty held, in milliseconds of the monotonic clock
 * @param headLatencyMillis the moving average of the time until answers began
 * @param headLatencyAtMillis when the last one began, in milliseconds of the monotonic
 * clock
 */
record RunnerStatistics(int inFlight, int awaitingHead, long stalledSinceMillis, double penalty, long penaltyAtMillis,
		double headLatencyMillis, long headLatencyAtMillis) {

	private static final double PENALTY_PER_FAILURE = 16;

	private static final double MAX_PENALTY = 256;

	private static final double PENALTY_HALF_LIFE_MILLIS = 2000;

	private static final double HEAD_LATENCY_HALF_LIFE_MILLIS = 5000;

	private static final double NEWEST_LATENCY_WEIGHT = 0.2;

	private static final double NEGLIGIBLE_PENALTY = 0.05;

	static final RunnerStatistics UNUSED = new RunnerStatistics(0, 0, 0, 0, 0, 0, 0);

	OwnLoad loadAt(long nowMillis) {
		double stalled = (this.awaitingHead > 0) ? nowMillis - this.stalledSinceMillis : 0;
		return new OwnLoad(this.inFlight, decayedPenaltyAt(nowMillis),
				Math.max(stalled, decayedHeadLatencyAt(nowMillis)));
	}

	RunnerStatistics withRequestStarted(long nowMillis) {
		long since = (this.awaitingHead == 0) ? nowMillis : this.stalledSinceMillis;
		return new RunnerStatistics(this.inFlight + 1, this.awaitingHead + 1, since, this.penalty, this.penaltyAtMillis,
				this.headLatencyMillis, this.headLatencyAtMillis);
	}

	RunnerStatistics withResponseBegun(long tookMillis, long nowMillis) {
		double mean = (this.headLatencyMillis == 0) ? tookMillis
				: this.headLatencyMillis + NEWEST_LATENCY_WEIGHT * (tookMillis - this.headLatencyMillis);
		return new RunnerStatistics(this.inFlight, this.awaitingHead - 1, nowMillis, this.penalty, this.penaltyAtMillis,
				mean, nowMillis);
	}

	RunnerStatistics withRequestEnded(boolean answerBegun) {
		int left = (answerBegun) ? this.awaitingHead : this.awaitingHead - 1;
		return new RunnerStatistics(this.inFlight - 1, left, this.stalledSinceMillis, this.penalty,
				this.penaltyAtMillis, this.headLatencyMillis, this.headLatencyAtMillis);
	}

	RunnerStatistics withFailure(long nowMillis) {
		double raised = Math.min(MAX_PENALTY, decayedPenaltyAt(nowMillis) + PENALTY_PER_FAILURE);
		return new RunnerStatistics(this.inFlight, this.awaitingHead, this.stalledSinceMillis, raised, nowMillis,
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
