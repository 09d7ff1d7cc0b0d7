package org.catkingate.decisions.distribution;

/**
 * Bounds the bytes asked for over a link that live requests share, by the delay that they
 * cause: the window grows while answers take little longer than the shortest, and shrinks
 * otherwise, below one slice if need be, which then waits. Immutable and safe for use by
 * any thread.
 *
 * @param bytes the window
 * @param baseMillis the shortest time of an answer of late, in milliseconds
 * @param baseAtMillis when the base was measured
 * @param decreasedAtMillis when the window was last cut
 * @param slowStart whether the window has never been cut
 * @param notBeforeMillis when the next slice may be asked for
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

	CongestionWindow withResponse(long now, long tookMillis, int sliceBytes) {
		boolean renewed = tookMillis <= this.baseMillis || now - this.baseAtMillis > MAX_BASE_AGE_MILLIS;
		long base = renewed ? tookMillis : this.baseMillis;
		long baseAt = renewed ? now : this.baseAtMillis;
		if (tookMillis - base <= TARGET_DELAY_MILLIS) {
			double gain = this.slowStart ? sliceBytes : sliceBytes * (sliceBytes / Math.max(sliceBytes, this.bytes));
			return new CongestionWindow(Math.min(MAX_BYTES, this.bytes + gain), base, baseAt, this.decreasedAtMillis,
					this.slowStart, 0);
		}
		if (now - this.decreasedAtMillis < tookMillis) {
			return new CongestionWindow(this.bytes, base, baseAt, this.decreasedAtMillis, false, this.notBeforeMillis);
		}
		double cut = Math.max(MIN_BYTES, this.bytes * DECREASE_FACTOR);
		return new CongestionWindow(cut, base, baseAt, now, false, now + pauseMillis(cut, tookMillis));
	}

	private static long pauseMillis(double window, long tookMillis) {
		double slices = Limits.UPSTREAM_SLICE_BYTES / window;
		return (slices <= 1) ? 0 : (long) (tookMillis * (slices - 1));
	}

}
