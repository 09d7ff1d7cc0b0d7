package org.catkingate.decisions.loading;

/**
 * The pace at which pieces arrive and the runner loads, from which the end of a load is
 * estimated. Immutable and safe for use by any thread.
 *
 * @param lastPieceAtMillis when the last piece was staged, in monotonic milliseconds;
 * {@link #NONE} before the first one
 * @param pieceMillis the mean time between two pieces, in milliseconds; 0 if it is
 * unknown
 * @param loadMillis the time from the load command until the runner serves, in
 * milliseconds
 * @since 0.1
 */
public record Pace(long lastPieceAtMillis, double pieceMillis, long loadMillis) {

	/** Stands for the time of a piece that has not arrived. */
	static final long NONE = Long.MIN_VALUE;

	/**
	 * The time that a load takes until one has been measured; a runner that serves
	 * nothing has no requests to end before.
	 */
	private static final long DEFAULT_LOAD_MILLIS = 400;

	/** The weight of a new measurement in the mean time between two pieces. */
	private static final double WEIGHT = 0.2;

	/**
	 * The time without a piece after which the pace is unknown, since the source may be
	 * unavailable; a slow link takes less for each of two concurrent pieces.
	 */
	private static final long STALLED_MILLIS = 700;

	static Pace unknown() {
		return new Pace(NONE, 0, DEFAULT_LOAD_MILLIS);
	}

	Pace withoutPieces() {
		return new Pace(NONE, 0, this.loadMillis);
	}

	/*
	 * A stall ends what has been measured: before it, pieces may have come from a source
	 * that many others used, or that was about to become unavailable.
	 */
	Pace afterPiece(long nowMillis) {
		long sample = nowMillis - this.lastPieceAtMillis;
		if (this.lastPieceAtMillis == NONE || sample >= STALLED_MILLIS) {
			return new Pace(nowMillis, 0, this.loadMillis);
		}
		// pieces that arrive within a millisecond must not make the pace look unknown
		double measured = Math.max(0.5, sample);
		double mean = (this.pieceMillis == 0) ? measured : this.pieceMillis + WEIGHT * (measured - this.pieceMillis);
		return new Pace(nowMillis, mean, this.loadMillis);
	}

	Pace afterLoad(long durationMillis) {
		return new Pace(this.lastPieceAtMillis, this.pieceMillis, durationMillis);
	}

	boolean isKnown(long nowMillis) {
		return this.pieceMillis > 0 && nowMillis - this.lastPieceAtMillis < STALLED_MILLIS;
	}

}
