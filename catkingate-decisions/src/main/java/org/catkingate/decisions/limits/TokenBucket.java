package org.catkingate.decisions.limits;

/**
 * A token bucket that may be overdrawn: what is used is known only afterwards. Immutable;
 * each operation returns the bucket after it.
 *
 * @param balance what is left, negative when overdrawn
 * @param atMillis when the balance held, in milliseconds of the monotonic clock
 * @since 0.1
 */
public record TokenBucket(double balance, long atMillis) {

	private static final double MILLIS_PER_SECOND = 1000.0;

	/**
	 * Makes a full bucket.
	 * @param burst how much it holds
	 * @param nowMillis the time now, in milliseconds
	 * @return the bucket, never null
	 */
	public static TokenBucket full(double burst, long nowMillis) {
		return new TokenBucket(burst, nowMillis);
	}

	/**
	 * Fills the bucket for the time passed.
	 * @param rate how much flows in a second
	 * @param burst how much it holds
	 * @param nowMillis the time now, in milliseconds
	 * @return the bucket now, never null
	 */
	public TokenBucket refilled(double rate, double burst, long nowMillis) {
		double earned = rate * Math.max(0, nowMillis - this.atMillis) / MILLIS_PER_SECOND;
		return new TokenBucket(Math.min(burst, this.balance + earned), Math.max(this.atMillis, nowMillis));
	}

	/**
	 * Takes some out.
	 * @param amount how much
	 * @return the bucket afterwards, never null
	 */
	public TokenBucket minus(double amount) {
		return new TokenBucket(this.balance - amount, this.atMillis);
	}

	/**
	 * Tells how long it takes until an amount is there.
	 * @param amount the amount
	 * @param rate how much flows in a second
	 * @return the wait in milliseconds, 0 if it is there now
	 */
	public long millisUntil(double amount, double rate) {
		if (this.balance >= amount) {
			return 0;
		}
		if (rate <= 0) {
			return Long.MAX_VALUE;
		}
		return (long) Math.ceil((amount - this.balance) / rate * MILLIS_PER_SECOND);
	}

}
