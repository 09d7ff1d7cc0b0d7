package org.catkingate.decisions.retries;

/**
 * The maximum number of retries that all gateways together may make in any time window.
 * Each gateway keeps to its own share, which is estimated on the low side. Immutable.
 *
 * @param ratio the number of retries allowed per call
 * @param free the number of retries allowed in addition, per window
 * @param windowMillis the length of the window, in milliseconds
 * @since 0.1
 */
public record RetryAllowance(double ratio, int free, long windowMillis) {

	/**
	 * The fraction of the ratio that is used, because the calls of gateways are spread
	 * unevenly over a window.
	 */
	private static final double USED_RATIO_FRACTION = 0.8;

	public RetryAllowance {
		if (ratio < 0 || free < 0 || windowMillis < 1) {
			throw new IllegalArgumentException(
					"ratio and free must not be negative, and windowMillis must be positive");
		}
	}

	/**
	 * Returns whether one more retry is allowed.
	 * @param calls the calls to the service that this gateway received in the window
	 * @param retries the retries that this gateway made in the window
	 * @param gateways the number of gateways, an estimate that is rather too high than
	 * too low
	 * @return true if one more retry is within this gateway's share
	 */
	public boolean allows(long calls, long retries, int gateways) {
		return retries + 1 <= USED_RATIO_FRACTION * this.ratio * calls + (double) this.free / Math.max(1, gateways);
	}

}
