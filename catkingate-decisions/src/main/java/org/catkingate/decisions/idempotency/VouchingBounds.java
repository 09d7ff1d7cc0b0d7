package org.catkingate.decisions.idempotency;

/**
 * The time bounds on which vouching for keys is based, in milliseconds. Immutable and
 * safe for use by any thread.
 *
 * @param maxStatementAgeMillis the maximum age of a statement of another agent
 * @param maxListAgeMillis the maximum age of the platform's last confirmation of the
 * instance list
 * @param maxListLagMillis how far the instance list may lag behind
 * @param maxTransitMillis how long a caller's attempt may take to reach the agent
 * @param maxClockSkewMillis how far the wall clocks of two agents may differ
 * @since 0.1
 */
public record VouchingBounds(long maxStatementAgeMillis, long maxListAgeMillis, long maxListLagMillis,
		long maxTransitMillis, long maxClockSkewMillis) {

	private static final long DEFAULT_MAX_STATEMENT_AGE_MILLIS = 3_000;

	private static final long DEFAULT_MAX_LIST_AGE_MILLIS = 60_000;

	private static final long DEFAULT_MAX_LIST_LAG_MILLIS = 30_000;

	private static final long DEFAULT_MAX_TRANSIT_MILLIS = 10_000;

	private static final long DEFAULT_MAX_CLOCK_SKEW_MILLIS = 2_000;

	/** One clock may gain or lose at most one part in this many on another. */
	private static final long CLOCK_DRIFT_DIVISOR = 500;

	public VouchingBounds {
		if (maxStatementAgeMillis <= 0 || maxListAgeMillis <= 0 || maxListLagMillis < 0 || maxTransitMillis < 0
				|| maxClockSkewMillis < 0) {
			throw new IllegalArgumentException(
					"statement and list ages must be positive, and the other bounds not negative");
		}
	}

	/**
	 * Returns the default bounds.
	 * @return the bounds, never null
	 */
	public static VouchingBounds defaults() {
		return new VouchingBounds(DEFAULT_MAX_STATEMENT_AGE_MILLIS, DEFAULT_MAX_LIST_AGE_MILLIS,
				DEFAULT_MAX_LIST_LAG_MILLIS, DEFAULT_MAX_TRANSIT_MILLIS, DEFAULT_MAX_CLOCK_SKEW_MILLIS);
	}

	/**
	 * Returns how far back an agent must have observed the home of a key to vouch for it.
	 * After the home has moved, the previous home may still vouch for the key until the
	 * lag of the instance list has passed and the last confirmation of that list and the
	 * statements of the other agents have expired, so these times are added to the age of
	 * the call.
	 * @param ageMillis how long ago the first attempt may have run, in milliseconds
	 * @return the duration, in milliseconds of any clock
	 */
	public long coverMillis(long ageMillis) {
		long millis = ageMillis + this.maxStatementAgeMillis + this.maxListAgeMillis + this.maxListLagMillis;
		return millis + millis / CLOCK_DRIFT_DIVISOR + 1;
	}

	/**
	 * Returns how long ago the first attempt with a key without a timestamp may have run.
	 * @param repeatWindowMillis how long callers may repeat a call, in milliseconds
	 * @return the age, in milliseconds
	 */
	public long opaqueAgeMillis(long repeatWindowMillis) {
		return repeatWindowMillis + this.maxTransitMillis;
	}

	/**
	 * Returns how long the outcome of a call must be retained after its end.
	 * @param repeatWindowMillis how long callers may repeat a call, in milliseconds
	 * @return the duration, in milliseconds
	 */
	public long retentionMillis(long repeatWindowMillis) {
		return coverMillis(opaqueAgeMillis(repeatWindowMillis));
	}

}
