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
	static final long ANSWER_MILLIS = 4000;

	private static final long FIRST_BACKOFF_MILLIS = 500;

	private static final int HIGHEST_SHIFT = 10;

	private static final double LOWEST_JITTER = 0.5;

	private final long waitMillis;

	private final long shortestMillis;

	private final long millisPerProcess;

	private final long longestBackoffMillis;

	ReadPace(long waitMillis, long shortestMillis, long millisPerProcess, long longestBackoffMillis) {
		this.waitMillis = waitMillis;
		this.shortestMillis = shortestMillis;
		this.millisPerProcess = millisPerProcess;
		this.longestBackoffMillis = longestBackoffMillis;
	}

	long waitMillis() {
		return this.waitMillis;
	}

	long delayAfterAnswer(int fleetSize, double random) {
		return jittered(longestDelay(fleetSize), random);
	}

	private long longestDelay(int fleetSize) {
		return Math.max(this.shortestMillis, fleetSize * this.millisPerProcess);
	}

	long delayAfterFailure(int failures, int fleetSize, double random) {
		long backoff = FIRST_BACKOFF_MILLIS << Math.min(failures, HIGHEST_SHIFT);
		long bounded = Math.min(this.longestBackoffMillis, backoff);
		return jittered(Math.max(bounded, longestDelay(fleetSize)), random);
	}

	private static long jittered(long longestMillis, double random) {
		return Math.round(longestMillis * (LOWEST_JITTER + random * (1 - LOWEST_JITTER)));
	}

}
