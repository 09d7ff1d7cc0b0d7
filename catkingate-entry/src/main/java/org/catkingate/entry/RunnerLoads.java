package org.catkingate.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.catkingate.decisions.routing.OwnLoad;
import org.catkingate.decisions.routing.RunnerKey;
import org.catkingate.runtime.MonotonicClock;

/**
 * What this entry has seen of each runner: its own requests there, and failures, whose
 * weight halves with time. Safe for use by any thread.
 */
final class RunnerLoads {

	private static final double PENALTY_PER_FAILURE = 16;

	private static final double HIGHEST_PENALTY = 256;

	private static final double HALF_LIFE_MILLIS = 2000;

	private static final double HEAD_HALF_LIFE_MILLIS = 5000;

	private static final double WEIGHT_OF_NEWEST = 0.2;

	private static final double NEGLIGIBLE = 0.05;

	private final Map<RunnerKey, Seen> seen = new ConcurrentHashMap<>();

	private final MonotonicClock clock;

	RunnerLoads(MonotonicClock clock) {
		this.clock = clock;
	}

	OwnLoad of(RunnerKey runner) {
		Seen current = this.seen.get(runner);
		return (current != null) ? current.at(this.clock.millis()) : OwnLoad.none();
	}

	void started(RunnerKey runner) {
		this.seen.merge(runner, new Seen(1, 0, 0, 0, 0), (before, one) -> before.withInFlight(before.inFlight() + 1));
	}

	void ended(RunnerKey runner) {
		long now = this.clock.millis();
		this.seen.computeIfPresent(runner, (key, before) -> {
			Seen after = before.withInFlight(before.inFlight() - 1);
			return (after.isForgettable(now)) ? null : after;
		});
	}

	void failed(RunnerKey runner) {
		long now = this.clock.millis();
		this.seen.compute(runner, (key, before) -> {
			Seen base = (before != null) ? before : new Seen(0, 0, now, 0, 0);
			double penalty = Math.min(HIGHEST_PENALTY, base.penaltyAt(now) + PENALTY_PER_FAILURE);
			return new Seen(base.inFlight(), penalty, now, base.headMillis(), base.headAtMillis());
		});
	}

	/**
	 * Takes note that an answer has begun.
	 * @param runner the runner
	 * @param millis how long that took, in milliseconds
	 */
	void answeredAfter(RunnerKey runner, long millis) {
		long now = this.clock.millis();
		this.seen.computeIfPresent(runner, (key, before) -> before.withHead(millis, now));
	}

	/**
	 * What has been seen of one runner. Immutable.
	 *
	 * @param inFlight the requests there
	 * @param penalty the surcharge for failures
	 * @param atMillis when the penalty held, in milliseconds of the monotonic clock
	 * @param headMillis the moving average of the time until answers began
	 * @param headAtMillis when the last one began, in milliseconds of the monotonic clock
	 */
	private record Seen(int inFlight, double penalty, long atMillis, double headMillis, long headAtMillis) {

		OwnLoad at(long nowMillis) {
			return new OwnLoad(this.inFlight, penaltyAt(nowMillis), headAt(nowMillis));
		}

		Seen withInFlight(int count) {
			return new Seen(count, this.penalty, this.atMillis, this.headMillis, this.headAtMillis);
		}

		Seen withHead(long millis, long nowMillis) {
			double mean = (this.headMillis == 0) ? millis
					: this.headMillis + WEIGHT_OF_NEWEST * (millis - this.headMillis);
			return new Seen(this.inFlight, this.penalty, this.atMillis, mean, nowMillis);
		}

		double headAt(long nowMillis) {
			return this.headMillis * Math.pow(0.5, (nowMillis - this.headAtMillis) / HEAD_HALF_LIFE_MILLIS);
		}

		boolean isForgettable(long nowMillis) {
			return this.inFlight == 0 && penaltyAt(nowMillis) < NEGLIGIBLE && headAt(nowMillis) < 1;
		}

		double penaltyAt(long nowMillis) {
			if (this.penalty == 0) {
				return 0;
			}
			return this.penalty * Math.pow(0.5, (nowMillis - this.atMillis) / HALF_LIFE_MILLIS);
		}

	}

}
