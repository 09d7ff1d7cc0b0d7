package org.catkingate.runtime.fleet;

import java.net.InetSocketAddress;
import java.net.URI;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.model.InstanceId;
import org.catkingate.standins.proxy.FaultInjectingProxy;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Fleet}.
 */
class FleetTests {

	private static final URI UNREACHABLE_URL = URI.create("http://127.0.0.1:1");

	private final SmallFleet fleet = new SmallFleet();

	@AfterEach
	void close() {
		this.fleet.close();
	}

	@Nested
	class AnEntry {

		@Test
		void connectsToAgentsAndDetectsThatTheyDrain() throws Exception {
			FleetTests.this.fleet.publish(1, SmallFleet.group("g"));
			Fleet agent = FleetTests.this.fleet.agent("a1");
			Fleet entry = FleetTests.this.fleet.entry("e1");
			SmallFleet.eventually().until(() -> SmallFleet.canRouteRequests(entry, "a1") && entry.isReady());
			assertThat(entry.to(new InstanceId("a1"))).isPresent();
			agent.drain();
			SmallFleet.eventually().until(() -> !SmallFleet.canRouteRequests(entry, "a1"));
		}

		@Test
		void recordsTheNewestHeartbeatOfAnAgent() throws Exception {
			Fleet agent = FleetTests.this.fleet.agent("a1");
			Fleet entry = FleetTests.this.fleet.entry("e1");
			SmallFleet.eventually()
				.until(() -> entry.to(new InstanceId("a1"))
					.map((connection) -> connection.newestHeartbeat().get() > 2)
					.orElse(false));
			long newest = entry.to(new InstanceId("a1")).orElseThrow().newestHeartbeat().get();
			assertThat(agent.heartbeatAgeMillis(newest)).isBetween(0L, 60_000L);
			assertThat(agent.heartbeatAgeMillis(newest + 1000)).isEqualTo(Long.MAX_VALUE);
		}

		@Test
		void replacesAConnectionThatHasGoneSilent() throws Exception {
			Fleet agent = FleetTests.this.fleet.agent("a1");
			InetSocketAddress address = agent.address().orElseThrow();
			try (FaultInjectingProxy proxy = FaultInjectingProxy.start("--listen", "127.0.0.1:0", "--target",
					"127.0.0.1:" + address.getPort())) {
				FleetTests.this.fleet.addToInstanceList("a1", proxy.address());
				Fleet entry = FleetTests.this.fleet.entry("e1");
				SmallFleet.eventually().until(() -> SmallFleet.canRouteRequests(entry, "a1"));
				proxy.configure("--blackhole", "true");
				SmallFleet.eventually().until(() -> !SmallFleet.canRouteRequests(entry, "a1"));
				assertThat(entry.to(new InstanceId("a1"))).isEmpty();
				proxy.configure("--blackhole", "false");
				SmallFleet.eventually().until(() -> SmallFleet.canRouteRequests(entry, "a1"));
			}
		}

	}

	@Nested
	class AConfiguration {

		@Test
		void reachesProcessesThatCannotReachTheService() throws Exception {
			FleetTests.this.fleet.agent("a1");
			FleetTests.this.fleet.agent("a2", UNREACHABLE_URL);
			FleetTests.this.fleet.agent("a3", UNREACHABLE_URL);
			FleetTests.this.fleet.entry("e1");
			FleetTests.this.fleet.publish(1, SmallFleet.group("g"));
			FleetTests.this.fleet.awaitRevision(1);
			FleetTests.this.fleet.publish(2, SmallFleet.group("g"), SmallFleet.group("h"));
			FleetTests.this.fleet.awaitRevision(2);
		}

		@Test
		void isNotRevertedByARestartWhileTheServiceIsStale() throws Exception {
			FleetTests.this.fleet.publish(1, SmallFleet.group("g"));
			long staleIndex = FleetTests.this.fleet.platform().index();
			FleetTests.this.fleet.publish(2, SmallFleet.group("h"));
			FleetTests.this.fleet.agent("a1");
			FleetTests.this.fleet.agent("a2");
			FleetTests.this.fleet.entry("e1");
			FleetTests.this.fleet.awaitRevision(2);
			FleetTests.this.fleet.platform().configure("--serve-index", Long.toString(staleIndex));
			FleetTests.this.fleet.stop("e1");
			Fleet entry = FleetTests.this.fleet.entry("e1");
			SmallFleet.eventually().until(() -> SmallFleet.revision(entry) > 0);
			assertThat(SmallFleet.revision(entry)).isEqualTo(2);
			assertThat(entry.isReady()).isTrue();
		}

		@Test
		void withProblemsIsReportedAndLeavesTheLastValidOneInForce() throws Exception {
			FleetTests.this.fleet.publish(1, SmallFleet.group("g"));
			Fleet entry = FleetTests.this.fleet.entry("e1");
			FleetTests.this.fleet.awaitRevision(1);
			FleetTests.this.fleet.publish(2, "[grup g]\nselector = *\n");
			SmallFleet.eventually().until(() -> !entry.dump().orElseThrow().configuration().rejected().isEmpty());
			assertThat(SmallFleet.revision(entry)).isEqualTo(1);
			FleetTests.this.fleet.publish(3, SmallFleet.group("h"));
			FleetTests.this.fleet.awaitRevision(3);
		}

	}

}
