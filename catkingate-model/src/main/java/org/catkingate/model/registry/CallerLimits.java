package org.catkingate.model.registry;

/**
 * Limits on the requests and connections of callers. Immutable and safe for use by any
 * thread.
 *
 * @param headerBytes the maximum size of the head of a request, in bytes
 * @param bodyBytes the maximum size of the body of a request, in bytes
 * @param headerMillis the maximum time to receive the head of a request, in milliseconds
 * @param idleMillis the maximum time that a connection may be idle, in milliseconds
 * @since 0.1
 */
public record CallerLimits(int headerBytes, long bodyBytes, int headerMillis, int idleMillis) {

	public CallerLimits {
		if (headerBytes < 1 || bodyBytes < 1 || headerMillis < 1 || idleMillis < 1) {
			throw new IllegalArgumentException("caller limits must be positive");
		}
	}

}
