package org.catkingate.decisions.membership;

/**
 * Intervals and timeouts for detecting members and connecting to them, in milliseconds
 * unless stated otherwise.
 *
 * @since 0.1
 */
public final class MembershipTimes {

	/** The interval between ticks. */
	public static final long TICK_MILLIS = 250;

	/** The interval between heartbeats. */
	public static final long HEARTBEAT_MILLIS = 1000;

	/** The silence on a connection after which a second connection is opened. */
	public static final long SUSPECT_AFTER_MILLIS = 1600;

	/** The silence after which a connection is closed. */
	public static final long SILENCE_TIMEOUT_MILLIS = 2500;

	/**
	 * The number of consecutive unacknowledged heartbeats above which a connection is
	 * closed.
	 */
	static final long MAX_UNACKNOWLEDGED_HEARTBEATS = 4;

	/** The minimum gap between ticks that counts as a pause of this process. */
	public static final long MIN_PAUSE_MILLIS = 1500;

	/**
	 * The time for which an instance is remembered that is neither listed nor connected.
	 */
	public static final long UNLISTED_RETENTION_MILLIS = 60_000;

	/**
	 * The time for which an instance list is distrusted that has lost more than half of
	 * its instances.
	 */
	public static final long SHRUNK_LIST_DISTRUST_MILLIS = 600_000;

	/** The time for which a connection stays open that is no longer needed. */
	static final long UNWANTED_CLOSE_DELAY_MILLIS = 30_000;

	/** The time within which an attempt to connect must succeed. */
	static final long DIAL_TIMEOUT_MILLIS = 3500;

	/** The base of the backoff after the first failed attempt to connect. */
	static final long INITIAL_BACKOFF_MILLIS = 250;

	/** The upper bound of the backoff after failed attempts to connect. */
	static final long MAX_BACKOFF_MILLIS = 8000;

	private MembershipTimes() {
	}

}
