package org.catkingate.decisions.membership;

/**
 * The times of membership, in milliseconds where nothing else is said.
 *
 * @since 0.1
 */
public final class MembershipTimes {

	/** The interval between ticks. */
	public static final long TICK_MILLIS = 250;

	/** The interval between heartbeats. */
	public static final long HEARTBEAT_MILLIS = 1000;

	/** The silence after which a second connection is tried. */
	public static final long SUSPECT_AFTER_MILLIS = 1600;

	/** The silence after which a connection is given up. */
	public static final long SILENCE_TIMEOUT_MILLIS = 2500;

	/** After how many heartbeats in a row without an answer a connection is given up. */
	static final long MAX_UNACKNOWLEDGED_HEARTBEATS = 4;

	/** The gap between ticks that shows that this process was paused. */
	public static final long MIN_PAUSE_MILLIS = 1500;

	/** How long an instance that the list lacks, and that is not met, is remembered. */
	public static final long UNLISTED_RETENTION_MILLIS = 60_000;

	/** How long a list that has lost most instances at once is doubted. */
	public static final long SHRUNK_LIST_DISTRUST_MILLIS = 600_000;

	/** How long a connection goes on that is no longer wanted. */
	static final long UNWANTED_CLOSE_DELAY_MILLIS = 30_000;

	/** The time in which a connection is made, or has failed. */
	static final long DIAL_TIMEOUT_MILLIS = 3500;

	/** The first wait after a connection could not be made. */
	static final long INITIAL_BACKOFF_MILLIS = 250;

	/** The longest wait after connections could not be made. */
	static final long MAX_BACKOFF_MILLIS = 8000;

	private MembershipTimes() {
	}

}
