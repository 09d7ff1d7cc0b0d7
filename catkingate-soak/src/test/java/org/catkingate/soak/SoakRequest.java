package org.catkingate.soak;

/**
 * A request of a caller. Immutable.
 *
 * @param id its identifier
 * @param kind its kind
 * @param gateway the gateway process it was sent to, a new one after each start
 * @param path its path
 * @param body its body
 * @param key the key of the caller's account
 * @param sentMillis when the caller began to send it
 * @param workMillis the duration of its stream, 0 for a short time of the runner's own
 * @param deadlineMillis the time within which the caller expects a response
 */
record SoakRequest(String id, RequestKind kind, String gateway, String path, String body, String key, long sentMillis,
		long workMillis, long deadlineMillis) {

	/**
	 * Returns the version of the configuration that has the route of a probe.
	 */
	long probedVersion() {
		return Long.parseLong(this.path.split("/")[2]);
	}

}
