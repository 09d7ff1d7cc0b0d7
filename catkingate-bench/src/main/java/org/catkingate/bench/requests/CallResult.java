package org.catkingate.bench.requests;

/**
 * What became of one call. Immutable.
 *
 * @param status the HTTP status, 0 if no head came
 * @param firstByteNanos the time until the first byte of the body, 0 if none came
 * @param totalNanos the time until the end
 * @param tokens the tokens that have arrived
 * @param whole whether the answer ended properly
 * @param left whether the caller left on purpose
 */
record CallResult(int status, long firstByteNanos, long totalNanos, long tokens, boolean whole, boolean left) {

	private static final int OK = 200;

	boolean isGood() {
		return this.whole && this.status == OK;
	}

	boolean isRefused() {
		return this.whole && this.status != OK;
	}

}
