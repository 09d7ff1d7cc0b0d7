package org.catkingate.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.catkingate.decisions.routing.OwnLoad;
import org.catkingate.decisions.routing.RunnerKey;
import org.catkingate.runtime.MonotonicClock;

/**
 * What this entry has seen of each runner. Each request that is started must be followed
 * by one end. Safe for use by any thread.
 */
final class RunnerLoadTracker {

	private final Map<RunnerKey, RunnerStatistics> statistics = new ConcurrentHashMap<>();

	private final MonotonicClock clock;

	RunnerLoadTracker(MonotonicClock clock) {
		this.clock = clock;
	}

	OwnLoad loadOf(RunnerKey runner) {
		RunnerStatistics current = this.statistics.get(runner);
		return (current != null) ? current.loadAt(this.clock.millis()) : OwnLoad.none();
	}

	void recordStart(RunnerKey runner) {
		long now = this.clock.millis();
		this.statistics.compute(runner, (key, before) -> orUnused(before).withRequestStarted(now));
	}

	/**
	 * Takes note that an answer has begun.
	 * @param runner the runner
	 * @param tookMillis how long that took, in milliseconds
	 */
	void recordResponseBegun(RunnerKey runner, long tookMillis) {
		long now = this.clock.millis();
		this.statistics.computeIfPresent(runner, (key, before) -> before.withResponseBegun(tookMillis, now));
	}

	void recordEnd(RunnerKey runner, boolean answerBegun) {
		long now = this.clock.millis();
		this.statistics.computeIfPresent(runner, (key, before) -> {
			RunnerStatistics after = before.withRequestEnded(answerBegun);
			return (after.isNegligible(now)) ? null : after;
		});
	}

	void recordFailure(RunnerKey runner) {
		long now = this.clock.millis();
		this.statistics.compute(runner, (key, before) -> orUnused(before).withFailure(now));
	}

	private static RunnerStatistics orUnused(RunnerStatistics before) {
		return (before != null) ? before : RunnerStatistics.UNUSED;
	}

}
