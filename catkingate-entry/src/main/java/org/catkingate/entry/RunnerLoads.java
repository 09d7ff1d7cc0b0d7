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

	private static final double NEGLIGIBLE = 0.05;

	private final Map<RunnerKey, Seen> seen = new ConcurrentHashMap<>();

	private final MonotonicClock clock;

	RunnerLoads(MonotonicClock clock) {
		this.clock = clock;
	}

	OwnLoad of(RunnerKey runner) {
		Seen current = this.seen.get(runner);
		return (current != null) ? new OwnLoad(current.inFlight(), current.penaltyAt(this.clock.millis()))
				: OwnLoad.none();
	}

	void started(RunnerKey runner) {
		this.seen.merge(runner, new Seen(1, 0, 0), (before, one) -> before.withInFlight(before.inFlight() + 1));
	}

	void ended(RunnerKey runner) {
		long now = this.clock.millis();
		this.seen.computeIfPresent(runner, (key, before) -> {
			Seen after = before.withInFlight(before.inFlight() - 1);
			return (after.inFlight() == 0 && after.penaltyAt(now) < NEGLIGIBLE) ? null : after;
		});
	}

	void failed(RunnerKey runner) {
		long now = this.clock.millis();
		this.seen.compute(runner, (key, before) -> {
			Seen base = (before != null) ? before : new Seen(0, 0, now);
			double penalty = Math.min(HIGHEST_PENALTY, base.penaltyAt(now) + PENALTY_PER_FAILURE);
			return new Seen(base.inFlight(), penalty, now);
		});
	}

	/**
	 * What has been seen of one runner. Immutable.
	 *
	 * @param inFlight the requests there
	 * @param penalty the surcharge for failures
	 * @param atMillis when the penalty held, in milliseconds of the monotonic clock
	 */
	private record Seen(int inFlight, double penalty, long atMillis) {

		Seen withInFlight(int count) {
			return new Seen(count, this.penalty, this.atMillis);
		}

		double penaltyAt(long nowMillis) {
			if (this.penalty == 0) {
				return 0;
			}
			return this.penalty * Math.pow(0.5, (nowMillis - this.atMillis) / HALF_LIFE_MILLIS);
		}

	}

}
