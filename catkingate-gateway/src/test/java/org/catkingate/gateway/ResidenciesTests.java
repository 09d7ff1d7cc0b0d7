package org.catkingate.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import org.catkingate.decisions.sending.Residency;
import org.catkingate.decisions.sending.Urgency;
import org.catkingate.model.AccountName;
import org.catkingate.model.RegionName;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.CallKind;
import org.catkingate.model.registry.CallerLimits;
import org.catkingate.model.registry.RegisteredAccount;
import org.catkingate.model.registry.Route;
import org.catkingate.model.registry.RouteTable;
import org.catkingate.model.registry.ServingConfiguration;
import org.catkingate.runtime.calls.CallerHead;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Residencies}.
 */
class ResidenciesTests {

	private static final ServiceName SERVICE = new ServiceName("songs");

	private static final AccountName ACCOUNT = new AccountName("bar");

	private final Residencies residencies = new Residencies();

	private static Set<RegionName> regions(String... names) {
		return Stream.of(names).map(RegionName::new).collect(Collectors.toSet());
	}

	private static Route route(Set<RegionName> regions) {
		return new Route("route-1", "songs.example", "/songs/", CallKind.STREAM, true, false, 3000, 1000, 1, 2,
				List.of(new Route.Target(SERVICE, 1)), Long.MAX_VALUE, regions);
	}

	private static Optional<ServingConfiguration> configuration(Set<RegionName> route, Set<RegionName> account) {
		return Optional.of(new ServingConfiguration(1, RouteTable.of(List.of(route(route))), Map.of(),
				Map.of("key", new RegisteredAccount(ACCOUNT, 0, account)), new CallerLimits(1, 1, 1, 1)));
	}

	private static AdmittedRequest call(Residency residency) {
		return new AdmittedRequest(new CallerHead("r1", "key", 1000, 1, 1, 1, List.of()), "songs.example", "/songs/1",
				new byte[0], route(Set.of()), SERVICE, ACCOUNT, new Urgency(0, 0), residency, 0, 1000,
				new AdmittedRequest.DecisionBasis(1, 0));
	}

	// Guards against a call that arrived, and perhaps was sent, before a configuration
	// and is sent again to a region that is not allowed any more.
	@Test
	void followTheConfigurationInForceWhileACallIsInProgress() {
		AdmittedRequest call = call(Residency.anywhere());
		this.residencies.update(configuration(regions("r", "s"), regions("s", "t")));
		assertThat(this.residencies.of(call)).isEqualTo(new Residency(regions("s"), false));
		this.residencies.update(configuration(regions("r"), regions("t")));
		assertThat(this.residencies.of(call).contradictory()).isTrue();
		this.residencies.update(configuration(Set.of(), Set.of()));
		assertThat(this.residencies.of(call).isUnrestricted()).isTrue();
	}

	// Guards against a call that may be served anywhere since its route or account was
	// removed while it is in progress.
	@Test
	void areThoseOfTheArrivalWithoutTheRoute() {
		Residency arrival = Residency.of(regions("r"), Set.of());
		assertThat(this.residencies.of(call(arrival))).isEqualTo(arrival);
		this.residencies.update(Optional.of(new ServingConfiguration(2, RouteTable.of(List.of()), Map.of(), Map.of(),
				new CallerLimits(1, 1, 1, 1))));
		assertThat(this.residencies.of(call(arrival))).isEqualTo(arrival);
	}

}
