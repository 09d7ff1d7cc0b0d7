package org.catkingate.model.registry;

/**
 * Limits on the requests and connections of callers. Immutable and safe for use by any
 * thread.
 *
 * @param maxHeaderBytes the maximum size of the head of a request, in bytes
 * @param maxBodyBytes the maximum size of the body of a request, in bytes
 * @param headerTimeoutMillis the maximum time to receive the head of a request, in
 * milliseconds
 * @param idleTimeoutMillis the maximum time that a connection may be idle, in
 * milliseconds
 * @since 0.1
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {

	public CallerLimits {
		if (maxHeaderBytes < 1 || maxBodyBytes < 1 || headerTimeoutMillis < 1 || idleTimeoutMillis < 1) {
			throw new IllegalArgumentException("caller limits must be positive");
		}
	}

}
