package org.catkingate.decisions.limits;

/**
 * A token bucket that may be overdrawn, since usage is known only afterwards. Immutable;
 * each operation returns the updated bucket.
 *
 * @param balance the available amount, negative if overdrawn
 * @param refilledAtMillis the time of the last refill, in milliseconds of the monotonic
 * clock
 * @since 0.1
 */
public record TokenBucket(double balance, long refilledAtMillis) {

	private static final double MILLIS_PER_SECOND = 1000.0;

	/**
	 * Creates a full bucket.
	 * @param burst the capacity
	 * @param nowMillis the current monotonic time, in milliseconds
	 * @return the bucket, never null
	 */
	public static TokenBucket full(double burst, long nowMillis) {
		return new TokenBucket(burst, nowMillis);
	}

	/**
	 * Refills the bucket for the time passed.
	 * @param rate the refill rate per second
	 * @param burst the capacity
	 * @param nowMillis the current monotonic time, in milliseconds
	 * @return the bucket now, never null
	 */
	public TokenBucket refilled(double rate, double burst, long nowMillis) {
		double earned = rate * Math.max(0, nowMillis - this.refilledAtMillis) / MILLIS_PER_SECOND;
		return new TokenBucket(Math.min(burst, this.balance + earned), Math.max(this.refilledAtMillis, nowMillis));
	}

	/**
	 * Withdraws an amount, even if the bucket is overdrawn by it.
	 * @param amount the amount
	 * @return the updated bucket, never null
	 */
	public TokenBucket minus(double amount) {
		return new TokenBucket(this.balance - amount, this.refilledAtMillis);
	}

	/**
	 * Returns the time until an amount is available.
	 * @param amount the amount
	 * @param rate the refill rate per second
	 * @return the wait in milliseconds, 0 if it is available now, {@link Long#MAX_VALUE}
	 * if the bucket is never refilled
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
