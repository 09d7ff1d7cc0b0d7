package org.catkingate.runtime;

import java.time.InstantSource;

import org.catkingate.decisions.registry.Moment;

/**
 * A source of moments, which combine a reading of the monotonic clock with one of the
 * wall clock. Safe for use by any thread.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface MomentSource {

	/**
	 * Reads both clocks.
	 * @return the moment, never null
	 */
	Moment now();

	/**
	 * Creates a source that reads the given clocks.
	 * @param monotonic the monotonic clock
	 * @param wall the wall clock
	 * @return the source, never null
	 */
	static MomentSource of(MonotonicClock monotonic, InstantSource wall) {
		return () -> new Moment(monotonic.millis(), wall.millis());
	}

	/**
	 * Returns a source that reads the system clocks.
	 * @return the source, never null
	 */
	static MomentSource system() {
		return of(MonotonicClock.system(), InstantSource.system());
	}

}
