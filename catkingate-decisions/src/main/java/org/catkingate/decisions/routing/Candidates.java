package org.catkingate.decisions.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.RunnerStatus;
import org.catkingate.model.Selector;
import org.catkingate.model.published.InstanceGroup;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.RoutingRule;
import org.catkingate.model.published.Service;

/**
 * The runners that may serve the requests of one routing rule, by distance. A runner is a
 * candidate if it serves the rule's service, admits requests and holds a version that the
 * rule allows, if both the service's group and the rule select its instance, and if its
 * agent accepts requests. Immutable and safe for use by any thread.
 *
 * @param byDistance the candidates at each distance, ordered by name
 * @since 0.1
 */
public record Candidates(Map<Distance, List<Candidate>> byDistance) {

	private static final Comparator<Candidate> BY_NAME = Comparator.comparing(Candidate::key);

	public Candidates {
		Map<Distance, List<Candidate>> copy = new EnumMap<>(Distance.class);
		byDistance.forEach((distance, candidates) -> copy.put(distance, List.copyOf(candidates)));
		byDistance = Map.copyOf(copy);
	}

	/**
	 * Selects the candidates of a rule.
	 * @param fleet the known state of the fleet
	 * @param rule the rule
	 * @param own the location of this process
	 * @return the candidates, never null
	 */
	public static Candidates select(FleetSnapshot fleet, RoutingRule rule, Location own) {
		Map<Distance, List<Candidate>> byDistance = new EnumMap<>(Distance.class);
		Selector group = group(fleet.configuration(), rule);
		for (AgentView agent : fleet.agents().values()) {
			if (isSelected(agent, rule, group)) {
				Distance distance = own.distanceTo(agent.instance());
				addRunners(agent, rule, distance, byDistance.computeIfAbsent(distance, (key) -> new ArrayList<>()));
			}
		}
		byDistance.values().forEach((candidates) -> candidates.sort(BY_NAME));
		return new Candidates(byDistance);
	}

	private static Selector group(PublishedConfiguration configuration, RoutingRule rule) {
		return configuration.service(rule.service())
			.map(Service::group)
			.map(configuration.groups()::get)
			.map(InstanceGroup::selector)
			.orElse(Selector.everything());
	}

	private static boolean isSelected(AgentView agent, RoutingRule rule, Selector group) {
		return agent.canAcceptRequests() && !agent.instance().leaving() && group.matches(agent.instance().labels())
				&& rule.instances().matches(agent.instance().labels());
	}

	private static void addRunners(AgentView agent, RoutingRule rule, Distance distance, List<Candidate> target) {
		for (int i = 0; i < agent.runners().size(); i++) {
			RunnerStatus runner = agent.runners().get(i);
			if (canServe(runner, rule)) {
				RunnerKey key = new RunnerKey(agent.instance().id(), runner.runner());
				int load = (i < agent.loads().size()) ? agent.loads().get(i) : 0;
				target.add(new Candidate(key, Hashes.hash(key.toString()), distance, load, agent.loadsAtMillis()));
			}
		}
	}

	private static boolean canServe(RunnerStatus runner, RoutingRule rule) {
		return runner.admitting() && runner.service().equals(rule.service()) && rule.acceptsVersion(runner.version());
	}

	/**
	 * Returns the candidates at a distance.
	 * @param distance the distance
	 * @return the candidates, never null
	 */
	public List<Candidate> at(Distance distance) {
		return this.byDistance.getOrDefault(distance, List.of());
	}

	/**
	 * Returns whether there are no candidates.
	 * @return true if no runner may serve the requests
	 */
	public boolean isEmpty() {
		return this.byDistance.values().stream().allMatch(List::isEmpty);
	}

}
