package org.catkingate.decisions.registry;

/**
 * A point in time on two clocks: the monotonic clock, which stops while the machine is
 * suspended, and the wall clock, which keeps running but may be set. Immutable.
 *
 * @param monotonicMillis the monotonic time, in milliseconds
 * @param wallMillis the wall-clock time, in milliseconds since the epoch
 * @since 0.1
 */
public record Moment(long monotonicMillis, long wallMillis) {

	/** A moment earlier than any other; its age exceeds any limit. */
	public static final Moment NEVER = new Moment(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

	/**
	 * Returns an upper bound of the time since this moment: the larger of the differences
	 * on both clocks, so that neither a suspension of the machine nor a wall clock set
	 * back conceals the age.
	 * @param now the current moment
	 * @return the age in milliseconds
	 */
	public long ageMillis(Moment now) {
		return Math.max(now.monotonicMillis - this.monotonicMillis, now.wallMillis - this.wallMillis);
	}

	/**
	 * Returns an earlier moment.
	 * @param millis the time before this moment, in milliseconds, not negative
	 * @return the earlier moment, {@link #NEVER} if it is earlier than that
	 */
	public Moment minusMillis(long millis) {
		return (millis >= -NEVER.monotonicMillis) ? NEVER
				: new Moment(this.monotonicMillis - millis, this.wallMillis - millis);
	}

}
