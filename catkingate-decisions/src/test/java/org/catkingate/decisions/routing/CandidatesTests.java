package org.catkingate.decisions.routing;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Labels;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.RunnerId;
import org.catkingate.model.RunnerStatus;
import org.catkingate.model.Selector;
import org.catkingate.model.SelectorException;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;
import org.catkingate.model.published.CallPattern;
import org.catkingate.model.published.InstanceGroup;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.RoutingRule;
import org.catkingate.model.published.Service;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Candidates}.
 */
class CandidatesTests {

	private static final ServiceName SERVICE = new ServiceName("llm");

	private static final VersionId VERSION = VersionId.of("m", "1");

	private static final VersionId PREVIOUS = VersionId.of("m", "former");

	private static final Location OWN = new Location(new DataCentreName("a-1"), new RegionName("a"));

	private static AgentView agent(String name, String dataCentre, String region, boolean reachable, boolean draining,
			boolean leaving, RunnerStatus runner) {
		InstanceRecord instance = new InstanceRecord(new InstanceId(name), Role.AGENT,
				new InetSocketAddress("127.0.0.1", 1), new DataCentreName(dataCentre), new RegionName(region),
				Labels.of(Map.of("role", "gpu", "name", name)), leaving);
		return new AgentView(instance, 1, reachable, draining, List.of(runner), List.of(3), 10);
	}

	private static RunnerStatus runner(VersionId version, boolean admitting) {
		return new RunnerStatus(new RunnerId("r"), SERVICE, version, null, admitting);
	}

	private static AgentView available(String name, String dataCentre, String region) {
		return agent(name, dataCentre, region, true, false, false, runner(VERSION, true));
	}

	private static Candidates select(String group, String instances, AgentView... agents) throws SelectorException {
		CallPattern call = new CallPattern("*", "/");
		Service service = new Service(SERVICE, Service.Kind.ENGINE, true, "g", List.of(), List.of(), 1, 0, 25, 1, 1);
		RoutingRule rule = new RoutingRule("rule", Selector.everything(), call, SERVICE, VERSION, Set.of(PREVIOUS),
				Selector.parse(instances));
		PublishedConfiguration configuration = new PublishedConfiguration(ConfigurationVersion.none(), Map.of(),
				Map.of(SERVICE, service), Map.of("g", new InstanceGroup("g", Selector.parse(group))), Map.of(),
				Map.of(), List.of(rule));
		Map<InstanceId, AgentView> views = new HashMap<>();
		for (AgentView agent : agents) {
			views.put(agent.instance().id(), agent);
		}
		return Candidates.select(new FleetSnapshot(configuration, views), rule, OWN);
	}

	private static List<String> names(List<Candidate> candidates) {
		return candidates.stream().map((candidate) -> candidate.key().instance().value()).toList();
	}

	@Test
	void areGroupedByDistance() throws SelectorException {
		Candidates candidates = select("*", "*", available("far", "b-1", "b"), available("near", "a-1", "a"),
				available("region", "a-2", "a"));
		assertThat(names(candidates.at(Distance.DATA_CENTRE))).containsExactly("near");
		assertThat(names(candidates.at(Distance.REGION))).containsExactly("region");
		assertThat(names(candidates.at(Distance.ELSEWHERE))).containsExactly("far");
	}

	@Test
	void excludeUnreachableDrainingAndLeavingAgents() throws SelectorException {
		Candidates candidates = select("*", "*",
				agent("silent", "a-1", "a", false, false, false, runner(VERSION, true)),
				agent("draining", "a-1", "a", true, true, false, runner(VERSION, true)),
				agent("leaving", "a-1", "a", true, false, true, runner(VERSION, true)));
		assertThat(candidates.isEmpty()).isTrue();
	}

	@Test
	void excludeRunnersThatHoldAnotherVersionOrDoNotAdmitRequests() throws SelectorException {
		Candidates candidates = select("*", "*",
				agent("old", "a-1", "a", true, false, false, runner(VersionId.of("m", "0"), true)),
				agent("closed", "a-1", "a", true, false, false, runner(VERSION, false)),
				agent("empty", "a-1", "a", true, false, false, runner(null, true)));
		assertThat(candidates.isEmpty()).isTrue();
	}

	@Test
	void includeRunnersWithAnotherVersionThatTheRuleAllows() throws SelectorException {
		Candidates candidates = select("*", "*", available("new", "a-1", "a"),
				agent("former", "a-1", "a", true, false, false, runner(PREVIOUS, true)));
		assertThat(names(candidates.at(Distance.DATA_CENTRE))).containsExactly("former", "new");
	}

	@Test
	void mustBeSelectedByGroupAndRule() throws SelectorException {
		Candidates candidates = select("name=x|y", "name=y|z", available("x", "a-1", "a"), available("y", "a-1", "a"),
				available("z", "a-1", "a"));
		assertThat(names(candidates.at(Distance.DATA_CENTRE))).containsExactly("y");
	}

}
