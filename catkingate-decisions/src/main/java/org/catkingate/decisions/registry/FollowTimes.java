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
 * @param copyRequestAgeMillis the age of the view from which copies of other processes
 * are requested; {@link #NO_COPY_REQUESTS} to request none
 * @since 0.1
 */
public record FollowTimes(long watchMillis, long batchDelayMillis, long initialBackoffMillis, long maxBackoffMillis,
		long expiryGraceMillis, boolean versionsOnly, long copyRequestAgeMillis) {

	/** The age from which a process requests copies that never does so. */
	public static final long NO_COPY_REQUESTS = Long.MAX_VALUE;

	/** The interval between two requests for a copy, before jitter. */
	private static final long COPY_REQUEST_INTERVAL_MILLIS = 400;

	/**
	 * The time that a usual response of the registry takes beside the two watches that
	 * may pass between two confirmations.
	 */
	private static final long USUAL_RESPONSE_MILLIS = 300;

	/**
	 * The time after a restore of the registry within which what was lost is written
	 * again. Until then the registry itself confirms nothing.
	 */
	private static final long REWRITE_MILLIS = 2000;

	/**
	 * The time after the first full read of a process, which cannot know whether the
	 * registry has just been restored.
	 */
	private static final long REWRITE_AT_START_MILLIS = 1000;

	/** The time for which other processes are asked after the first content of an era. */
	private static final long SETTLING_REQUESTS_MILLIS = 10_000;

	/** The age up to which the copy of another process ends these requests. */
	private static final long MAX_RECENT_COPY_AGE_MILLIS = 5000;

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
				DEFAULT_MAX_BACKOFF_MILLIS, DEFAULT_EXPIRY_GRACE_MILLIS, false,
				2 * watchMillis + USUAL_RESPONSE_MILLIS);
	}

	/**
	 * Returns the default times for watching declared versions only.
	 * @param watchMillis the time for which one watch waits for a change, in milliseconds
	 * @return the times, never null
	 */
	public static FollowTimes forVersionsOnly(long watchMillis) {
		return new FollowTimes(watchMillis, DEFAULT_BATCH_DELAY_MILLIS, DEFAULT_INITIAL_BACKOFF_MILLIS,
				DEFAULT_MAX_BACKOFF_MILLIS, DEFAULT_EXPIRY_GRACE_MILLIS, true, NO_COPY_REQUESTS);
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

	/**
	 * Returns what is awaited after the first content of an era.
	 * @param nowMillis the time now
	 * @param atStart whether this is the first content at all
	 * @return nothing for a process that requests no copies
	 */
	FollowState.Settlement settlement(long nowMillis, boolean atStart) {
		return (this.copyRequestAgeMillis == NO_COPY_REQUESTS) ? FollowState.Settlement.none()
				: new FollowState.Settlement(nowMillis + (atStart ? REWRITE_AT_START_MILLIS : REWRITE_MILLIS),
						nowMillis + SETTLING_REQUESTS_MILLIS, true);
	}

	boolean isRecent(long copyAgeMillis) {
		return copyAgeMillis <= MAX_RECENT_COPY_AGE_MILLIS;
	}

	/**
	 * Returns the delay until the next request for a copy, spread so that processes that
	 * have lost the registry together do not request copies together.
	 * @param draw a random number from 0 to 1
	 * @return the delay in milliseconds
	 */
	long copyRequestDelayMillis(double draw) {
		return (long) (COPY_REQUEST_INTERVAL_MILLIS * (1 + draw));
	}

}
