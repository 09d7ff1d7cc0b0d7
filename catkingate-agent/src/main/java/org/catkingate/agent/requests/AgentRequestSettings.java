package org.catkingate.agent.requests;

/**
 * The limits of live requests at an agent. Immutable.
 *
 * @param ioThreads how many threads call the runners
 * @param maxHeartbeatAgeMillis how old the heartbeat that a request carries back may be,
 * by the agent's clock, in milliseconds
 * @param orphanMillis how long a request goes on after its connection is lost, in
 * milliseconds
 * @param retentionMillis how long an answer is kept that the entry has not acknowledged,
 * in milliseconds
 * @since 0.1
 */
public record AgentRequestSettings(int ioThreads, long maxHeartbeatAgeMillis, long orphanMillis, long retentionMillis) {

	private static final AgentRequestSettings DEFAULTS = new AgentRequestSettings(2, 3000, 5000, 10_000);

	public AgentRequestSettings {
		if (ioThreads < 1) {
			throw new IllegalArgumentException("ioThreads must be positive");
		}
		if (maxHeartbeatAgeMillis < 1) {
			throw new IllegalArgumentException("maximumHeartbeatAgeMillis must be positive");
		}
	}

	/**
	 * Returns the limits in use where the settings name none.
	 * @return the limits, never null
	 */
	public static AgentRequestSettings defaults() {
		return DEFAULTS;
	}

}
