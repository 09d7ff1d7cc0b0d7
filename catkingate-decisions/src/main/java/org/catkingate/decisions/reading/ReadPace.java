package org.catkingate.decisions.reading;

/**
 * The rate at which a process reads one value. For single reads it depends on the size of
 * the fleet, so that above a certain size all processes together make a fixed number of
 * calls per second.
 *
 * @since 0.1
 */
public enum ReadPace {

	/** Consecutive long polls, each of which waits for a change. */
	CLOSE(20_000, 100, 0, 2000),

	/**
	 * Single reads at intervals short enough for a single process to detect a change in
	 * time.
	 */
	STEADY(0, 2000, 8, 2000),

	/** Single reads at long intervals. */
	SLOW(0, 7500, 150, 60_000);

	/** The time that a response may take beyond the requested wait, in milliseconds. */
	static final long RESPONSE_TIMEOUT_MILLIS = 4000;

	private static final long INITIAL_BACKOFF_MILLIS = 500;

	private static final int MAX_BACKOFF_SHIFT = 10;

	private static final double MIN_JITTER_FACTOR = 0.5;

	private final long waitMillis;

	private final long minDelayMillis;

	private final long delayMillisPerProcess;

	private final long maxBackoffMillis;

	ReadPace(long waitMillis, long minDelayMillis, long delayMillisPerProcess, long maxBackoffMillis) {
		this.waitMillis = waitMillis;
		this.minDelayMillis = minDelayMillis;
		this.delayMillisPerProcess = delayMillisPerProcess;
		this.maxBackoffMillis = maxBackoffMillis;
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
		long boundedBackoff = Math.min(this.maxBackoffMillis, backoff);
		return jittered(Math.max(boundedBackoff, maxDelayMillis(fleetSize)), random);
	}

	private static long jittered(long maxMillis, double random) {
		return Math.round(maxMillis * (MIN_JITTER_FACTOR + random * (1 - MIN_JITTER_FACTOR)));
	}

}
