package org.catkingate.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * The numbers of running and waiting requests of an engine, reported with a delay. Not
 * thread-safe; guarded by its owner.
 */
final class DelayedRequestCounts {

	private final Deque<RequestCounts> history = new ArrayDeque<>();

	DelayedRequestCounts() {
		this.history.add(new RequestCounts(0, 0, nowMillis()));
	}

	void record(int running, int waiting, long lagMillis) {
		this.history.add(new RequestCounts(running, waiting, nowMillis()));
		removeOutdated(lagMillis);
	}

	RequestCounts reportedCounts(long lagMillis) {
		removeOutdated(lagMillis);
		return this.history.peek();
	}

	private void removeOutdated(long lagMillis) {
		long latestTakenMillis = nowMillis() - lagMillis;
		while (this.history.size() > 1) {
			RequestCounts oldest = this.history.poll();
			if (this.history.peek().takenMillis() > latestTakenMillis) {
				this.history.addFirst(oldest);
				return;
			}
		}
	}

	private static long nowMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	/**
	 * The numbers of requests at one time. Immutable.
	 *
	 * @param running the number of running requests
	 * @param waiting the number of waiting requests
	 * @param takenMillis the time, in milliseconds of the monotonic clock
	 */
	record RequestCounts(int running, int waiting, long takenMillis) {

	}

}
