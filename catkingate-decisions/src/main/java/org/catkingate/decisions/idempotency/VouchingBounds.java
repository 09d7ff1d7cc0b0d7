package org.catkingate.decisions.idempotency;

/**
 * The time bounds on which vouching for keys is based, in milliseconds. Immutable and
 * safe for use by any thread.
 *
 * @param statementMillis the maximum age of a statement of another agent
 * @param listMillis the maximum age of the platform's last confirmation of the instance
 * list
 * @param listLagMillis how far the instance list may lag behind
 * @param transitMillis how long a caller's attempt may take to reach the agent
 * @param skewMillis how far the wall clocks of two agents may differ
 * @since 0.1
 */
public record VouchingBounds(long statementMillis, long listMillis, long listLagMillis, long transitMillis,
		long skewMillis) {

	private static final long DEFAULT_STATEMENT_MILLIS = 3_000;

	private static final long DEFAULT_LIST_MILLIS = 60_000;

	private static final long DEFAULT_LIST_LAG_MILLIS = 30_000;

	private static final long DEFAULT_TRANSIT_MILLIS = 10_000;

	private static final long DEFAULT_SKEW_MILLIS = 2_000;

	/** One clock may gain or lose at most one part in this many on another. */
	private static final long CLOCK_DRIFT_DIVISOR = 500;

	public VouchingBounds {
		if (statementMillis <= 0 || listMillis <= 0 || listLagMillis < 0 || transitMillis < 0 || skewMillis < 0) {
			throw new IllegalArgumentException(
					"statement and list ages must be positive, and the other bounds not negative");
		}
	}

	/**
	 * Returns the default bounds.
	 * @return the bounds, never null
	 */
	public static VouchingBounds defaults() {
		return new VouchingBounds(DEFAULT_STATEMENT_MILLIS, DEFAULT_LIST_MILLIS, DEFAULT_LIST_LAG_MILLIS,
				DEFAULT_TRANSIT_MILLIS, DEFAULT_SKEW_MILLIS);
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
		long millis = ageMillis + this.statementMillis + this.listMillis + this.listLagMillis;
		return millis + millis / CLOCK_DRIFT_DIVISOR + 1;
	}

	/**
	 * Returns how long ago the first attempt with a key without a timestamp may have run.
	 * @param repeatWindowMillis how long callers may repeat a call, in milliseconds
	 * @return the age, in milliseconds
	 */
	public long opaqueAgeMillis(long repeatWindowMillis) {
		return repeatWindowMillis + this.transitMillis;
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
