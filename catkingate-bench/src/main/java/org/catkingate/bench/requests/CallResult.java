package org.catkingate.bench.requests;

/**
 * What became of one call. Immutable.
 *
 * @param status the HTTP status, 0 if no head came
 * @param firstByteNanos the time until the first byte of the body, 0 if none came
 * @param totalNanos the time until the end
 * @param tokens the tokens that have arrived
 * @param complete whether the answer ended properly
 * @param abandoned whether the caller left on purpose
 */
record CallResult(int status, long firstByteNanos, long totalNanos, long tokens, boolean complete, boolean abandoned) {

	private static final int STATUS_OK = 200;

	boolean isSuccessful() {
		return this.complete && this.status == STATUS_OK;
	}

	boolean isRejected() {
		return this.complete && this.status != STATUS_OK;
	}

}
