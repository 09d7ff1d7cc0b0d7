package org.catkingate.decisions.limits;

/**
 * A moving average of the time that requests occupy a slot of a runner, from which the
 * wait in its queue is estimated. Immutable; each operation returns the updated average.
 *
 * @param meanMillis the moving average, in milliseconds; 0 before the first request
 * @since 0.1
 */
public record SlotOccupancy(double meanMillis) {

	/** The weight of the newest observation. */
	private static final double SMOOTHING_FACTOR = 0.1;

	private static final SlotOccupancy UNKNOWN = new SlotOccupancy(0);

	public SlotOccupancy {
		if (!(meanMillis >= 0)) {
			throw new IllegalArgumentException("meanMillis must not be negative");
		}
	}

	/**
	 * Returns the average before any request.
	 * @return an average that estimates no wait, never null
	 */
	public static SlotOccupancy unknown() {
		return UNKNOWN;
	}

	/**
	 * Adds a request that has released its slot.
	 * @param millis the time for which the request occupied the slot, in milliseconds
	 * @return the updated average, never null
	 */
	public SlotOccupancy withObservation(long millis) {
		if (this.meanMillis == 0) {
			return new SlotOccupancy(Math.max(0, millis));
		}
		return new SlotOccupancy(this.meanMillis + SMOOTHING_FACTOR * (millis - this.meanMillis));
	}

	/**
	 * Estimates the queueing time of a request.
	 * @param requestsAhead the number of requests queued before it
	 * @param slots the number of slots of the runner
	 * @return the wait in milliseconds, {@link Long#MAX_VALUE} if there are no slots
	 */
	public long waitMillis(int requestsAhead, int slots) {
		if (slots <= 0) {
			return Long.MAX_VALUE;
		}
		return Math.round((requestsAhead + 1) * this.meanMillis / slots);
	}

}
