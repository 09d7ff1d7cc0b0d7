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
 * @param cutAtMillis when the window was last cut
 * @param growing whether the window has never been cut
 * @param notBeforeMillis when the next slice may be asked for
 */
record DelayWindow(double bytes, long baseMillis, long baseAtMillis, long cutAtMillis, boolean growing,
		long notBeforeMillis) {

	private static final long TARGET_MILLIS = 40;

	private static final long BASE_AGE_MILLIS = 20_000;

	private static final double LARGEST_BYTES = 2 * 1024 * 1024;

	private static final double SMALLEST_BYTES = 4 * 1024;

	private static final double CUT = 0.6;

	static DelayWindow initial() {
		return new DelayWindow(2 * Limits.UPSTREAM_SLICE_BYTES, Long.MAX_VALUE, 0, 0, true, 0);
	}

	boolean admits(long outstandingBytes, long now) {
		if (now < this.notBeforeMillis) {
			return false;
		}
		return outstandingBytes == 0 || outstandingBytes + Limits.UPSTREAM_SLICE_BYTES <= this.bytes;
	}

	DelayWindow answered(long now, long tookMillis, int sliceBytes) {
		boolean renewed = tookMillis <= this.baseMillis || now - this.baseAtMillis > BASE_AGE_MILLIS;
		long base = renewed ? tookMillis : this.baseMillis;
		long baseAt = renewed ? now : this.baseAtMillis;
		if (tookMillis - base <= TARGET_MILLIS) {
			double gain = this.growing ? sliceBytes : sliceBytes * (sliceBytes / Math.max(sliceBytes, this.bytes));
			return new DelayWindow(Math.min(LARGEST_BYTES, this.bytes + gain), base, baseAt, this.cutAtMillis,
					this.growing, 0);
		}
		if (now - this.cutAtMillis < tookMillis) {
			return new DelayWindow(this.bytes, base, baseAt, this.cutAtMillis, false, this.notBeforeMillis);
		}
		double cut = Math.max(SMALLEST_BYTES, this.bytes * CUT);
		return new DelayWindow(cut, base, baseAt, now, false, now + pause(cut, tookMillis));
	}

	private static long pause(double window, long tookMillis) {
		double slices = Limits.UPSTREAM_SLICE_BYTES / window;
		return (slices <= 1) ? 0 : (long) (tookMillis * (slices - 1));
	}

}
