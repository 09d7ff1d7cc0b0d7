package org.catkingate.runtime.fleet;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.catkingate.standins.platform.Platform;
import org.catkingate.standins.platform.Publication;
import org.catkingate.standins.proxy.FaultInjectingProxy;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Fleet} with faults of the platform, the network and processes.
 */
class FleetFaultTests {

	private static final String OLD = SmallFleet.group("old");

	private static final String NEW = SmallFleet.group("new");

	private final SmallFleet fleet = new SmallFleet();

	@AfterEach
	void close() {
		this.fleet.close();
	}

	private List<Fleet> startWithConfiguration(long revision, String... agents) throws Exception {
		List<Fleet> processes = new ArrayList<>();
		for (String agent : agents) {
			processes.add(this.fleet.agent(agent));
		}
		processes.add(this.fleet.entry("e1"));
		this.fleet.publish(revision, OLD);
		this.fleet.awaitRevision(revision);
		return processes;
	}

	private static FaultInjectingProxy proxyTo(InetSocketAddress address) {
		return FaultInjectingProxy.start("--listen", "127.0.0.1:0", "--target", "127.0.0.1:" + address.getPort());
	}

	@Nested
	class AServiceThat {

		@Test
		void isDownAtStartIsReadOnceItIsUp() throws Exception {
			FleetFaultTests.this.fleet.platform().configure("--down", "true");
			FleetFaultTests.this.fleet.publish(1, OLD);
			Fleet entry = FleetFaultTests.this.fleet.entry("e1");
			SmallFleet.eventually().until(() -> entry.dump().orElseThrow().configuration().service().failures() >= 2);
			assertThat(entry.isReady()).isFalse();
			FleetFaultTests.this.fleet.platform().configure("--down", "false");
			FleetFaultTests.this.fleet.awaitRevision(1);
		}

		@ParameterizedTest
		@CsvSource({ "--flap-ms,400", "--delay-ms,1500" })
		void flapsOrIsSlowStillReachesAllProcesses(String option, String value) throws Exception {
			startWithConfiguration(1, "a1", "a2");
			FleetFaultTests.this.fleet.platform().configure(option, value);
			FleetFaultTests.this.fleet.publish(2, NEW);
			FleetFaultTests.this.fleet.awaitRevision(2);
		}

		@ParameterizedTest
		@ValueSource(strings = { "--half-value", "--cut-value" })
		void returnsHalfAValueChangesNothingUntilItIsComplete(String option) throws Exception {
			List<Fleet> processes = startWithConfiguration(1, "a1");
			long reads = processes.get(0).dump().orElseThrow().configuration().service().reads();
			FleetFaultTests.this.fleet.platform().configure(option, "true");
			FleetFaultTests.this.fleet.publish(2, NEW);
			SmallFleet.eventually()
				.until(() -> processes.get(0).dump().orElseThrow().configuration().service().reads() > reads + 1);
			assertThat(FleetFaultTests.this.fleet.revisions()).containsOnly(1L);
			FleetFaultTests.this.fleet.platform().configure(option, "false");
			FleetFaultTests.this.fleet.awaitRevision(2);
		}

		@Test
		void holdsAPartOfMoreThanAMegabyteIsReportedAndLeavesTheLastValidOneInForce() throws Exception {
			List<Fleet> processes = startWithConfiguration(1, "a1");
			FleetFaultTests.this.fleet.publish(2, NEW + ";".repeat(2 * 1024 * 1024));
			SmallFleet.eventually()
				.until(() -> processes.get(0)
					.dump()
					.orElseThrow()
					.configuration()
					.reading()
					.contains("no complete response"));
			assertThat(FleetFaultTests.this.fleet.revisions()).containsOnly(1L);
			FleetFaultTests.this.fleet.publish(3, NEW);
			FleetFaultTests.this.fleet.awaitRevision(3);
		}

		@Test
		void isStaleForAllButOneStillReachesAllProcesses() throws Exception {
			try (Platform stalePlatform = Platform.start("--listen", "127.0.0.1:0")) {
				stalePlatform.publish(Publication.of(1, List.of(OLD)));
				URI staleUrl = SmallFleet.url(stalePlatform.address());
				for (int i = 0; i < 5; i++) {
					FleetFaultTests.this.fleet.agent("a" + i, staleUrl);
				}
				FleetFaultTests.this.fleet.agent("a5");
				FleetFaultTests.this.fleet.publish(1, OLD);
				FleetFaultTests.this.fleet.awaitRevision(1);
				FleetFaultTests.this.fleet.publish(2, NEW);
				FleetFaultTests.this.fleet.awaitRevision(2);
				stalePlatform.publish(Publication.of(1, List.of(OLD)));
				stalePlatform.publish(Publication.of(3, List.of(NEW, OLD)));
				FleetFaultTests.this.fleet.awaitRevision(3);
			}
		}

		@Test
		void revertsAPublicationLeavesAllProcessesInOneState() throws Exception {
			startWithConfiguration(1, "a1", "a2", "a3");
			FleetFaultTests.this.fleet.publish(2, NEW);
			FleetFaultTests.this.fleet.publish(1, OLD);
			FleetFaultTests.this.fleet.publish(3, OLD);
			FleetFaultTests.this.fleet.awaitRevision(3);
		}

	}

	@Nested
	class AListThat {

		@Test
		void isEmptyOrDownLeavesRoutingUnchanged() throws Exception {
			Fleet entry = startWithConfiguration(1, "a1", "a2").get(2);
			SmallFleet.eventually()
				.until(() -> SmallFleet.canRouteRequests(entry, "a1") && SmallFleet.canRouteRequests(entry, "a2"));
			long reads = entry.dump().orElseThrow().list().reads();
			FleetFaultTests.this.fleet.platform().removeInstance("a1");
			FleetFaultTests.this.fleet.platform().removeInstance("a2");
			SmallFleet.eventually().until(() -> entry.dump().orElseThrow().list().reads() > reads);
			FleetFaultTests.this.fleet.platform().configure("--instances-down", "true");
			SmallFleet.eventually().until(() -> entry.dump().orElseThrow().list().failures() > 1);
			assertThat(SmallFleet.canRouteRequests(entry, "a1") && SmallFleet.canRouteRequests(entry, "a2")).isTrue();
		}

		@Test
		void namesFailedAgentsRoutesNothingToThemAndDelaysNoPublication() throws Exception {
			Fleet entry = startWithConfiguration(1, "a1", "a2", "a3", "a4").get(4);
			SmallFleet.eventually().until(() -> SmallFleet.canRouteRequests(entry, "a1"));
			List.of("a1", "a2", "a3").forEach(FleetFaultTests.this.fleet::stop);
			SmallFleet.eventually().until(() -> !SmallFleet.canRouteRequests(entry, "a1"));
			FleetFaultTests.this.fleet.publish(2, NEW);
			FleetFaultTests.this.fleet.awaitRevision(2);
			assertThat(SmallFleet.canRouteRequests(entry, "a4")).isTrue();
		}

	}

	@Nested
	class Restarts {

		@Test
		void ofAllEntriesTogetherDoNotRestoreAnOldVersionFromAStaleService() throws Exception {
			FleetFaultTests.this.fleet.publish(1, OLD);
			long staleIndex = FleetFaultTests.this.fleet.platform().index();
			FleetFaultTests.this.fleet.agent("a1");
			FleetFaultTests.this.fleet.agent("a2");
			List<String> names = List.of("e1", "e2", "e3");
			for (String name : names) {
				FleetFaultTests.this.fleet.entry(name);
			}
			FleetFaultTests.this.fleet.publish(2, NEW);
			FleetFaultTests.this.fleet.awaitRevision(2);
			FleetFaultTests.this.fleet.platform().configure("--serve-index", Long.toString(staleIndex));
			names.forEach(FleetFaultTests.this.fleet::stop);
			List<Long> seen = new CopyOnWriteArrayList<>();
			for (String name : names) {
				FleetFaultTests.this.fleet.entry(name)
					.addSnapshotListener((snapshot) -> seen.add(snapshot.configuration().version().revision()));
			}
			FleetFaultTests.this.fleet.awaitRevision(2);
			assertThat(seen).contains(2L).doesNotContain(1L);
		}

	}

	@Nested
	class PartitionedRegions {

		@Test
		void keepTheirConfigurationAndConvergeOnceThePartitionHeals() throws Exception {
			try (Platform listPlatform = Platform.start("--listen", "127.0.0.1:0");
					Platform farPlatform = Platform.start("--listen", "127.0.0.1:0")) {
				listPlatform.configure("--instances-down", "true");
				URI nearUrl = SmallFleet.url(FleetFaultTests.this.fleet.platform().address());
				Fleet near = FleetFaultTests.this.fleet.agent("a1", "r1", nearUrl, listPlatform);
				Fleet far = FleetFaultTests.this.fleet.agent("b1", "r2", SmallFleet.url(farPlatform.address()),
						listPlatform);
				try (FaultInjectingProxy toNear = proxyTo(near.address().orElseThrow());
						FaultInjectingProxy toFar = proxyTo(far.address().orElseThrow())) {
					SmallFleet.addToInstanceList(listPlatform, "a1", "r1", toNear.address());
					SmallFleet.addToInstanceList(listPlatform, "b1", "r2", toFar.address());
					listPlatform.configure("--instances-down", "false");
					FleetFaultTests.this.fleet.publish(1, OLD);
					FleetFaultTests.this.fleet.awaitRevision(1);
					toNear.configure("--blackhole", "true");
					toFar.configure("--blackhole", "true");
					FleetFaultTests.this.fleet.publish(2, NEW);
					SmallFleet.eventually().until(() -> SmallFleet.revision(near) == 2);
					SmallFleet.eventually()
						.until(() -> near.dump().orElseThrow().links().isEmpty()
								&& far.dump().orElseThrow().links().isEmpty());
					assertThat(SmallFleet.revision(far)).isEqualTo(1);
					toNear.configure("--blackhole", "false");
					toFar.configure("--blackhole", "false");
					FleetFaultTests.this.fleet.awaitRevision(2);
				}
			}
		}

	}

	@Nested
	class AProcessThatWasPaused {

		@Test
		void verifiesItsPeersBeforeItUsesThem() throws Exception {
			AtomicLong pausedNanos = new AtomicLong();
			FleetFaultTests.this.fleet.agent("a1");
			Fleet entry = FleetFaultTests.this.fleet.entry("e1", () -> System.nanoTime() + pausedNanos.get());
			SmallFleet.eventually().until(() -> SmallFleet.canRouteRequests(entry, "a1"));
			List<Boolean> seen = new CopyOnWriteArrayList<>();
			entry.addSnapshotListener((snapshot) -> seen.add(SmallFleet.canRouteRequests(entry, "a1")));
			pausedNanos.set(TimeUnit.SECONDS.toNanos(30));
			SmallFleet.eventually().until(() -> seen.contains(false) && SmallFleet.canRouteRequests(entry, "a1"));
		}

	}

}
