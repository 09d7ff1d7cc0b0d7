package org.catkingate.entry;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of callers' requests and their outcomes since the entry started. Safe for use
 * by any thread.
 *
 * @param started requests whose body has arrived and whose first attempt has started
 * @param finished started requests that have ended, with any outcome
 * @param responded requests for which a runner's complete response arrived
 * @param retries attempts after the first of each request
 * @param rejectedByAgents attempts that an agent rejected without running them
 * @param callersDisconnected requests whose caller closed its connection before the
 * response was complete
 * @param failures failures that were reported to callers, by kind
 * @since 0.1
 */
public record RequestCounters(LongAdder started, LongAdder finished, LongAdder responded, LongAdder retries,
		LongAdder rejectedByAgents, LongAdder callersDisconnected, Map<FailureKind, LongAdder> failures) {

	static RequestCounters zero() {
		Map<FailureKind, LongAdder> failures = new EnumMap<>(FailureKind.class);
		for (FailureKind kind : FailureKind.values()) {
			failures.put(kind, new LongAdder());
		}
		return new RequestCounters(new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder(),
				new LongAdder(), Map.copyOf(failures));
	}

	void countFailure(FailureKind kind) {
		this.failures.get(kind).increment();
	}

}
