package org.catkingate.model.registry;

/**
 * What a caller may send, and how long it may take. Immutable and safe for use by any
 * thread.
 *
 * @param headerBytes the longest head of a request, in bytes
 * @param bodyBytes the longest body of a request, in bytes
 * @param headerMillis how long the head may take, in milliseconds
 * @param idleMillis how long a connection may be idle, in milliseconds
 * @since 0.1
 */
public record CallerLimits(int headerBytes, long bodyBytes, int headerMillis, int idleMillis) {

	public CallerLimits {
		if (headerBytes < 1 || bodyBytes < 1 || headerMillis < 1 || idleMillis < 1) {
			throw new IllegalArgumentException("the limits of callers must be positive");
		}
	}

}
