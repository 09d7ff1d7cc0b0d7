package org.catkingate.entry;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * The limits of callers' requests at an entry. Immutable.
 *
 * @param listen where callers connect; port 0 for any free one
 * @param ioThreads how many threads serve callers
 * @param maximumBodyBytes the longest body of a request, in bytes
 * @param maximumHeaderBytes the longest head of a request, in bytes
 * @param maximumConnections how many callers' connections are open at a time
 * @param headTimeoutMillis how long a caller may take for the head, in milliseconds
 * @param bodyTimeoutMillis how long a caller may take for the body, in milliseconds
 * @param idleTimeoutMillis how long an unused connection stays open, in milliseconds
 * @param defaultDeadlineMillis the time for the whole answer where the caller names none,
 * in milliseconds
 * @param maximumDeadlineMillis the longest time that a caller may name, in milliseconds
 * @param attachPatienceMillis how long an answer waits for another connection to its
 * agent, in milliseconds
 * @since 0.1
 */
public record EntrySettings(InetSocketAddress listen, int ioThreads, int maximumBodyBytes, int maximumHeaderBytes,
		int maximumConnections, int headTimeoutMillis, int bodyTimeoutMillis, int idleTimeoutMillis,
		long defaultDeadlineMillis, long maximumDeadlineMillis, long attachPatienceMillis) {

	private static final int DEFAULT_MAX_BODY_BYTES = 1024 * 1024;

	private static final int DEFAULT_MAX_HEADER_BYTES = 16 * 1024;

	public EntrySettings {
		Objects.requireNonNull(listen, "listen must not be null");
		if (ioThreads < 1) {
			throw new IllegalArgumentException("ioThreads must be positive");
		}
		if (maximumBodyBytes < 1) {
			throw new IllegalArgumentException("maximumBodyBytes must be positive");
		}
	}

	/**
	 * Returns the limits in use where the settings name none.
	 * @param listen where callers connect
	 * @return the settings, never null
	 */
	public static EntrySettings listeningOn(InetSocketAddress listen) {
		return new EntrySettings(listen, 4, DEFAULT_MAX_BODY_BYTES, DEFAULT_MAX_HEADER_BYTES, 40_000, 10_000, 10_000,
				60_000, 60_000, 600_000, 3000);
	}

}
