package org.catkingate.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A judge of how many requests of all gateways arrive at a cold runner within any second.
 * Guarded by the lock of its judge.
 */
final class ColdRunnerJudge {

	/** The rate that the services publish for a cold runner, in requests a second. */
	static final int PUBLISHED_PER_SECOND = 2;

	/** The factor in the settings of the gateways. */
	static final double OVERAGE = 1.5;

	/** The requests in addition, in the settings of the gateways. */
	static final int ALLOWANCE = 1;

	/** The requests that may arrive at a cold runner in any second. */
	static final int MAX_PER_SECOND = (int) (PUBLISHED_PER_SECOND * OVERAGE + ALLOWANCE);

	private static final long WINDOW_MILLIS = 1000;

	private final Map<String, Long> coldUntilMillis = new HashMap<>();

	private final Map<String, Deque<Long>> arrivals = new HashMap<>();

	void runnerCold(String runner, long untilMillis) {
		this.coldUntilMillis.put(runner, untilMillis);
	}

	Optional<Breach> judge(SoakRequest request, String runner, long nowMillis) {
		if (nowMillis >= this.coldUntilMillis.getOrDefault(runner, Long.MIN_VALUE)) {
			this.arrivals.remove(runner);
			return Optional.empty();
		}
		Deque<Long> recent = this.arrivals.computeIfAbsent(runner, (key) -> new ArrayDeque<>());
		while (!recent.isEmpty() && recent.peekFirst() <= nowMillis - WINDOW_MILLIS) {
			recent.removeFirst();
		}
		recent.addLast(nowMillis);
		return (recent.size() > MAX_PER_SECOND) ? Optional.of(new Breach(Promise.COLD_RUNNER,
				"%s is number %d within a second at %s, which is cold".formatted(request, recent.size(), runner)))
				: Optional.empty();
	}

}
