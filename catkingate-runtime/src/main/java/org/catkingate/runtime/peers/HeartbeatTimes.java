package org.catkingate.runtime.peers;

/**
 * The times at which this process sent its latest heartbeats, by its own monotonic clock.
 * Safe for use by any thread.
 */
final class HeartbeatTimes {

	/** The number of heartbeats whose time is kept; older ones count as never sent. */
	private static final int HISTORY_SIZE = 64;

	private final long[] sentAtMillis = new long[HISTORY_SIZE];

	private long newest;

	synchronized void recordSent(long sequence, long nowMillis) {
		this.newest = sequence;
		this.sentAtMillis[(int) (sequence % HISTORY_SIZE)] = nowMillis;
	}

	synchronized long newest() {
		return this.newest;
	}

	synchronized long ageMillis(long sequence, long nowMillis) {
		if (sequence < 1 || sequence > this.newest || sequence <= this.newest - HISTORY_SIZE) {
			return Long.MAX_VALUE;
		}
		return nowMillis - this.sentAtMillis[(int) (sequence % HISTORY_SIZE)];
	}

}
