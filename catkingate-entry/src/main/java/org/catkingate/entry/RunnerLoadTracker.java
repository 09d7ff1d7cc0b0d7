package org.catkingate.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.catkingate.decisions.routing.ObservedLoad;
import org.catkingate.decisions.routing.RunnerKey;
import org.catkingate.runtime.MonotonicClock;

/**
 * A tracker of the load that this entry puts on each runner, and of the latency and the
 * failures that it observes there. Each {@link #recordStart} must be followed by exactly
 * one {@link #recordEnd}. Safe for use by any thread.
 */
final class RunnerLoadTracker {

	private final Map<RunnerKey, RunnerStatistics> statistics = new ConcurrentHashMap<>();

	private final MonotonicClock clock;

	RunnerLoadTracker(MonotonicClock clock) {
		this.clock = clock;
	}

	ObservedLoad loadOf(RunnerKey runner) {
		RunnerStatistics current = this.statistics.get(runner);
		return (current != null) ? current.loadAt(this.clock.millis()) : ObservedLoad.none();
	}

	void recordStart(RunnerKey runner) {
		long now = this.clock.millis();
		this.statistics.compute(runner, (key, previous) -> orUnused(previous).withRequestStarted(now));
	}

	/**
	 * Records that a response has started.
	 * @param runner the runner
	 * @param latencyMillis the time from sending the request until its response started,
	 * in milliseconds
	 */
	void recordResponseStart(RunnerKey runner, long latencyMillis) {
		long now = this.clock.millis();
		this.statistics.computeIfPresent(runner, (key, previous) -> previous.withResponseStarted(latencyMillis, now));
	}

	void recordEnd(RunnerKey runner, boolean responseStarted) {
		long now = this.clock.millis();
		this.statistics.computeIfPresent(runner, (key, previous) -> {
			RunnerStatistics updated = previous.withRequestEnded(responseStarted);
			return (updated.isNegligible(now)) ? null : updated;
		});
	}

	void recordFailure(RunnerKey runner) {
		long now = this.clock.millis();
		this.statistics.compute(runner, (key, previous) -> orUnused(previous).withFailure(now));
	}

	private static RunnerStatistics orUnused(RunnerStatistics previous) {
		return (previous != null) ? previous : RunnerStatistics.UNUSED;
	}

}
