package org.catkingate.decisions.registry;

/**
 * A moment on two clocks: the monotonic one, which stands still while the machine sleeps,
 * and the time of day, which does not but may jump. Immutable.
 *
 * @param monotonicMillis the monotonic time, in milliseconds
 * @param wallMillis the time of day, in milliseconds since the epoch
 * @since 0.1
 */
public record Moment(long monotonicMillis, long wallMillis) {

	/** A moment that is older than any bound. */
	public static final Moment NEVER = new Moment(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

	/**
	 * Tells how long ago this was, at most. The larger of both clocks' answers counts, so
	 * that neither a sleep nor a jump back hides an age.
	 * @param now the moment now
	 * @return the age in milliseconds
	 */
	public long ageMillis(Moment now) {
		return Math.max(now.monotonicMillis - this.monotonicMillis, now.wallMillis - this.wallMillis);
	}

}
