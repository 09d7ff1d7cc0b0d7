package org.catkingate.standins;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Limits a rate. Callers take what they are about to send and learn how long to wait
 * before they do. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class TokenBucket {

	private static final long BURST_MILLIS = 20;

	private final LongSupplier tokensPerSecond;

	private final LongSupplier nanoTime;

	private long nextAvailableNanos;

	/**
	 * Creates a bucket.
	 * @param perSecond the rate, which may change; 0 for no limit
	 */
	public TokenBucket(LongSupplier perSecond) {
		this(perSecond, System::nanoTime);
	}

	TokenBucket(LongSupplier perSecond, LongSupplier nanoTime) {
		this.tokensPerSecond = perSecond;
		this.nanoTime = nanoTime;
		this.nextAvailableNanos = nanoTime.getAsLong();
	}

	/**
	 * Takes an amount, always, and tells when it is due.
	 * @param amount the amount
	 * @return how long to wait before sending it, in milliseconds; 0 for none
	 */
	public synchronized long take(long amount) {
		long rate = this.tokensPerSecond.getAsLong();
		if (rate <= 0) {
			return 0;
		}
		long now = this.nanoTime.getAsLong();
		long earliest = now - TimeUnit.MILLISECONDS.toNanos(BURST_MILLIS);
		long start = Math.max(this.nextAvailableNanos, earliest);
		this.nextAvailableNanos = start + amount * TimeUnit.SECONDS.toNanos(1) / rate;
		return Math.max(0, TimeUnit.NANOSECONDS.toMillis(start - now));
	}

	/**
	 * Takes an amount only if none need wait for it.
	 * @param amount the amount
	 * @return whether it was taken
	 */
	public synchronized boolean tryTake(long amount) {
		if (this.tokensPerSecond.getAsLong() > 0 && this.nextAvailableNanos > this.nanoTime.getAsLong()) {
			return false;
		}
		take(amount);
		return true;
	}

}
