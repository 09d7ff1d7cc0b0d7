package org.catkingate.agent.requests;

/**
 * Limits of live requests at an agent. Immutable.
 *
 * @param ioThreads the number of I/O threads that call the runners
 * @param maxHeartbeatAgeMillis the maximum age of the heartbeat that a request refers to,
 * by the agent's clock, in milliseconds
 * @param orphanTimeoutMillis how long a request continues after its connection is lost,
 * in milliseconds
 * @param retentionMillis how long a response is kept that the entry has not acknowledged,
 * in milliseconds
 * @since 0.1
 */
public record AgentRequestSettings(int ioThreads, long maxHeartbeatAgeMillis, long orphanTimeoutMillis,
		long retentionMillis) {

	private static final AgentRequestSettings DEFAULTS = new AgentRequestSettings(2, 3000, 5000, 10_000);

	public AgentRequestSettings {
		if (ioThreads < 1) {
			throw new IllegalArgumentException("ioThreads must be positive");
		}
		if (maxHeartbeatAgeMillis < 1) {
			throw new IllegalArgumentException("maxHeartbeatAgeMillis must be positive");
		}
	}

	/**
	 * Returns the default limits.
	 * @return the limits, never null
	 */
	public static AgentRequestSettings defaults() {
		return DEFAULTS;
	}

}
