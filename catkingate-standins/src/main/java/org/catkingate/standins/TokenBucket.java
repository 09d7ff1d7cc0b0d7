package org.catkingate.standins;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A token bucket that limits a rate. A caller takes tokens for the amount that it is
 * about to send, and must wait for the returned time before sending. Safe for use by any
 * thread.
 *
 * @since 0.1
 */
public final class TokenBucket {

	/** Time without use whose unused amount may be sent as a burst. */
	private static final long BURST_MILLIS = 20;

	private final LongSupplier tokensPerSecond;

	private final LongSupplier nanoTime;

	private long nextAvailableNanos;

	/**
	 * Creates a bucket.
	 * @param tokensPerSecond supplies the rate, which may change; 0 for no limit
	 */
	public TokenBucket(LongSupplier tokensPerSecond) {
		this(tokensPerSecond, System::nanoTime);
	}

	TokenBucket(LongSupplier tokensPerSecond, LongSupplier nanoTime) {
		this.tokensPerSecond = tokensPerSecond;
		this.nanoTime = nanoTime;
		this.nextAvailableNanos = nanoTime.getAsLong();
	}

	/**
	 * Takes an amount unconditionally and returns the delay after which it may be sent.
	 * @param amount the amount
	 * @return the time to wait before sending it, in milliseconds; 0 if none
	 */
	public synchronized long take(long amount) {
		long rate = this.tokensPerSecond.getAsLong();
		if (rate <= 0) {
			return 0;
		}
		long now = this.nanoTime.getAsLong();
		long earliestStart = now - TimeUnit.MILLISECONDS.toNanos(BURST_MILLIS);
		long start = Math.max(this.nextAvailableNanos, earliestStart);
		this.nextAvailableNanos = start + amount * TimeUnit.SECONDS.toNanos(1) / rate;
		return Math.max(0, TimeUnit.NANOSECONDS.toMillis(start - now));
	}

	/**
	 * Takes an amount only if it may be sent immediately.
	 * @param amount the amount
	 * @return whether the amount was taken
	 */
	public synchronized boolean tryTake(long amount) {
		if (this.tokensPerSecond.getAsLong() > 0 && this.nextAvailableNanos > this.nanoTime.getAsLong()) {
			return false;
		}
		take(amount);
		return true;
	}

}
