package org.catkingate.runtime;

import java.util.concurrent.TimeUnit;

/**
 * A clock that never goes backwards, not even while the process is paused. Tests can pass
 * a clock that they advance themselves. Safe for use by any thread.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface MonotonicClock {

	/**
	 * Returns the current time in nanoseconds.
	 * @return nanoseconds since an arbitrary origin
	 */
	long nanos();

	/**
	 * Returns the current time in milliseconds.
	 * @return milliseconds since an arbitrary origin
	 */
	default long millis() {
		return TimeUnit.NANOSECONDS.toMillis(nanos());
	}

	/**
	 * Returns the monotonic clock of the Java virtual machine.
	 * @return the clock, never null
	 */
	static MonotonicClock system() {
		return System::nanoTime;
	}

}
