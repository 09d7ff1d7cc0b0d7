package org.catkingate.decisions.distribution;

/**
 * A limit on the bytes requested at the same time over a link that is shared with live
 * requests, controlled by the delay that they cause. The window grows while responses
 * take little longer than the shortest recent one, and shrinks otherwise. It may shrink
 * below one slice; the next slice is then delayed. Immutable and safe for use by any
 * thread.
 *
 * @param bytes the size of the window, in bytes
 * @param baseMillis the shortest recent response time, in milliseconds
 * @param baseAtMillis when the base was measured, in monotonic milliseconds
 * @param decreasedAtMillis when the window was last decreased, in monotonic milliseconds
 * @param slowStart whether the window has never been decreased, in which case it grows by
 * the size of each slice received
 * @param notBeforeMillis when the next slice may be requested, in monotonic milliseconds
 */
record CongestionWindow(double bytes, long baseMillis, long baseAtMillis, long decreasedAtMillis, boolean slowStart,
		long notBeforeMillis) {

	private static final long TARGET_DELAY_MILLIS = 40;

	private static final long MAX_BASE_AGE_MILLIS = 20_000;

	private static final double MAX_BYTES = 2 * 1024 * 1024;

	private static final double MIN_BYTES = 4 * 1024;

	private static final double DECREASE_FACTOR = 0.6;

	static CongestionWindow initial() {
		return new CongestionWindow(2 * Limits.UPSTREAM_SLICE_BYTES, Long.MAX_VALUE, 0, 0, true, 0);
	}

	boolean admits(long outstandingBytes, long now) {
		if (now < this.notBeforeMillis) {
			return false;
		}
		return outstandingBytes == 0 || outstandingBytes + Limits.UPSTREAM_SLICE_BYTES <= this.bytes;
	}

	CongestionWindow withResponse(long now, long responseMillis, int sliceBytes) {
		boolean renewed = responseMillis <= this.baseMillis || now - this.baseAtMillis > MAX_BASE_AGE_MILLIS;
		long base = renewed ? responseMillis : this.baseMillis;
		long baseAt = renewed ? now : this.baseAtMillis;
		if (responseMillis - base <= TARGET_DELAY_MILLIS) {
			double increase = this.slowStart ? sliceBytes
					: sliceBytes * (sliceBytes / Math.max(sliceBytes, this.bytes));
			return new CongestionWindow(Math.min(MAX_BYTES, this.bytes + increase), base, baseAt,
					this.decreasedAtMillis, this.slowStart, 0);
		}
		if (now - this.decreasedAtMillis < responseMillis) {
			// the slice was requested before the last decrease took effect
			return new CongestionWindow(this.bytes, base, baseAt, this.decreasedAtMillis, false, this.notBeforeMillis);
		}
		double decreased = Math.max(MIN_BYTES, this.bytes * DECREASE_FACTOR);
		return new CongestionWindow(decreased, base, baseAt, now, false, now + pauseMillis(decreased, responseMillis));
	}

	/**
	 * Returns the time to wait before the next slice if the window is smaller than a
	 * slice, so that the average rate corresponds to the window.
	 * @param window the size of the window, in bytes
	 * @param responseMillis the last response time, in milliseconds
	 * @return the time, in milliseconds; 0 if a slice fits into the window
	 */
	private static long pauseMillis(double window, long responseMillis) {
		double windowsPerSlice = Limits.UPSTREAM_SLICE_BYTES / window;
		return (windowsPerSlice <= 1) ? 0 : (long) (responseMillis * (windowsPerSlice - 1));
	}

}
