package org.catkingate.entry;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * The address and the limits of an entry for callers' requests. Immutable.
 *
 * @param listen the address that callers connect to; port 0 for any free port
 * @param ioThreads the number of I/O threads that serve callers
 * @param maxBodyBytes the maximum size of a request's body, in bytes
 * @param maxTotalBodyBytes the memory for the bodies of all requests in progress, in
 * bytes; a fourth of the heap is the maximum in any case
 * @param maxHeaderBytes the maximum size of a request's head, in bytes
 * @param maxConnections the maximum number of open connections of callers, if the
 * descriptors and the heap of the process allow as many
 * @param headTimeoutMillis the time limit for receiving the head of a request, in
 * milliseconds
 * @param bodyTimeoutMillis the time limit for receiving the body of a request, in
 * milliseconds
 * @param idleTimeoutMillis the time after which an idle connection is closed, in
 * milliseconds
 * @param defaultDeadlineMillis the time for the complete response if the caller requests
 * none, in milliseconds
 * @param maxDeadlineMillis the maximum time that a caller may request, in milliseconds
 * @param reattachTimeoutMillis the time for which a request whose connection to its agent
 * is lost waits for another one, in milliseconds
 * @since 0.1
 */
public record EntrySettings(InetSocketAddress listen, int ioThreads, int maxBodyBytes, long maxTotalBodyBytes,
		int maxHeaderBytes, int maxConnections, int headTimeoutMillis, int bodyTimeoutMillis, int idleTimeoutMillis,
		long defaultDeadlineMillis, long maxDeadlineMillis, long reattachTimeoutMillis) {

	private static final int DEFAULT_MAX_BODY_BYTES = 1024 * 1024;

	private static final int DEFAULT_MAX_HEADER_BYTES = 16 * 1024;

	public EntrySettings {
		Objects.requireNonNull(listen, "listen must not be null");
		if (ioThreads < 1) {
			throw new IllegalArgumentException("ioThreads must be positive");
		}
		if (maxBodyBytes < 1) {
			throw new IllegalArgumentException("maxBodyBytes must be positive");
		}
	}

	/**
	 * Returns settings with the default limits.
	 * @param listen the address that callers connect to
	 * @return the settings, never null
	 */
	public static EntrySettings withDefaults(InetSocketAddress listen) {
		return new EntrySettings(listen, 4, DEFAULT_MAX_BODY_BYTES, Long.MAX_VALUE, DEFAULT_MAX_HEADER_BYTES, 40_000,
				10_000, 10_000, 60_000, 60_000, 600_000, 3000);
	}

}
