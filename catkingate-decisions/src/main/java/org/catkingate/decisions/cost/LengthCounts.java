package org.catkingate.decisions.cost;

/**
 * Counts of observed lengths by logarithmic band. Old evidence is forgotten by halving
 * all counts at a maximum weight. Not safe for use by several threads.
 */
final class LengthCounts {

	/**
	 * The weight at which all counts are halved. An upper quantile of 0.9 needs some
	 * hundred observations, and a changed behaviour should show within as many.
	 */
	private static final double MAX_WEIGHT = 512;

	private final float[] weights = new float[LengthBands.COUNT];

	private double total;

	double total() {
		return this.total;
	}

	double weight(int band) {
		return this.weights[band];
	}

	void add(int band, double weight) {
		this.weights[band] += (float) weight;
		this.total += weight;
	}

	void forgetIfFull() {
		if (this.total >= MAX_WEIGHT) {
			this.total = 0;
			for (int band = 0; band < LengthBands.COUNT; band++) {
				this.weights[band] /= 2;
				this.total += this.weights[band];
			}
		}
	}

}
