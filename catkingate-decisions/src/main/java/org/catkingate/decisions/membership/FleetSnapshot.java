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
 * @since 0.1
 */
public record FleetSnapshot(PublishedConfiguration configuration, Map<InstanceId, AgentView> agents) {

	private static final FleetSnapshot EMPTY = new FleetSnapshot(PublishedConfiguration.empty(), Map.of());

	public FleetSnapshot {
		Objects.requireNonNull(configuration, "configuration must not be null");
		agents = Map.copyOf(agents);
	}

	/**
	 * Returns the snapshot before anything is known.
	 * @return a snapshot without agents, never null
	 */
	public static FleetSnapshot empty() {
		return EMPTY;
	}

}
