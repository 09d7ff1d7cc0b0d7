package org.catkingate.agent.requests;

/**
 * Tells how long ago this agent sent a heartbeat, by its own monotonic clock. Safe for
 * use by any thread.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface HeartbeatAge {

	/** The age of a heartbeat that this process never sent, in milliseconds. */
	long NEVER_SENT = Long.MAX_VALUE;

	/**
	 * Looks up a heartbeat.
	 * @param sequence its sequence
	 * @return its age in milliseconds, or {@link #NEVER_SENT}
	 */
	long millisSince(long sequence);

}
