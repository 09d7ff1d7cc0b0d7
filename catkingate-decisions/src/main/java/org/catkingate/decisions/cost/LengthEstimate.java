package org.catkingate.decisions.cost;

import java.util.Arrays;
import java.util.Locale;

/**
 * The estimated distribution of the length of one response: in tokens, or in milliseconds
 * for a service without engines. Immutable.
 *
 * @since 0.1
 */
public final class LengthEstimate {

	/** The upper quantile that is reported. */
	private static final double UPPER_QUANTILE = 0.9;

	/**
	 * The least length that is expected to be left of an unfinished response, in
	 * proportion to what it has already. It bounds the error for a response that is
	 * longer than all known ones.
	 */
	private static final double MIN_REMAINING_PART = 0.1;

	/** The mean length of the responses that reach a band, by band. */
	private final float[] meanFromBand;

	private final double median;

	private final double upper;

	private LengthEstimate(float[] meanFromBand, double median, double upper) {
		this.meanFromBand = meanFromBand;
		this.median = median;
		this.upper = upper;
	}

	/**
	 * Creates an estimate that states one length.
	 * @param length the length
	 * @return the estimate, never null
	 */
	public static LengthEstimate exactly(double length) {
		float[] means = new float[LengthBands.COUNT];
		Arrays.fill(means, (float) length);
		return new LengthEstimate(means, length, length);
	}

	/**
	 * Creates an estimate from the weights of bands.
	 * @param weights the weights, at least one of them positive
	 * @param maxLength the maximum length, 0 if there is none
	 * @return the estimate, never null
	 */
	static LengthEstimate of(double[] weights, double maxLength) {
		double limit = (maxLength > 0) ? maxLength : Double.MAX_VALUE;
		float[] means = new float[LengthBands.COUNT];
		double weight = 0;
		double sum = 0;
		for (int band = LengthBands.COUNT - 1; band >= 0; band--) {
			weight += weights[band];
			sum += weights[band] * Math.min(limit, LengthBands.middle(band));
			means[band] = (float) ((weight > 0) ? sum / weight : Math.min(limit, LengthBands.middle(band)));
		}
		return new LengthEstimate(means, Math.min(limit, quantile(weights, weight / 2)),
				Math.min(limit, quantile(weights, weight * UPPER_QUANTILE)));
	}

	private static double quantile(double[] weights, double rank) {
		double below = 0;
		for (int band = 0; band < LengthBands.COUNT; band++) {
			below += weights[band];
			if (below >= rank) {
				return LengthBands.middle(band);
			}
		}
		return LengthBands.middle(LengthBands.COUNT - 1);
	}

	/**
	 * Returns the mean length.
	 * @return the mean
	 */
	public double mean() {
		return this.meanFromBand[0];
	}

	/**
	 * Returns the length that half of the responses exceed.
	 * @return the median
	 */
	public double median() {
		return this.median;
	}

	/**
	 * Returns the length that one response in ten exceeds.
	 * @return the quantile of 0.9
	 */
	public double upper() {
		return this.upper;
	}

	/**
	 * Returns the mean of what is left of a response that is not complete.
	 * @param produced the length of what has been produced of it
	 * @return the expected remaining length, positive if anything has been produced
	 */
	public double remaining(double produced) {
		double expected = this.meanFromBand[(produced > 0) ? LengthBands.of(produced) : 0] - produced;
		return Math.max(expected, MIN_REMAINING_PART * produced);
	}

	@Override
	public String toString() {
		return String.format(Locale.ROOT, "%.0f/%.0f/%.0f", mean(), this.median, this.upper);
	}

}
