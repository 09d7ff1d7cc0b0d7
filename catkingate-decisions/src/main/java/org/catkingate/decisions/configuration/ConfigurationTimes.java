package org.catkingate.decisions.configuration;

/**
 * The times of configuration, in milliseconds where nothing else is said.
 *
 * @since 0.1
 */
public final class ConfigurationTimes {

	/** How long a new process waits for what its peers have before it serves. */
	public static final long PEER_QUERY_MILLIS = 5000;

	/** How long it waits for a higher version that a peer has offered. */
	public static final long MAX_PEER_QUERY_MILLIS = 15_000;

	/** After so many different peers a new process has asked enough. */
	static final int SUFFICIENT_PEER_RESPONSES = 3;

	/** How long a peer may take to send a version before another is asked. */
	static final long PULL_TIMEOUT_MILLIS = 400;

	/** The window in which a process counts the versions that it sends. */
	static final long SEND_WINDOW_MILLIS = 500;

	/** How many times a process sends a version within one window. */
	static final int MAX_SENDS_PER_WINDOW = 8;

	/** How long the service may take to answer with a part. */
	static final long PART_READ_TIMEOUT_MILLIS = 4000;

	/** The first wait after parts could not be read. */
	static final long INITIAL_BACKOFF_MILLIS = 250;

	/** The longest wait after parts could not be read. */
	static final long MAX_BACKOFF_MILLIS = 8000;

	/** How many rejected versions are remembered. */
	static final int MAX_REJECTIONS = 16;

	private ConfigurationTimes() {
	}

}
