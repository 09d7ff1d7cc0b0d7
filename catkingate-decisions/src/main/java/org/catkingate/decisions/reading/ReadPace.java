package org.catkingate.decisions.reading;

/**
 * How often a process reads one value. The paces of single reads depend on the size of
 * the fleet, so that beyond a size all readers together make a fixed number of calls a
 * second.
 *
 * @since 0.1
 */
public enum ReadPace {

	/** One waiting watch after the other. */
	CLOSE(20_000, 100, 0, 2000),

	/** Single reads, so close that a change is seen in time also by one reader alone. */
	STEADY(0, 2000, 8, 2000),

	/** Single reads, far apart. */
	SLOW(0, 7500, 150, 60_000);

	/** How long an answer may take beyond the wait asked for, in milliseconds. */
	static final long RESPONSE_TIMEOUT_MILLIS = 4000;

	private static final long INITIAL_BACKOFF_MILLIS = 500;

	private static final int MAX_BACKOFF_SHIFT = 10;

	private static final double MIN_JITTER_FACTOR = 0.5;

	private final long waitMillis;

	private final long minDelayMillis;

	private final long delayMillisPerProcess;

	private final long maxBackoffMillis;

	ReadPace(long waitMillis, long shortestMillis, long millisPerProcess, long longestBackoffMillis) {
		this.waitMillis = waitMillis;
		this.minDelayMillis = shortestMillis;
		this.delayMillisPerProcess = millisPerProcess;
		this.maxBackoffMillis = longestBackoffMillis;
	}

	long waitMillis() {
		return this.waitMillis;
	}

	long delayAfterResponseMillis(int fleetSize, double random) {
		return jittered(maxDelayMillis(fleetSize), random);
	}

	private long maxDelayMillis(int fleetSize) {
		return Math.max(this.minDelayMillis, fleetSize * this.delayMillisPerProcess);
	}

	long delayAfterFailureMillis(int failures, int fleetSize, double random) {
		long backoff = INITIAL_BACKOFF_MILLIS << Math.min(failures, MAX_BACKOFF_SHIFT);
		long bounded = Math.min(this.maxBackoffMillis, backoff);
		return jittered(Math.max(bounded, maxDelayMillis(fleetSize)), random);
	}

	private static long jittered(long longestMillis, double random) {
		return Math.round(longestMillis * (MIN_JITTER_FACTOR + random * (1 - MIN_JITTER_FACTOR)));
	}

}
