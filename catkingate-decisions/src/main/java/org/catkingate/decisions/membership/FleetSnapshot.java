package org.catkingate.decisions.membership;

import java.util.Map;
import java.util.Objects;

import org.catkingate.model.InstanceId;
import org.catkingate.model.published.PublishedConfiguration;

/**
 * What traffic threads read: the configuration in force and the agents known. The control
 * thread replaces it whole. Immutable and safe for use by any thread.
 *
 * @param configuration the configuration in force
 * @param agents the agents by instance
 * @param entries how many entries serve, as far as the list tells; at least 1
 * @since 0.1
 */
public record FleetSnapshot(PublishedConfiguration configuration, Map<InstanceId, AgentView> agents, int entries) {

	private static final FleetSnapshot EMPTY = new FleetSnapshot(PublishedConfiguration.empty(), Map.of(), 1);

	public FleetSnapshot {
		Objects.requireNonNull(configuration, "configuration must not be null");
		agents = Map.copyOf(agents);
		if (entries < 1) {
			throw new IllegalArgumentException("entries must be positive");
		}
	}

	/**
	 * Makes a snapshot with one entry.
	 * @param configuration the configuration in force
	 * @param agents the agents by instance
	 */
	public FleetSnapshot(PublishedConfiguration configuration, Map<InstanceId, AgentView> agents) {
		this(configuration, agents, 1);
	}

	/**
	 * Returns the snapshot before anything is known.
	 * @return a snapshot without agents, never null
	 */
	public static FleetSnapshot empty() {
		return EMPTY;
	}

}
