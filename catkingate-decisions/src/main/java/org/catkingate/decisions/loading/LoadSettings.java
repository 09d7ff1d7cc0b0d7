package org.catkingate.decisions.loading;

/**
 * The times and bounds by which weights are brought to a runner. Immutable.
 *
 * @param changeMillis how long after its declaration a version must be served, in
 * milliseconds
 * @param finishMillis how long before the end of that time the last runner is ordered to
 * load, in milliseconds
 * @param maxConcurrentPieces how many pieces are fetched at a time
 * @param seed makes the turns of processes differ
 * @since 0.1
 */
public record LoadSettings(long changeMillis, long finishMillis, int maxConcurrentPieces, long seed) {

	/**
	 * An accepted order takes no new work; what waits at the runner begins within this.
	 */
	private static final long FINISH_MILLIS = 1200;

	/**
	 * One on its way while the next is asked for keeps a link busy. Requests to the
	 * runner come over the same link and wait behind every piece that is on it.
	 */
	private static final int MAX_CONCURRENT_PIECES = 2;

	public LoadSettings {
		if (changeMillis < 1 || maxConcurrentPieces < 1) {
			throw new IllegalArgumentException("the bounds of loading must be positive");
		}
	}

	/**
	 * Returns the usual bounds.
	 * @param changeMillis how long after its declaration a version must be served, in
	 * milliseconds
	 * @param seed makes the turns of processes differ
	 * @return the settings, never null
	 */
	public static LoadSettings within(long changeMillis, long seed) {
		return new LoadSettings(changeMillis, Math.min(FINISH_MILLIS, changeMillis / 2), MAX_CONCURRENT_PIECES, seed);
	}

}
