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
final class RunnerLoads {

	private final Map<RunnerKey, RunnerRecord> records = new ConcurrentHashMap<>();

	private final MonotonicClock clock;

	RunnerLoads(MonotonicClock clock) {
		this.clock = clock;
	}

	OwnLoad of(RunnerKey runner) {
		RunnerRecord current = this.records.get(runner);
		return (current != null) ? current.at(this.clock.millis()) : OwnLoad.none();
	}

	void started(RunnerKey runner) {
		long now = this.clock.millis();
		this.records.compute(runner, (key, before) -> orUnused(before).started(now));
	}

	/**
	 * Takes note that an answer has begun.
	 * @param runner the runner
	 * @param tookMillis how long that took, in milliseconds
	 */
	void answerBegun(RunnerKey runner, long tookMillis) {
		long now = this.clock.millis();
		this.records.computeIfPresent(runner, (key, before) -> before.answerBegun(tookMillis, now));
	}

	void ended(RunnerKey runner, boolean answerBegun) {
		long now = this.clock.millis();
		this.records.computeIfPresent(runner, (key, before) -> {
			RunnerRecord after = before.ended(answerBegun);
			return (after.isForgettable(now)) ? null : after;
		});
	}

	void failed(RunnerKey runner) {
		long now = this.clock.millis();
		this.records.compute(runner, (key, before) -> orUnused(before).failed(now));
	}

	private static RunnerRecord orUnused(RunnerRecord before) {
		return (before != null) ? before : RunnerRecord.UNUSED;
	}

}
