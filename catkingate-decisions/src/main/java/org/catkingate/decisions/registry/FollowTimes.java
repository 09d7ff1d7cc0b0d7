package org.catkingate.decisions.registry;

/**
 * The times by which a registry is followed, all in milliseconds. Immutable.
 *
 * @param watchMillis how long one watch waits for a change; bounds the age of what is
 * known
 * @param pauseMillis the pause after a change, in which further ones gather for one
 * answer
 * @param firstBackoffMillis the wait after a first failure
 * @param longestBackoffMillis the wait after many failures
 * @param lapseGraceMillis how long after the registry's return a runner that lapsed
 * meanwhile may register again
 * @param versionsOnly whether only declared versions are watched once a configuration is
 * known, which then changes with each new reading
 * @since 0.1
 */
public record FollowTimes(long watchMillis, long pauseMillis, long firstBackoffMillis, long longestBackoffMillis,
		long lapseGraceMillis, boolean versionsOnly) {

	private static final long PAUSE_MILLIS = 40;

	private static final long FIRST_BACKOFF_MILLIS = 100;

	private static final long LONGEST_BACKOFF_MILLIS = 800;

	private static final long LAPSE_GRACE_MILLIS = 2000;

	public FollowTimes {
		if (watchMillis < 1 || firstBackoffMillis < 1 || longestBackoffMillis < firstBackoffMillis) {
			throw new IllegalArgumentException("the times of following a registry must be positive and in order");
		}
	}

	/**
	 * Returns the usual times.
	 * @param watchMillis how long one watch waits for a change, in milliseconds
	 * @return the times, never null
	 */
	public static FollowTimes watchingFor(long watchMillis) {
		return new FollowTimes(watchMillis, PAUSE_MILLIS, FIRST_BACKOFF_MILLIS, LONGEST_BACKOFF_MILLIS,
				LAPSE_GRACE_MILLIS, false);
	}

	/**
	 * Returns the times of a process that watches declared versions only.
	 * @param watchMillis how long one watch waits for a change, in milliseconds
	 * @return the times, never null
	 */
	public static FollowTimes watchingVersionsFor(long watchMillis) {
		return new FollowTimes(watchMillis, PAUSE_MILLIS, FIRST_BACKOFF_MILLIS, LONGEST_BACKOFF_MILLIS,
				LAPSE_GRACE_MILLIS, true);
	}

	/**
	 * Returns the wait after failures in a row: doubled each time, and spread over its
	 * upper half so that processes do not return together.
	 * @param failures how many, at least one
	 * @param draw a number from 0 to 1
	 * @return the wait in milliseconds
	 */
	long backoffMillis(int failures, double draw) {
		long doubled = this.firstBackoffMillis << Math.min(failures - 1, 16);
		long whole = Math.min(this.longestBackoffMillis, doubled);
		return (long) (whole * (0.5 + 0.5 * draw));
	}

}
