package org.catkingate.decisions.configuration;

/**
 * The times of configuration, in milliseconds where nothing else is said.
 *
 * @since 0.1
 */
public final class ConfigurationTimes {

	/** How long a new process waits for what its peers have before it serves. */
	public static final long ASK_PEERS_MILLIS = 5000;

	/** How long it waits for a higher version that a peer has offered. */
	public static final long ASK_PEERS_LONGEST_MILLIS = 15_000;

	/** After so many different peers a new process has asked enough. */
	static final int PEERS_TO_ASK = 3;

	/** How long a peer may take to send a version before another is asked. */
	static final long PULL_MILLIS = 400;

	/** The window in which a process counts the versions that it sends. */
	static final long CONTENT_WINDOW_MILLIS = 500;

	/** How many times a process sends a version within one window. */
	static final int CONTENTS_PER_WINDOW = 8;

	/** How long the service may take to answer with a part. */
	static final long PART_MILLIS = 4000;

	/** The first wait after parts could not be read. */
	static final long FIRST_BACKOFF_MILLIS = 250;

	/** The longest wait after parts could not be read. */
	static final long LONGEST_BACKOFF_MILLIS = 8000;

	/** How many rejected versions are remembered. */
	static final int REJECTIONS = 16;

	private ConfigurationTimes() {
	}

}
