package org.catkingate.decisions.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Role;
import org.catkingate.model.published.PublishedConfiguration;

/**
 * A factory of {@link FleetSnapshot}s. Stateless.
 */
final class FleetSnapshots {

	private FleetSnapshots() {
	}

	static FleetSnapshot create(ProcessIdentity self, PublishedConfiguration configuration,
			Map<InstanceId, KnownInstance> instances, Map<Long, ConnectionState> connections) {
		Map<InstanceId, ConnectionState> connectionsByInstance = new HashMap<>();
		for (ConnectionState connection : connections.values()) {
			connectionsByInstance.merge(connection.peer().instance(), connection, FleetSnapshots::preferred);
		}
		Map<InstanceId, AgentView> agents = new HashMap<>();
		int entries = (self.role() == Role.ENTRY) ? 1 : 0;
		for (KnownInstance known : instances.values()) {
			InstanceRecord instance = known.instance();
			if (instance.role() == Role.AGENT) {
				agents.put(instance.id(), view(instance, connectionsByInstance.get(instance.id())));
			}
			else if (known.isListed() && !instance.leaving()) {
				entries++;
			}
		}
		return new FleetSnapshot(configuration, agents, Math.max(1, entries));
	}

	// A verified connection takes precedence, then the newer one.
	private static ConnectionState preferred(ConnectionState first, ConnectionState second) {
		if (first.isVerified() != second.isVerified()) {
			return first.isVerified() ? first : second;
		}
		return (first.number() > second.number()) ? first : second;
	}

	private static AgentView view(InstanceRecord instance, ConnectionState connection) {
		if (connection == null) {
			return new AgentView(instance, 0, false, instance.leaving(), List.of(), List.of(), 0);
		}
		long incarnation = connection.peer().incarnation();
		if (connection.status() == null) {
			return new AgentView(instance, incarnation, connection.isVerified(), instance.leaving(), List.of(),
					List.of(), 0);
		}
		boolean draining = instance.leaving() || connection.status().draining();
		return new AgentView(instance, incarnation, connection.isVerified(), draining, connection.status().runners(),
				connection.loads(), connection.loadsAtMillis());
	}

}
