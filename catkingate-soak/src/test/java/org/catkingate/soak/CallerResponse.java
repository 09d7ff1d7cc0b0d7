package org.catkingate.soak;

import java.util.Map;

/**
 * What a caller has received for a request. Immutable.
 *
 * @param status the status, {@link #NONE} if the connection ended before it was received
 * and {@link #MALFORMED} if the bytes are not a response
 * @param headers the headers by name in lower case
 * @param body the part of the body that was received, one character for each byte
 * @param complete whether the body ended as its framing says
 */
record CallerResponse(int status, Map<String, String> headers, String body, boolean complete) {

	static final int NONE = 0;

	static final int MALFORMED = -1;

	CallerResponse {
		headers = Map.copyOf(headers);
	}

	String header(String name) {
		return this.headers.getOrDefault(name, "");
	}

	boolean isSuccess() {
		return this.status / 100 == 2;
	}

	/**
	 * Returns whether the status states that the request has not run and will not run.
	 */
	boolean statesNotRun() {
		return this.status == 429 || this.status == 503 || this.status == 408 || this.status == 421;
	}

	static CallerResponse none() {
		return new CallerResponse(NONE, Map.of(), "", false);
	}

}
