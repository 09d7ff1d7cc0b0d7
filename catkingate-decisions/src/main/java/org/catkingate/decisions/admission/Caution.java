package org.catkingate.decisions.admission;

/**
 * How much longer first events take than predicted, learnt from what is observed.
 * Immutable.
 *
 * @param factor the observed time in proportion to the predicted
 * @since 0.1
 */
public record Caution(double factor) {

	/** The weight of the newest observation: some fifty requests are remembered. */
	private static final double SMOOTHING_FACTOR = 0.02;

	/** Bounds, so that a few odd answers neither open nor close the gate. */
	private static final double MIN_FACTOR = 0.8;

	private static final double MAX_FACTOR = 2;

	/**
	 * Returns the caution of a process that has observed nothing.
	 * @return the caution, never null
	 */
	public static Caution none() {
		return new Caution(1);
	}

	/**
	 * Learns from one answer.
	 * @param predictedMillis the predicted time to the first event, in milliseconds
	 * @param observedMillis the observed time, in milliseconds
	 * @return the caution afterwards, never null
	 */
	public Caution after(double predictedMillis, double observedMillis) {
		double seen = Math.min(2 * MAX_FACTOR, observedMillis / Math.max(1, predictedMillis));
		double next = this.factor + SMOOTHING_FACTOR * (seen - this.factor);
		return new Caution(Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, next)));
	}

}
