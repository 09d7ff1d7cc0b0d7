package org.catkingate.entry;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * What has become of callers' requests since the entry started. Safe for use by any
 * thread.
 *
 * @param started requests that were taken in
 * @param finished those of them that are over
 * @param responded those whose whole answer came from a runner
 * @param retries attempts beyond the first
 * @param rejectedByAgents attempts that an agent refused as not run
 * @param callersLeft requests whose caller closed its connection before the end
 * @param failures failures that callers were told, by kind
 * @since 0.1
 */
public record EntryCounts(LongAdder started, LongAdder finished, LongAdder responded, LongAdder retries,
		LongAdder rejectedByAgents, LongAdder callersLeft, Map<FailureKind, LongAdder> failures) {

	static EntryCounts zero() {
		Map<FailureKind, LongAdder> failures = new EnumMap<>(FailureKind.class);
		for (FailureKind kind : FailureKind.values()) {
			failures.put(kind, new LongAdder());
		}
		return new EntryCounts(new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder(),
				new LongAdder(), Map.copyOf(failures));
	}

	void countFailure(FailureKind kind) {
		this.failures.get(kind).increment();
	}

}
