package org.catkingate.decisions.configuration;

/**
 * Timeouts, intervals and limits for reading and exchanging configurations, in
 * milliseconds unless stated otherwise.
 *
 * @since 0.1
 */
public final class ConfigurationTimes {

	/** How long a new process waits for the versions of its peers before it serves. */
	public static final long PEER_QUERY_MILLIS = 5000;

	/** How long a new process waits at most if a peer has offered a higher version. */
	public static final long MAX_PEER_QUERY_MILLIS = 15_000;

	/**
	 * A new process stops waiting once this many peers that have a version have
	 * responded.
	 */
	static final int SUFFICIENT_PEER_RESPONSES = 3;

	/**
	 * How long a peer may take to send a version before another peer is requested to send
	 * it.
	 */
	static final long PULL_TIMEOUT_MILLIS = 400;

	/** The length of the window in which a process counts the versions that it sends. */
	static final long SEND_WINDOW_MILLIS = 500;

	/** How many times a process sends a version within one window. */
	static final int MAX_SENDS_PER_WINDOW = 8;

	/** How long the service may take to respond with a part. */
	static final long PART_READ_TIMEOUT_MILLIS = 4000;

	/** The base of the backoff after the first failure to read a part. */
	static final long INITIAL_BACKOFF_MILLIS = 250;

	/** The upper bound of the backoff after failures to read parts, before jitter. */
	static final long MAX_BACKOFF_MILLIS = 8000;

	/** How many rejected publications are recorded. */
	static final int MAX_REJECTIONS = 16;

	private ConfigurationTimes() {
	}

}
