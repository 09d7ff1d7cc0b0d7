package org.catkingate.decisions.registry;

/**
 * The timing parameters for following a registry, all in milliseconds. Immutable.
 *
 * @param watchMillis the time for which one watch waits for a change; bounds the age of
 * the view
 * @param batchDelayMillis the delay after a change, so that further changes are received
 * in one response
 * @param initialBackoffMillis the delay after the first failure
 * @param maxBackoffMillis the maximum delay after failures
 * @param expiryGraceMillis the time after an outage of the registry within which a runner
 * that expired meanwhile may register again
 * @param versionsOnly whether only declared versions are watched once a configuration is
 * known; the configuration is then updated by full reads only
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
			throw new IllegalArgumentException(
					"times must be positive, and maxBackoffMillis at least initialBackoffMillis");
		}
	}

	/**
	 * Returns the default times for watching all items.
	 * @param watchMillis the time for which one watch waits for a change, in milliseconds
	 * @return the times, never null
	 */
	public static FollowTimes forAllItems(long watchMillis) {
		return new FollowTimes(watchMillis, DEFAULT_BATCH_DELAY_MILLIS, DEFAULT_INITIAL_BACKOFF_MILLIS,
				DEFAULT_MAX_BACKOFF_MILLIS, DEFAULT_EXPIRY_GRACE_MILLIS, false);
	}

	/**
	 * Returns the default times for watching declared versions only.
	 * @param watchMillis the time for which one watch waits for a change, in milliseconds
	 * @return the times, never null
	 */
	public static FollowTimes forVersionsOnly(long watchMillis) {
		return new FollowTimes(watchMillis, DEFAULT_BATCH_DELAY_MILLIS, DEFAULT_INITIAL_BACKOFF_MILLIS,
				DEFAULT_MAX_BACKOFF_MILLIS, DEFAULT_EXPIRY_GRACE_MILLIS, true);
	}

	/**
	 * Returns the delay after consecutive failures. It is doubled with each failure and
	 * spread over the upper half of the interval, so that processes do not retry
	 * together.
	 * @param failures the number of consecutive failures, at least 1
	 * @param draw a random number from 0 to 1
	 * @return the delay in milliseconds
	 */
	long backoffMillis(int failures, double draw) {
		// at most 16 doublings, so that the shift does not overflow
		long doubled = this.initialBackoffMillis << Math.min(failures - 1, 16);
		long bounded = Math.min(this.maxBackoffMillis, doubled);
		return (long) (bounded * (0.5 + 0.5 * draw));
	}

}
