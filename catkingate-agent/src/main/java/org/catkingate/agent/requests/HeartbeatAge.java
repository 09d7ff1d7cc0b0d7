package org.catkingate.agent.requests;

/**
 * Age of this agent's heartbeats, by its own monotonic clock. Safe for use by any thread.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface HeartbeatAge {

	/** The age of a heartbeat that this process never sent, in milliseconds. */
	long NEVER_SENT = Long.MAX_VALUE;

	/**
	 * Returns the age of a heartbeat.
	 * @param sequence its sequence number
	 * @return its age in milliseconds, or {@link #NEVER_SENT}
	 */
	long millisSince(long sequence);

}
