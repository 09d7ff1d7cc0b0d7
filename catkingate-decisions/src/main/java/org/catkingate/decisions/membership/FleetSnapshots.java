package org.catkingate.decisions.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Role;
import org.catkingate.model.published.PublishedConfiguration;

/**
 * Creates {@link FleetSnapshot}s. Stateless.
 */
final class FleetSnapshots {

	private FleetSnapshots() {
	}

	static FleetSnapshot snapshot(Self self, PublishedConfiguration configuration,
			Map<InstanceId, KnownInstance> instances, Map<Long, Link> links) {
		Map<InstanceId, Link> best = new HashMap<>();
		for (Link link : links.values()) {
			best.merge(link.peer().instance(), link, FleetSnapshots::preferred);
		}
		Map<InstanceId, AgentView> agents = new HashMap<>();
		int entries = (self.role() == Role.ENTRY) ? 1 : 0;
		for (KnownInstance known : instances.values()) {
			InstanceRecord instance = known.instance();
			if (instance.role() == Role.AGENT) {
				agents.put(instance.id(), view(instance, best.get(instance.id())));
			}
			else if (known.isListed() && !instance.leaving()) {
				entries++;
			}
		}
		return new FleetSnapshot(configuration, agents, Math.max(1, entries));
	}

	private static Link preferred(Link one, Link other) {
		if (one.isVerified() != other.isVerified()) {
			return one.isVerified() ? one : other;
		}
		return (one.number() > other.number()) ? one : other;
	}

	private static AgentView view(InstanceRecord instance, Link link) {
		if (link == null) {
			return new AgentView(instance, 0, false, instance.leaving(), List.of(), List.of(), 0);
		}
		long incarnation = link.peer().incarnation();
		if (link.status() == null) {
			return new AgentView(instance, incarnation, link.isVerified(), instance.leaving(), List.of(), List.of(), 0);
		}
		boolean draining = instance.leaving() || link.status().draining();
		return new AgentView(instance, incarnation, link.isVerified(), draining, link.status().runners(), link.loads(),
				link.loadsAtMillis());
	}

}
