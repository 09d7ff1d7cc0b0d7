package org.catkingate.decisions.loading;

/**
 * The timeouts and limits for loading weights to a runner. Immutable.
 *
 * @param changeMillis the time after its declaration within which a version must be
 * served, in milliseconds
 * @param finishMillis the time before the end of that period at which the last runner is
 * commanded to load, in milliseconds
 * @param maxConcurrentPieces the maximum number of pieces fetched at the same time
 * @param seed a seed that makes the turns of processes differ
 * @since 0.1
 */
public record LoadSettings(long changeMillis, long finishMillis, int maxConcurrentPieces, long seed) {

	/**
	 * A runner that has accepted a load command accepts no new requests; those that
	 * already wait at it start within this time.
	 */
	private static final long FINISH_MILLIS = 1200;

	/**
	 * Two pieces keep a link busy: one is in transit while the next is requested.
	 * Requests to the runner use the same link and wait behind every piece in transit.
	 */
	private static final int MAX_CONCURRENT_PIECES = 2;

	public LoadSettings {
		if (changeMillis < 1 || maxConcurrentPieces < 1) {
			throw new IllegalArgumentException("changeMillis and maxConcurrentPieces must be positive");
		}
	}

	/**
	 * Creates settings with the default limits.
	 * @param changeMillis the time after its declaration within which a version must be
	 * served, in milliseconds
	 * @param seed a seed that makes the turns of processes differ
	 * @return the settings, never null
	 */
	public static LoadSettings of(long changeMillis, long seed) {
		return new LoadSettings(changeMillis, Math.min(FINISH_MILLIS, changeMillis / 2), MAX_CONCURRENT_PIECES, seed);
	}

}
