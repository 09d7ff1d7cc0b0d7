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
 */
record SoakRequest(String id, RequestKind kind, String gateway, String path, String body, String key, long sentMillis) {

	/**
	 * Returns the version of the configuration that has the route of a probe.
	 */
	long probedVersion() {
		return Long.parseLong(this.path.split("/")[2]);
	}

}
