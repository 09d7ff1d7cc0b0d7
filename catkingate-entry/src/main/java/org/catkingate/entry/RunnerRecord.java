package org.catkingate.entry;

import org.catkingate.decisions.routing.OwnLoad;

/**
 * What this entry has seen of one runner. Immutable; each operation returns the record
 * after it.
 *
 * @param inFlight the requests there
 * @param awaiting those of them whose answer has not begun
 * @param stalledSinceMillis since when none of those has begun, in milliseconds of the
 * monotonic clock
 * @param penalty the surcharge for failures
 * @param penaltyAtMillis when the penalty held, in milliseconds of the monotonic clock
 * @param headMillis the moving average of the time until answers began
 * @param headAtMillis when the last one began, in milliseconds of the monotonic clock
 */
record RunnerRecord(int inFlight, int awaiting, long stalledSinceMillis, double penalty, long penaltyAtMillis,
		double headMillis, long headAtMillis) {

	private static final double PENALTY_PER_FAILURE = 16;

	private static final double HIGHEST_PENALTY = 256;

	private static final double PENALTY_HALF_LIFE_MILLIS = 2000;

	private static final double HEAD_HALF_LIFE_MILLIS = 5000;

	private static final double WEIGHT_OF_NEWEST = 0.2;

	private static final double NEGLIGIBLE = 0.05;

	static final RunnerRecord UNUSED = new RunnerRecord(0, 0, 0, 0, 0, 0, 0);

	OwnLoad at(long nowMillis) {
		double stalled = (this.awaiting > 0) ? nowMillis - this.stalledSinceMillis : 0;
		return new OwnLoad(this.inFlight, penaltyAt(nowMillis), Math.max(stalled, headAt(nowMillis)));
	}

	RunnerRecord started(long nowMillis) {
		long since = (this.awaiting == 0) ? nowMillis : this.stalledSinceMillis;
		return new RunnerRecord(this.inFlight + 1, this.awaiting + 1, since, this.penalty, this.penaltyAtMillis,
				this.headMillis, this.headAtMillis);
	}

	RunnerRecord answerBegun(long tookMillis, long nowMillis) {
		double mean = (this.headMillis == 0) ? tookMillis
				: this.headMillis + WEIGHT_OF_NEWEST * (tookMillis - this.headMillis);
		return new RunnerRecord(this.inFlight, this.awaiting - 1, nowMillis, this.penalty, this.penaltyAtMillis, mean,
				nowMillis);
	}

	RunnerRecord ended(boolean answerBegun) {
		int left = (answerBegun) ? this.awaiting : this.awaiting - 1;
		return new RunnerRecord(this.inFlight - 1, left, this.stalledSinceMillis, this.penalty, this.penaltyAtMillis,
				this.headMillis, this.headAtMillis);
	}

	RunnerRecord failed(long nowMillis) {
		double raised = Math.min(HIGHEST_PENALTY, penaltyAt(nowMillis) + PENALTY_PER_FAILURE);
		return new RunnerRecord(this.inFlight, this.awaiting, this.stalledSinceMillis, raised, nowMillis,
				this.headMillis, this.headAtMillis);
	}

	boolean isForgettable(long nowMillis) {
		return this.inFlight == 0 && penaltyAt(nowMillis) < NEGLIGIBLE && headAt(nowMillis) < 1;
	}

	private double penaltyAt(long nowMillis) {
		return faded(this.penalty, nowMillis - this.penaltyAtMillis, PENALTY_HALF_LIFE_MILLIS);
	}

	private double headAt(long nowMillis) {
		return faded(this.headMillis, nowMillis - this.headAtMillis, HEAD_HALF_LIFE_MILLIS);
	}

	private static double faded(double value, long ageMillis, double halfLifeMillis) {
		return (value == 0) ? 0 : value * Math.pow(0.5, ageMillis / halfLifeMillis);
	}

}
