package org.catkingate.decisions.retries;

import java.util.Arrays;

/**
 * Counts events of the latest window, in slices of it. The count includes up to one slice
 * too much, never too little. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class WindowCount {

	private static final int SLICES = 10;

	private final long[] counts = new long[SLICES + 1];

	private final long sliceMillis;

	private long newestSlice = Long.MIN_VALUE;

	private WindowCount(long windowMillis) {
		this.sliceMillis = Math.max(1, windowMillis / SLICES);
	}

	/**
	 * Starts at zero.
	 * @param windowMillis the length of the window, in milliseconds
	 * @return the count, never null
	 */
	public static WindowCount over(long windowMillis) {
		return new WindowCount(windowMillis);
	}

	/**
	 * Counts one event.
	 * @param nowMillis the time of the event, in monotonic milliseconds
	 */
	public void add(long nowMillis) {
		advance(nowMillis);
		this.counts[index(this.newestSlice)]++;
	}

	/**
	 * Returns the count.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return how many events there were in the window that ends now
	 */
	public long count(long nowMillis) {
		advance(nowMillis);
		long sum = 0;
		for (long count : this.counts) {
			sum += count;
		}
		return sum;
	}

	private void advance(long nowMillis) {
		long slice = Math.floorDiv(nowMillis, this.sliceMillis);
		if (this.newestSlice == Long.MIN_VALUE || slice - this.newestSlice > SLICES) {
			Arrays.fill(this.counts, 0);
			this.newestSlice = slice;
		}
		while (this.newestSlice < slice) {
			this.newestSlice++;
			this.counts[index(this.newestSlice)] = 0;
		}
	}

	private static int index(long slice) {
		return (int) Math.floorMod(slice, (long) (SLICES + 1));
	}

}
