package org.catkingate.decisions.retries;

import java.util.Arrays;

/**
 * A counter of the events in a sliding time window, which is divided into slices. The
 * count may include events up to one slice older than the window, but never misses one in
 * it. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class SlidingWindowCounter {

	private static final int SLICES = 10;

	/** The counts of the slices of the window and of the slice in progress. */
	private final long[] counts = new long[SLICES + 1];

	private final long sliceMillis;

	private long newestSlice = Long.MIN_VALUE;

	private SlidingWindowCounter(long windowMillis) {
		this.sliceMillis = Math.max(1, windowMillis / SLICES);
	}

	/**
	 * Creates a counter of zero events.
	 * @param windowMillis the length of the window, in milliseconds
	 * @return the counter, never null
	 */
	public static SlidingWindowCounter create(long windowMillis) {
		return new SlidingWindowCounter(windowMillis);
	}

	/**
	 * Counts one event.
	 * @param nowMillis the time of the event, in milliseconds of the monotonic clock
	 */
	public void add(long nowMillis) {
		advance(nowMillis);
		this.counts[index(this.newestSlice)]++;
	}

	/**
	 * Returns the number of events in the window.
	 * @param nowMillis the current time, in milliseconds of the monotonic clock
	 * @return the number of events in the window that ends now
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
