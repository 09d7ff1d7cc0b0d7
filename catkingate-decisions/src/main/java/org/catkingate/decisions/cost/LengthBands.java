package org.catkingate.decisions.cost;

/**
 * The logarithmic bands in which lengths are counted, four for each doubling. Stateless.
 */
final class LengthBands {

	/** The number of bands, which reach to a length of 65,536. */
	static final int COUNT = 65;

	private static final int PER_DOUBLING = 4;

	private static final double[] MIDDLES = new double[COUNT];

	static {
		for (int band = 0; band < COUNT; band++) {
			MIDDLES[band] = Math.pow(2, (double) band / PER_DOUBLING);
		}
	}

	private LengthBands() {
	}

	static int of(double length) {
		if (!(length > 1)) {
			return 0;
		}
		return (int) Math.min(COUNT - 1, Math.round(PER_DOUBLING * Math.log(length) / Math.log(2)));
	}

	/**
	 * Returns the geometric middle of a band.
	 * @param band the band
	 * @return the length
	 */
	static double middle(int band) {
		return MIDDLES[band];
	}

}
