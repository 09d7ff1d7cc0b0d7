package org.catkingate.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * The numbers of running and waiting requests of an engine, reported with a delay. Not
 * thread-safe; guarded by its owner.
 */
final class DelayedLoad {

	private final Deque<LoadSample> history = new ArrayDeque<>();

	DelayedLoad() {
		this.history.add(new LoadSample(0, 0, nowMillis()));
	}

	void record(int running, int waiting, long lagMillis) {
		this.history.add(new LoadSample(running, waiting, nowMillis()));
		removeOutdated(lagMillis);
	}

	LoadSample current(long lagMillis) {
		removeOutdated(lagMillis);
		return this.history.peek();
	}

	private void removeOutdated(long lagMillis) {
		long newest = nowMillis() - lagMillis;
		while (this.history.size() > 1) {
			LoadSample first = this.history.poll();
			if (this.history.peek().takenMillis() > newest) {
				this.history.addFirst(first);
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
	record LoadSample(int running, int waiting, long takenMillis) {

	}

}
