package org.catkingate.decisions.retries;

/**
 * How many sends beyond the first of each call all entries together may make in any
 * window. Each entry keeps to a share of it that errs low. Immutable.
 *
 * @param ratio the sends allowed for each call
 * @param free the sends allowed besides
 * @param windowMillis the length of the window, in milliseconds
 * @since 0.1
 */
public record RetryAllowance(double ratio, int free, long windowMillis) {

	/** The part of the ratio that is used; calls of entries end unevenly in a window. */
	private static final double USED_RATIO_FRACTION = 0.8;

	public RetryAllowance {
		if (ratio < 0 || free < 0 || windowMillis < 1) {
			throw new IllegalArgumentException("the allowance of retries must not be negative");
		}
	}

	/**
	 * Tells whether one more send is allowed.
	 * @param calls the calls to the service that this entry got in the window
	 * @param repeats the sends beyond the first that it made in the window
	 * @param entries how many entries there may be, rather more than fewer
	 * @return whether one more stays within this entry's share
	 */
	public boolean allows(long calls, long repeats, int entries) {
		return repeats + 1 <= USED_RATIO_FRACTION * this.ratio * calls + (double) this.free / Math.max(1, entries);
	}

}
