package org.catkingate.decisions.cost;

/**
 * The slowdown of one runner's machine: the mean and the spread of recent statements, and
 * what to expect now. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class SlowdownTracker {

	/**
	 * The time in which a statement loses its effect beyond the mean, in milliseconds.
	 * Machines are slow for some hundred milliseconds at a time.
	 */
	private static final double STATEMENT_VALID_MILLIS = 600;

	/**
	 * The time in which the mean loses its effect without a new statement, in
	 * milliseconds. A runner that counts as slow gets few requests and therefore seldom
	 * states that it is as fast as usual again.
	 */
	private static final double MEAN_VALID_MILLIS = 10_000;

	/** The weight of the newest statement in the mean, which averages over about 20. */
	private static final double SMOOTHING_FACTOR = 0.05;

	/** Bounds of usable statements; others are wrong and ignored. */
	private static final double MIN_SLOWDOWN = 0.2;

	private static final double MAX_SLOWDOWN = 20;

	private double mean = 1;

	private double variance;

	private double last = 1;

	private long lastAtMillis = Long.MIN_VALUE / 2;

	/**
	 * Records a statement of the runner.
	 * @param slowdown the slowdown; 1 is as usual
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public void record(double slowdown, long nowMillis) {
		if (slowdown >= MIN_SLOWDOWN && slowdown <= MAX_SLOWDOWN) {
			double deviation = slowdown - this.mean;
			this.mean += SMOOTHING_FACTOR * deviation;
			this.variance += SMOOTHING_FACTOR * (deviation * deviation - this.variance);
			this.last = slowdown;
			this.lastAtMillis = nowMillis;
		}
	}

	/**
	 * Returns the expected slowdown: the last statement, which approaches the mean as it
	 * ages, and later 1.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the slowdown; 1 is as usual, and without any statement
	 */
	public double expected(long nowMillis) {
		long ageMillis = nowMillis - this.lastAtMillis;
		double typical = 1 + remaining(ageMillis, MEAN_VALID_MILLIS) * (this.mean - 1);
		return typical + remaining(ageMillis, STATEMENT_VALID_MILLIS) * (this.last - typical);
	}

	private static double remaining(long ageMillis, double validMillis) {
		return Math.max(0, 1 - ageMillis / validMillis);
	}

	/**
	 * Returns the spread of the statements.
	 * @return their standard deviation
	 */
	public double spread() {
		return Math.sqrt(this.variance);
	}

}
