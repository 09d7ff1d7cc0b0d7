package org.catkingate.bench.requests;

/**
 * The result of one call. Immutable.
 *
 * @param status the HTTP status, 0 if no response head was received
 * @param firstByteNanos the time until the first byte of the body, 0 if none was received
 * @param totalNanos the time until the end of the call
 * @param tokens the number of tokens received
 * @param complete whether the response was received completely
 * @param abandoned whether the client abandoned the call intentionally
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
