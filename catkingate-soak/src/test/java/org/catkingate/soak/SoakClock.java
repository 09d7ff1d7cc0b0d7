package org.catkingate.soak;

/**
 * The monotonic clock of a soak. Safe for use by any thread.
 */
@FunctionalInterface
interface SoakClock {

	/**
	 * Returns the time since a fixed point, in milliseconds.
	 */
	long millis();

	static SoakClock system() {
		long start = System.nanoTime();
		return () -> (System.nanoTime() - start) / 1_000_000;
	}

}
