package org.catkingate.decisions.pieces;

/**
 * The times that decide whether the version before the newest one is still worth its
 * bytes. Immutable and safe for use by any thread.
 *
 * @param neededAtMillis when the versions before the older one may no longer serve, in
 * monotonic milliseconds; from then on nothing can serve unless a later version has
 * arrived
 * @param deliveryMillis the time that a copy needs from the gateways to the runners, in
 * milliseconds
 * @since 0.1
 */
public record VersionTimes(long neededAtMillis, long deliveryMillis) {

	/**
	 * The fraction of the time for a change that a copy needs over the slowest known
	 * link, with the load; loaders reserve the same fraction for fetching.
	 */
	private static final double DELIVERY_FRACTION = 0.45;

	/**
	 * Creates the times from the time for a change.
	 * @param neededAtMillis when the versions before the older one may no longer serve,
	 * in monotonic milliseconds
	 * @param changeMillis the time after its declaration within which a version must be
	 * served, in milliseconds
	 * @return the times, never null
	 */
	public static VersionTimes of(long neededAtMillis, long changeMillis) {
		return new VersionTimes(neededAtMillis, (long) (DELIVERY_FRACTION * changeMillis));
	}

	/**
	 * Returns whether the older version should be read completely before the newest one:
	 * only if the newest would arrive too late and the older in time.
	 * @param olderMissing the number of pieces of the older version still to read
	 * @param newestMissing the number of pieces of the newest version still to read
	 * @param pieceMillis the time for a piece, in milliseconds; 0 if it is unknown
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return whether to read the older version first
	 */
	boolean isOlderFirst(int olderMissing, int newestMissing, double pieceMillis, long nowMillis) {
		return pieceMillis > 0 && !isInTime(newestMissing, pieceMillis, nowMillis)
				&& isInTime(olderMissing, pieceMillis, nowMillis);
	}

	// delivery overlaps with reading, since pieces are forwarded as they arrive
	private boolean isInTime(int missing, double pieceMillis, long nowMillis) {
		return nowMillis + Math.max(missing * pieceMillis, this.deliveryMillis) <= this.neededAtMillis;
	}

}
