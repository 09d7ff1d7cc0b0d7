package org.catkingate.decisions.registry;

/**
 * The times by which a registry is followed, all in milliseconds. Immutable.
 *
 * @param watchMillis how long one watch waits for a change; bounds the age of what is
 * known
 * @param batchDelayMillis the pause after a change, in which further ones gather for one
 * answer
 * @param initialBackoffMillis the wait after a first failure
 * @param maxBackoffMillis the wait after many failures
 * @param expiryGraceMillis how long after the registry's return a runner that lapsed
 * meanwhile may register again
 * @param versionsOnly whether only declared versions are watched once a configuration is
 * known, which then changes with each new reading
 * @since 0.1
 */
public record FollowTimes(long watchMillis, long batchDelayMillis, long initialBackoffMillis, long maxBackoffMillis,
		long expiryGraceMillis, boolean versionsOnly) {

	private static final long DEFAULT_BATCH_DELAY_MILLIS = 40;

	private static final long DEFAULT_INITIAL_BACKOFF_MILLIS = 100;

	private static final long DEFAULT_MAX_BACKOFF_MILLIS = 800;

	private static final long DEFAULT_EXPIRY_GRACE_MILLIS = 2000;

	public FollowTimes {
		if (watchMillis < 1 || initialBackoffMillis < 1 || maxBackoffMillis < initialBackoffMillis) {
			throw new IllegalArgumentException("the times of following a registry must be positive and in order");
		}
	}

	/**
	 * Returns the usual times.
	 * @param watchMillis how long one watch waits for a change, in milliseconds
	 * @return the times, never null
	 */
	public static FollowTimes watchingFor(long watchMillis) {
		return new FollowTimes(watchMillis, DEFAULT_BATCH_DELAY_MILLIS, DEFAULT_INITIAL_BACKOFF_MILLIS,
				DEFAULT_MAX_BACKOFF_MILLIS, DEFAULT_EXPIRY_GRACE_MILLIS, false);
	}

	/**
	 * Returns the times of a process that watches declared versions only.
	 * @param watchMillis how long one watch waits for a change, in milliseconds
	 * @return the times, never null
	 */
	public static FollowTimes watchingVersionsFor(long watchMillis) {
		return new FollowTimes(watchMillis, DEFAULT_BATCH_DELAY_MILLIS, DEFAULT_INITIAL_BACKOFF_MILLIS,
				DEFAULT_MAX_BACKOFF_MILLIS, DEFAULT_EXPIRY_GRACE_MILLIS, true);
	}

	/**
	 * Returns the wait after failures in a row: doubled each time, and spread over its
	 * upper half so that processes do not return together.
	 * @param failures how many, at least one
	 * @param draw a number from 0 to 1
	 * @return the wait in milliseconds
	 */
	long backoffMillis(int failures, double draw) {
		long doubled = this.initialBackoffMillis << Math.min(failures - 1, 16);
		long whole = Math.min(this.maxBackoffMillis, doubled);
		return (long) (whole * (0.5 + 0.5 * draw));
	}

}
