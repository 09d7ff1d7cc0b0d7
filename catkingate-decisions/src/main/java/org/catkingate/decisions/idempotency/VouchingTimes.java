package org.catkingate.decisions.idempotency;

/**
 * The bounds that vouching for keys rests on, in milliseconds. Immutable and safe for use
 * by any thread.
 *
 * @param statementMillis how old a statement of another agent may be
 * @param listMillis how old the platform's last word on the list may be
 * @param listLagMillis how far the platform's list may lag behind
 * @param transitMillis how long a caller's attempt may be under way to the agent
 * @param skewMillis how far the wall clocks of two agents may differ
 * @since 0.1
 */
public record VouchingTimes(long statementMillis, long listMillis, long listLagMillis, long transitMillis,
		long skewMillis) {

	private static final long DEFAULT_STATEMENT_MILLIS = 3_000;

	private static final long DEFAULT_LIST_MILLIS = 60_000;

	private static final long DEFAULT_LIST_LAG_MILLIS = 30_000;

	private static final long DEFAULT_TRANSIT_MILLIS = 10_000;

	private static final long DEFAULT_SKEW_MILLIS = 2_000;

	/** A clock may gain or lose one part in this many on another. */
	private static final long CLOCK_DRIFT_DIVISOR = 500;

	public VouchingTimes {
		if (statementMillis <= 0 || listMillis <= 0 || listLagMillis < 0 || transitMillis < 0 || skewMillis < 0) {
			throw new IllegalArgumentException("bounds of vouching must be positive");
		}
	}

	/**
	 * Returns the bounds of an ordinary platform.
	 * @return the bounds, never null
	 */
	public static VouchingTimes ordinary() {
		return new VouchingTimes(DEFAULT_STATEMENT_MILLIS, DEFAULT_LIST_MILLIS, DEFAULT_LIST_LAG_MILLIS,
				DEFAULT_TRANSIT_MILLIS, DEFAULT_SKEW_MILLIS);
	}

	/**
	 * How far back an agent must know a key's home to vouch for it.
	 * @param ageMillis how long ago the first attempt can have run, in milliseconds
	 * @return the span, in milliseconds of any clock
	 */
	public long coverMillis(long ageMillis) {
		long span = ageMillis + this.statementMillis + this.listMillis + this.listLagMillis;
		return span + span / CLOCK_DRIFT_DIVISOR + 1;
	}

	/**
	 * How long ago the first attempt with an opaque key can have run.
	 * @param repeatWindowMillis how long callers repeat a call, in milliseconds
	 * @return the age, in milliseconds
	 */
	public long opaqueAgeMillis(long repeatWindowMillis) {
		return repeatWindowMillis + this.transitMillis;
	}

	/**
	 * How long the outcome of a call must be remembered after its end.
	 * @param repeatWindowMillis how long callers repeat a call, in milliseconds
	 * @return the span, in milliseconds
	 */
	public long retentionMillis(long repeatWindowMillis) {
		return coverMillis(opaqueAgeMillis(repeatWindowMillis));
	}

}
