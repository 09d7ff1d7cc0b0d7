package org.catkingate.runtime;

import java.time.InstantSource;

import org.catkingate.decisions.registry.Moment;

/**
 * Reads both clocks of a process at once. Safe for use by any thread.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface MomentSource {

	/**
	 * Reads the clocks.
	 * @return the moment, never null
	 */
	Moment now();

	/**
	 * Reads two clocks.
	 * @param monotonic the monotonic clock
	 * @param wall the time of day
	 * @return the source, never null
	 */
	static MomentSource of(MonotonicClock monotonic, InstantSource wall) {
		return () -> new Moment(monotonic.millis(), wall.millis());
	}

	/**
	 * Reads the clocks of the runtime.
	 * @return the source, never null
	 */
	static MomentSource system() {
		return of(MonotonicClock.system(), InstantSource.system());
	}

}
