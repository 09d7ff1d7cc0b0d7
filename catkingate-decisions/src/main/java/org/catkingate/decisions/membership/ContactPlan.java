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
 * all agents of its region and, in each other region, to a few agents that each rule
 * could send requests to. An agent connects to a few agents: its successors on a ring
 * through its data centre and on one through its region, so that announcements reach all
 * agents; one agent in each other region; and, for each version of weights that it
 * shares, a few neighbours and its successor on their ring. The agents with which it
 * agrees on callers' keys are added by {@link MembershipReduction}, since other
 * components need connections to them. All choices are by rendezvous hash. Stateless.
 */
final class ContactPlan {

	private static final int FAR_AGENTS_PER_RULE = 4;

	private static final int FAR_AGENTS_WITHOUT_NEAR_ONES = 16;

	private static final int NEIGHBOURS_IN_DATA_CENTRE = 4;

	private static final int NEIGHBOURS_IN_REGION = 2;

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
		add(this.agents.stream().filter(this::isNear).toList());
		for (List<Selector> wanted : destinations()) {
			List<InstanceRecord> matching = matching(wanted);
			boolean hasNearAgents = matching.stream().filter(this::isNear).count() >= FAR_AGENTS_PER_RULE;
			int count = hasNearAgents ? FAR_AGENTS_PER_RULE : FAR_AGENTS_WITHOUT_NEAR_ONES;
			farRegions(matching).values().forEach((far) -> add(nearest(far, count)));
		}
	}

	private List<List<Selector>> destinations() {
		List<List<Selector>> destinations = new ArrayList<>();
		for (InstanceGroup group : this.configuration.groups().values()) {
			destinations.add(List.of(group.selector()));
		}
		for (RoutingRule rule : this.configuration.rules()) {
			Selector group = groupOf(rule.service());
			WeightsVersion version = rule.requiredVersion().map(this.configuration.versions()::get).orElse(null);
			Selector held = (version != null) ? version.selector() : Selector.everything();
			destinations.add(List.of(group, held, rule.instances()));
		}
		return destinations;
	}

	private Selector groupOf(ServiceName name) {
		return this.configuration.service(name)
			.map(Service::group)
			.map(this.configuration.groups()::get)
			.map(InstanceGroup::selector)
			.orElse(Selector.everything());
	}

	private void chooseForAgent() {
		List<InstanceRecord> region = this.agents.stream().filter(this::isNear).toList();
		addRingSuccessor(region.stream().filter(this::isInDataCentre).toList());
		addRingSuccessor(region);
		farRegions(this.agents).values().forEach((far) -> add(nearest(far, 1)));
		for (WeightsVersion version : this.configuration.versions().values()) {
			List<Selector> wanted = List.of(groupOf(version.service()), version.selector());
			if (!version.withdrawn() && matches(wanted, this.self.labels())) {
				addNeighbours(region.stream().filter((agent) -> matches(wanted, agent.labels())).toList());
			}
		}
	}

	private void addNeighbours(List<InstanceRecord> members) {
		Predicate<InstanceRecord> inside = this::isInDataCentre;
		add(nearest(members.stream().filter(inside).toList(), NEIGHBOURS_IN_DATA_CENTRE));
		add(nearest(members.stream().filter(inside.negate()).toList(), NEIGHBOURS_IN_REGION));
		addRingSuccessor(members);
	}

	// Adds the member that follows this process on the ring of the hashes of all members.
	private void addRingSuccessor(List<InstanceRecord> members) {
		long own = RendezvousHashing.hash(this.self.instance().value());
		members.stream()
			.min(Comparator
				.comparingLong((member) -> RendezvousHashing.hash(member.id().value()) - own + Long.MIN_VALUE))
			.ifPresent((member) -> this.chosen.add(member.id()));
	}

	private List<InstanceRecord> nearest(List<InstanceRecord> candidates, int count) {
		Comparator<InstanceRecord> order = Comparator
			.comparingLong((candidate) -> RendezvousHashing.pairScore(this.self.instance(), candidate.id()));
		return candidates.stream().sorted(order.thenComparing(InstanceRecord::id)).limit(count).toList();
	}

	private Map<RegionName, List<InstanceRecord>> farRegions(List<InstanceRecord> candidates) {
		Map<RegionName, List<InstanceRecord>> regions = new TreeMap<>(Comparator.comparing(RegionName::value));
		for (InstanceRecord candidate : candidates) {
			if (!isNear(candidate)) {
				regions.computeIfAbsent(candidate.region(), (region) -> new ArrayList<>()).add(candidate);
			}
		}
		return regions;
	}

	private List<InstanceRecord> matching(List<Selector> wanted) {
		return this.agents.stream().filter((agent) -> matches(wanted, agent.labels())).toList();
	}

	private static boolean matches(List<Selector> wanted, Labels labels) {
		return wanted.stream().allMatch((selector) -> selector.matches(labels));
	}

	private boolean isNear(InstanceRecord agent) {
		return agent.region().equals(this.self.region());
	}

	private boolean isInDataCentre(InstanceRecord agent) {
		return agent.dataCentre().equals(this.self.dataCentre());
	}

	private void add(List<InstanceRecord> members) {
		members.forEach((member) -> this.chosen.add(member.id()));
	}

}
