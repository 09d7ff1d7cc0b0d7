package org.catkingate.decisions.idempotency;

/**
 * Tells whether the process was paused just now, so that what it reads may have lain in
 * its buffers for long. Control reports that time passes, at a steady interval; a gap is
 * a pause. Safe for use by any thread; reads no clock.
 *
 * @since 0.1
 */
public final class PauseWatch {

	private final long gapMillis;

	private final long settleMillis;

	private long seenMillis;

	private long suspectUntilMillis;

	private PauseWatch(long gapMillis, long settleMillis, long nowMillis) {
		this.gapMillis = gapMillis;
		this.settleMillis = settleMillis;
		this.seenMillis = nowMillis;
		this.suspectUntilMillis = nowMillis;
	}

	/**
	 * Starts to watch.
	 * @param gapMillis the gap that counts as a pause, in milliseconds
	 * @param settleMillis for how long after a pause what arrives is suspect, in
	 * milliseconds
	 * @param nowMillis the time, in milliseconds of the monotonic clock
	 * @return the watch, never null
	 */
	public static PauseWatch starting(long gapMillis, long settleMillis, long nowMillis) {
		return new PauseWatch(gapMillis, settleMillis, nowMillis);
	}

	/**
	 * Takes note that the process runs, and tells whether what arrives now is suspect.
	 * @param nowMillis the time, in milliseconds of the monotonic clock
	 * @return whether the process was paused lately
	 */
	public synchronized boolean isSuspect(long nowMillis) {
		if (nowMillis - this.seenMillis > this.gapMillis) {
			this.suspectUntilMillis = nowMillis + this.settleMillis;
		}
		this.seenMillis = Math.max(nowMillis, this.seenMillis);
		return nowMillis < this.suspectUntilMillis;
	}

}
