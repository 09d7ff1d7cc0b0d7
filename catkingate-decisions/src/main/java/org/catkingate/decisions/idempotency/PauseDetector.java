package org.catkingate.decisions.idempotency;

/**
 * A detector of recent pauses of the process. After a pause, the data that the process
 * reads may have been in its buffers for a long time. The control thread reports the time
 * at a steady interval; a gap counts as a pause. Safe for use by any thread; reads no
 * clock.
 *
 * @since 0.1
 */
public final class PauseDetector {

	private final long gapMillis;

	private final long settleMillis;

	private long lastSeenMillis;

	private long suspectUntilMillis;

	private PauseDetector(long gapMillis, long settleMillis, long nowMillis) {
		this.gapMillis = gapMillis;
		this.settleMillis = settleMillis;
		this.lastSeenMillis = nowMillis;
		this.suspectUntilMillis = nowMillis;
	}

	/**
	 * Creates a detector that starts now.
	 * @param gapMillis the gap that counts as a pause, in milliseconds
	 * @param settleMillis how long after a pause arriving data is suspect, in
	 * milliseconds
	 * @param nowMillis the time, in milliseconds of the monotonic clock
	 * @return the detector, never null
	 */
	public static PauseDetector starting(long gapMillis, long settleMillis, long nowMillis) {
		return new PauseDetector(gapMillis, settleMillis, nowMillis);
	}

	/**
	 * Records that the process is running, and returns whether data that arrives now is
	 * suspect.
	 * @param nowMillis the time, in milliseconds of the monotonic clock
	 * @return whether the process was paused recently
	 */
	public synchronized boolean recordAndCheckSuspect(long nowMillis) {
		if (nowMillis - this.lastSeenMillis > this.gapMillis) {
			this.suspectUntilMillis = nowMillis + this.settleMillis;
		}
		this.lastSeenMillis = Math.max(nowMillis, this.lastSeenMillis);
		return nowMillis < this.suspectUntilMillis;
	}

}
