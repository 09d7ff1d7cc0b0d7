package org.catkingate.decisions.idempotency;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.AccountName;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Labels;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.Selector;
import org.catkingate.model.ServiceName;
import org.catkingate.model.published.InstanceGroup;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.Service;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link KeyRouter}.
 */
class KeyRouterTests {

	private static final ServiceName SERVICE = new ServiceName("catalogue-api");

	private static final String RANDOM = "0123456789abcdef0123456789abcdef";

	private static FleetSnapshot fleet(Map<String, Boolean> reachable) {
		Service service = new Service(SERVICE, Service.Kind.PLAIN, false, "all", List.of(), List.of(), 60_000, 0, 100,
				1, 1);
		PublishedConfiguration configuration = new PublishedConfiguration(ConfigurationVersion.none(), Map.of(),
				Map.of(SERVICE, service), Map.of("all", new InstanceGroup("all", Selector.everything())), Map.of(),
				Map.of(), List.of());
		Map<InstanceId, AgentView> agents = new HashMap<>();
		reachable.forEach((name, isReachable) -> {
			InstanceRecord instance = new InstanceRecord(new InstanceId(name), Role.AGENT,
					new InetSocketAddress("127.0.0.1", 7100), new DataCentreName("d"), new RegionName("r"),
					Labels.none(), false);
			agents.put(instance.id(), new AgentView(instance, 7, isReachable, false, List.of(), List.of(), 0));
		});
		return new FleetSnapshot(configuration, agents);
	}

	private static KeyRoute route(FleetSnapshot fleet, String key) {
		return KeyRouter.route(fleet, new ScopedKey(new AccountName("bar"), SERVICE, key));
	}

	private static String issuedKey(String agent, long incarnation) {
		return new IssuedKey(new InstanceId(agent), incarnation, 99, RANDOM, RANDOM).text();
	}

	@Test
	void keysAreSpreadOverAllAgents() {
		FleetSnapshot fleet = fleet(Map.of("a", true, "b", true));
		List<KeyRoute> routes = List.of("1", "2", "3", "4", "5", "6", "7", "8")
			.stream()
			.map((key) -> route(fleet, key))
			.distinct()
			.toList();
		assertThat(routes).containsExactlyInAnyOrder(new KeyRoute.ToAgent(new InstanceId("a")),
				new KeyRoute.ToAgent(new InstanceId("b")));
	}

	@Test
	void anUnreachableHomeIsNotReplaced() {
		assertThat(route(fleet(Map.of("a", false)), "k")).isInstanceOf(KeyRoute.NotRun.class);
		KeyRoute home = route(fleet(Map.of("a", true, "b", true)), "k");
		FleetSnapshot unreachable = fleet(Map.of("a", !home.equals(new KeyRoute.ToAgent(new InstanceId("a"))), "b",
				!home.equals(new KeyRoute.ToAgent(new InstanceId("b")))));
		assertThat(route(unreachable, "k")).isInstanceOf(KeyRoute.NotRun.class);
	}

	@Test
	void issuedKeysGoToTheirIssuer() {
		FleetSnapshot fleet = fleet(Map.of("a", true, "b", true));
		assertThat(route(fleet, issuedKey("b", 7))).isEqualTo(new KeyRoute.ToAgent(new InstanceId("b")));
	}

	@Test
	void issuedKeysOfAnAgentThatIsGoneHaveAnUnknownOutcome() {
		FleetSnapshot fleet = fleet(Map.of("a", true));
		assertThat(route(fleet, issuedKey("a", 8))).isInstanceOf(KeyRoute.OutcomeUnknown.class);
		assertThat(route(fleet, issuedKey("b", 7))).isInstanceOf(KeyRoute.OutcomeUnknown.class);
	}

	@Test
	void anEntryWithoutAgentsReportsIssuedKeysAsNotRun() {
		assertThat(route(FleetSnapshot.empty(), issuedKey("a", 8))).isInstanceOf(KeyRoute.NotRun.class);
	}

	@Test
	void malformedIssuedKeysAreNotRun() {
		assertThat(route(fleet(Map.of("a", true)), "ckt1~a~7")).isInstanceOf(KeyRoute.NotRun.class);
	}

}
