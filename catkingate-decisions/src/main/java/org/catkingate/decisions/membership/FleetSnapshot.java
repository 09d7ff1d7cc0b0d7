package org.catkingate.decisions.membership;

import java.util.Map;
import java.util.Objects;

import org.catkingate.model.InstanceId;
import org.catkingate.model.published.PublishedConfiguration;

/**
 * A snapshot of the configuration in force and of the known agents, for the threads that
 * handle requests. The control thread replaces the whole snapshot on every change.
 * Immutable and safe for use by any thread.
 *
 * @param configuration the configuration in force
 * @param agents the known agents by instance
 * @param entries the number of entries that serve according to the instance list; at
 * least 1
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
	 * Creates a snapshot with one entry.
	 * @param configuration the configuration in force
	 * @param agents the known agents by instance
	 */
	public FleetSnapshot(PublishedConfiguration configuration, Map<InstanceId, AgentView> agents) {
		this(configuration, agents, 1);
	}

	/**
	 * Returns the snapshot of a process that has just started.
	 * @return a snapshot without agents and with an empty configuration, never null
	 */
	public static FleetSnapshot empty() {
		return EMPTY;
	}

}
