package org.catkingate.decisions.configuration;

/**
 * Timeouts, intervals and limits for reading and exchanging configurations, in
 * milliseconds unless stated otherwise.
 *
 * @since 0.1
 */
public final class ConfigurationTimes {

	/**
	 * The time that a new process waits for the versions of its peers before it serves.
	 */
	public static final long PEER_QUERY_MILLIS = 5000;

	/**
	 * The maximum time that a new process waits if a peer has offered a higher version.
	 */
	public static final long MAX_PEER_QUERY_MILLIS = 15_000;

	/**
	 * The number of responses from peers that have a version after which a new process
	 * stops waiting.
	 */
	static final int SUFFICIENT_PEER_RESPONSES = 3;

	/**
	 * The time within which a peer must send a requested version. After it, the version
	 * is requested from another peer.
	 */
	static final long PULL_TIMEOUT_MILLIS = 400;

	/** The length of the window in which a process counts the versions that it sends. */
	static final long SEND_WINDOW_MILLIS = 500;

	/** The maximum number of times that a process sends a version within one window. */
	static final int MAX_SENDS_PER_WINDOW = 8;

	/** The time within which the configuration service must respond with a part. */
	static final long PART_READ_TIMEOUT_MILLIS = 4000;

	/** The base of the backoff after the first failure to read a part. */
	static final long INITIAL_BACKOFF_MILLIS = 250;

	/** The upper bound of the backoff after failures to read parts, before jitter. */
	static final long MAX_BACKOFF_MILLIS = 8000;

	/** The maximum number of rejected publications that are recorded. */
	static final int MAX_REJECTIONS = 16;

	private ConfigurationTimes() {
	}

}
