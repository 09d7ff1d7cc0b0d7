package org.catkingate.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * The load, as it was some time ago. Guarded by its owner.
 */
final class LaggedLoad {

	private final Deque<Load> history = new ArrayDeque<>();

	LaggedLoad() {
		this.history.add(new Load(0, 0, nowMillis()));
	}

	void set(int running, int waiting, long lagMillis) {
		this.history.add(new Load(running, waiting, nowMillis()));
		forget(lagMillis);
	}

	Load get(long lagMillis) {
		forget(lagMillis);
		return this.history.peek();
	}

	private void forget(long lagMillis) {
		long newest = nowMillis() - lagMillis;
		while (this.history.size() > 1) {
			Load first = this.history.poll();
			if (this.history.peek().atMillis() > newest) {
				this.history.addFirst(first);
				return;
			}
		}
	}

	private static long nowMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	/**
	 * The load at one moment. Immutable.
	 *
	 * @param running how many requests ran
	 * @param waiting how many waited
	 * @param atMillis when, in milliseconds of the monotonic clock
	 */
	record Load(int running, int waiting, long atMillis) {

	}

}
