package org.catkingate.decisions.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Labels;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.Selector;
import org.catkingate.model.ServiceName;
import org.catkingate.model.published.InstanceGroup;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.RoutingRule;
import org.catkingate.model.published.Service;
import org.catkingate.model.published.WeightsVersion;

/**
 * The selection of the agents that a process keeps connections to. An entry connects to
 * all agents of its region and, in each other region, to a few agents of each instance
 * group and of the instances that each routing rule selects. An agent connects to a few
 * agents: its successors on a ring through its data centre and on one through its region,
 * so that announcements reach all agents; one agent in each other region; and, for each
 * version of weights that it shares, a few neighbours and its successor on their ring.
 * Agents that other components need connections to, such as those that must agree on
 * callers' keys, are added by {@link MembershipReduction}. All choices are by rendezvous
 * hash. Stateless.
 */
final class ContactPlan {

	// for each destination of an entry and each other region
	private static final int MAX_REMOTE_AGENTS = 4;

	// the same if fewer than MAX_REMOTE_AGENTS agents of the region match the destination
	private static final int MAX_REMOTE_AGENTS_IF_FEW_LOCAL = 16;

	private static final int NEIGHBOURS_IN_DATA_CENTRE = 4;

	private static final int NEIGHBOURS_IN_OTHER_DATA_CENTRES = 2;

	private final ProcessIdentity self;

	private final PublishedConfiguration configuration;

	private final List<InstanceRecord> agents;

	private final SortedSet<InstanceId> chosen = new TreeSet<>();

	private ContactPlan(ProcessIdentity self, PublishedConfiguration configuration, List<InstanceRecord> agents) {
		this.self = self;
		this.configuration = configuration;
		this.agents = agents;
	}

	static SortedSet<InstanceId> choose(ProcessIdentity self, PublishedConfiguration configuration,
			Collection<InstanceRecord> instances) {
		List<InstanceRecord> agents = instances.stream()
			.filter((instance) -> instance.role() == Role.AGENT && !instance.id().equals(self.instance()))
			.toList();
		ContactPlan plan = new ContactPlan(self, configuration, agents);
		if (self.role() == Role.ENTRY) {
			plan.chooseForEntry();
		}
		else {
			plan.chooseForAgent();
		}
		return plan.chosen;
	}

	private void chooseForEntry() {
		add(this.agents.stream().filter(this::isLocal).toList());
		for (List<Selector> selectors : destinationSelectors()) {
			List<InstanceRecord> matching = agentsMatching(selectors);
			boolean hasEnoughLocalAgents = matching.stream().filter(this::isLocal).count() >= MAX_REMOTE_AGENTS;
			int count = hasEnoughLocalAgents ? MAX_REMOTE_AGENTS : MAX_REMOTE_AGENTS_IF_FEW_LOCAL;
			agentsByRemoteRegion(matching).values().forEach((remote) -> add(lowestByPairScore(remote, count)));
		}
	}

	private List<List<Selector>> destinationSelectors() {
		List<List<Selector>> destinations = new ArrayList<>();
		for (InstanceGroup group : this.configuration.groups().values()) {
			destinations.add(List.of(group.selector()));
		}
		for (RoutingRule rule : this.configuration.rules()) {
			Selector groupSelector = groupSelector(rule.service());
			WeightsVersion version = rule.requiredVersion().map(this.configuration.versions()::get).orElse(null);
			Selector versionSelector = (version != null) ? version.selector() : Selector.everything();
			destinations.add(List.of(groupSelector, versionSelector, rule.instances()));
		}
		return destinations;
	}

	private Selector groupSelector(ServiceName name) {
		return this.configuration.service(name)
			.map(Service::group)
			.map(this.configuration.groups()::get)
			.map(InstanceGroup::selector)
			.orElse(Selector.everything());
	}

	private void chooseForAgent() {
		List<InstanceRecord> region = this.agents.stream().filter(this::isLocal).toList();
		addRingSuccessor(region.stream().filter(this::isInDataCentre).toList());
		addRingSuccessor(region);
		agentsByRemoteRegion(this.agents).values().forEach((remote) -> add(lowestByPairScore(remote, 1)));
		for (WeightsVersion version : this.configuration.versions().values()) {
			List<Selector> selectors = List.of(groupSelector(version.service()), version.selector());
			if (!version.withdrawn() && matches(selectors, this.self.labels())) {
				addNeighbours(region.stream().filter((agent) -> matches(selectors, agent.labels())).toList());
			}
		}
	}

	private void addNeighbours(List<InstanceRecord> members) {
		Predicate<InstanceRecord> inDataCentre = this::isInDataCentre;
		add(lowestByPairScore(members.stream().filter(inDataCentre).toList(), NEIGHBOURS_IN_DATA_CENTRE));
		add(lowestByPairScore(members.stream().filter(inDataCentre.negate()).toList(),
				NEIGHBOURS_IN_OTHER_DATA_CENTRES));
		addRingSuccessor(members);
	}

	// Adds the member that follows this process on the ring of the hashes of all members.
	// Adding Long.MIN_VALUE makes the comparison of the distances unsigned.
	private void addRingSuccessor(List<InstanceRecord> members) {
		long own = RendezvousHashing.hash(this.self.instance().value());
		members.stream()
			.min(Comparator
				.comparingLong((member) -> RendezvousHashing.hash(member.id().value()) - own + Long.MIN_VALUE))
			.ifPresent((member) -> this.chosen.add(member.id()));
	}

	private List<InstanceRecord> lowestByPairScore(List<InstanceRecord> candidates, int count) {
		Comparator<InstanceRecord> order = Comparator
			.comparingLong((candidate) -> RendezvousHashing.pairScore(this.self.instance(), candidate.id()));
		return candidates.stream().sorted(order.thenComparing(InstanceRecord::id)).limit(count).toList();
	}

	private Map<RegionName, List<InstanceRecord>> agentsByRemoteRegion(List<InstanceRecord> candidates) {
		Map<RegionName, List<InstanceRecord>> regions = new TreeMap<>(Comparator.comparing(RegionName::value));
		for (InstanceRecord candidate : candidates) {
			if (!isLocal(candidate)) {
				regions.computeIfAbsent(candidate.region(), (region) -> new ArrayList<>()).add(candidate);
			}
		}
		return regions;
	}

	private List<InstanceRecord> agentsMatching(List<Selector> selectors) {
		return this.agents.stream().filter((agent) -> matches(selectors, agent.labels())).toList();
	}

	private static boolean matches(List<Selector> selectors, Labels labels) {
		return selectors.stream().allMatch((selector) -> selector.matches(labels));
	}

	private boolean isLocal(InstanceRecord agent) {
		return agent.region().equals(this.self.region());
	}

	private boolean isInDataCentre(InstanceRecord agent) {
		return agent.dataCentre().equals(this.self.dataCentre());
	}

	private void add(List<InstanceRecord> members) {
		members.forEach((member) -> this.chosen.add(member.id()));
	}

}
