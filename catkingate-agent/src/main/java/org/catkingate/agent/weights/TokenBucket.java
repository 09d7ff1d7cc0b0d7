package org.catkingate.agent.weights;

import org.catkingate.runtime.MonotonicClock;

/**
 * Token bucket that limits bytes to a rate. It can be overdrawn, so that each caller
 * receives the time for which it must wait. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class TokenBucket {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final double bytesPerSecond;

	private final double burstBytes;

	private final MonotonicClock clock;

	private double availableBytes;

	private long filledAtNanos;

	private TokenBucket(double bytesPerSecond, double burstBytes, MonotonicClock clock) {
		this.bytesPerSecond = bytesPerSecond;
		this.burstBytes = burstBytes;
		this.clock = clock;
		this.availableBytes = burstBytes;
		this.filledAtNanos = clock.nanos();
	}

	/**
	 * Creates a full bucket.
	 * @param bytesPerSecond the rate, in bytes per second; 0 for no limit
	 * @param burstBytes the size of the bucket, in bytes
	 * @param clock the clock
	 * @return the bucket, never null
	 */
	public static TokenBucket of(double bytesPerSecond, double burstBytes, MonotonicClock clock) {
		return new TokenBucket(bytesPerSecond, burstBytes, clock);
	}

	/**
	 * Takes bytes, even if they are not available yet.
	 * @param bytes the number of bytes
	 * @return the time to wait before using them, in milliseconds
	 */
	public synchronized long take(long bytes) {
		if (this.bytesPerSecond <= 0) {
			return 0;
		}
		long now = this.clock.nanos();
		double filled = this.availableBytes + (now - this.filledAtNanos) / NANOS_PER_SECOND * this.bytesPerSecond;
		this.availableBytes = Math.min(this.burstBytes, filled) - bytes;
		this.filledAtNanos = now;
		if (this.availableBytes >= 0) {
			return 0;
		}
		double waitNanos = -this.availableBytes / this.bytesPerSecond * NANOS_PER_SECOND;
		return (long) Math.ceil(waitNanos / NANOS_PER_MILLI);
	}

	/**
	 * Refunds bytes that were taken and not used.
	 * @param bytes the number of bytes
	 */
	public synchronized void refund(long bytes) {
		this.availableBytes = Math.min(this.burstBytes, this.availableBytes + bytes);
	}

}
