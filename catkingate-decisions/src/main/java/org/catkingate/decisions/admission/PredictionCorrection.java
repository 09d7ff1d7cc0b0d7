package org.catkingate.decisions.admission;

/**
 * The correction factor of predicted times to the first event: an exponential moving
 * average of observed over predicted time. Immutable.
 *
 * @param factor the ratio of observed to predicted time
 * @since 0.1
 */
public record PredictionCorrection(double factor) {

	/** The weight of the newest observation, which averages over about 50 requests. */
	private static final double SMOOTHING_FACTOR = 0.02;

	/** Bounds of the factor, so that a few outliers cannot admit or reject everything. */
	private static final double MIN_FACTOR = 0.8;

	private static final double MAX_FACTOR = 2;

	/**
	 * Returns the factor of a process without observations.
	 * @return a factor of 1, never null
	 */
	public static PredictionCorrection none() {
		return new PredictionCorrection(1);
	}

	/**
	 * Returns the factor updated by one response.
	 * @param predictedMillis the predicted time to the first event, in milliseconds
	 * @param observedMillis the observed time, in milliseconds
	 * @return the updated factor, never null
	 */
	public PredictionCorrection withObservation(double predictedMillis, double observedMillis) {
		double ratio = Math.min(2 * MAX_FACTOR, observedMillis / Math.max(1, predictedMillis));
		double updated = this.factor + SMOOTHING_FACTOR * (ratio - this.factor);
		return new PredictionCorrection(Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, updated)));
	}

}
