package org.catkingate.decisions.limits;

/**
 * How long requests have kept a runner's places lately, from which the wait in its queue
 * is estimated. Immutable; each operation returns the record after it.
 *
 * @param meanMillis the moving average, in milliseconds, 0 while nothing is known
 * @since 0.1
 */
public record PlaceTime(double meanMillis) {

	private static final double SMOOTHING_FACTOR = 0.1;

	private static final PlaceTime UNKNOWN = new PlaceTime(0);

	public PlaceTime {
		if (!(meanMillis >= 0)) {
			throw new IllegalArgumentException("meanMillis must not be negative");
		}
	}

	/**
	 * Returns the record before any request.
	 * @return a record that estimates no wait, never null
	 */
	public static PlaceTime unknown() {
		return UNKNOWN;
	}

	/**
	 * Takes note of a request that has left its place.
	 * @param millis how long it had it, in milliseconds
	 * @return the record afterwards, never null
	 */
	public PlaceTime after(long millis) {
		if (this.meanMillis == 0) {
			return new PlaceTime(Math.max(0, millis));
		}
		return new PlaceTime(this.meanMillis + SMOOTHING_FACTOR * (millis - this.meanMillis));
	}

	/**
	 * Estimates how long a request waits.
	 * @param ahead how many wait before it
	 * @param places how many run at a time
	 * @return the wait in milliseconds
	 */
	public long waitMillis(int ahead, int places) {
		if (places <= 0) {
			return Long.MAX_VALUE;
		}
		return Math.round((ahead + 1) * this.meanMillis / places);
	}

}
