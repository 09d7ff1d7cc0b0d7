package org.catkingate.runtime;

import java.util.concurrent.TimeUnit;

/**
 * A clock that never goes back, also while the process is paused. Tests pass one that
 * they advance. Safe for use by any thread.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface MonotonicClock {

	/**
	 * Reads the clock.
	 * @return nanoseconds since an arbitrary origin
	 */
	long nanos();

	/**
	 * Reads the clock.
	 * @return milliseconds since an arbitrary origin
	 */
	default long millis() {
		return TimeUnit.NANOSECONDS.toMillis(nanos());
	}

	/**
	 * Returns the clock of the runtime.
	 * @return the clock, never null
	 */
	static MonotonicClock system() {
		return System::nanoTime;
	}

}
