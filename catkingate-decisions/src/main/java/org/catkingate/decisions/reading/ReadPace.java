package org.catkingate.decisions.reading;

/**
 * How often a process reads one value. The slow pace depends on the size of the fleet, so
 * that all slow readers together make a fixed number of calls a second.
 *
 * @since 0.1
 */
public enum ReadPace {

	/** One waiting watch after the other. */
	CLOSE,

	/** Single reads, far apart. */
	SLOW;

	/** How long a waiting watch may wait, in milliseconds. */
	public static final long WATCH_MILLIS = 20_000;

	/** How long an answer may take beyond the wait asked for, in milliseconds. */
	public static final long ANSWER_MILLIS = 4000;

	private static final long CLOSE_GAP_MILLIS = 100;

	private static final long SHORTEST_SLOW_MILLIS = 5000;

	private static final long SLOW_READS_PER_SECOND_OF_FLEET = 10;

	private static final long MILLIS_PER_SECOND = 1000;

	private static final long FIRST_BACKOFF_MILLIS = 500;

	private static final long LONGEST_CLOSE_BACKOFF_MILLIS = 4000;

	private static final long LONGEST_SLOW_BACKOFF_MILLIS = 60_000;

	private static final int HIGHEST_SHIFT = 10;

	private static final double LOWEST_JITTER = 0.5;

	long waitMillis() {
		return (this == CLOSE) ? WATCH_MILLIS : 0;
	}

	long delayAfterAnswer(int fleetSize, double random) {
		if (this == CLOSE) {
			return CLOSE_GAP_MILLIS;
		}
		long share = fleetSize * MILLIS_PER_SECOND / SLOW_READS_PER_SECOND_OF_FLEET;
		return jittered(Math.max(SHORTEST_SLOW_MILLIS, share), random);
	}

	long delayAfterFailure(int failures, int fleetSize, double random) {
		long longest = (this == CLOSE) ? LONGEST_CLOSE_BACKOFF_MILLIS : LONGEST_SLOW_BACKOFF_MILLIS;
		long backoff = FIRST_BACKOFF_MILLIS << Math.min(failures, HIGHEST_SHIFT);
		if (this == SLOW) {
			backoff = Math.max(backoff, delayAfterAnswer(fleetSize, 0));
		}
		return jittered(Math.min(longest, backoff), random);
	}

	private static long jittered(long millis, double random) {
		return Math.round(millis * (LOWEST_JITTER + random));
	}

}
