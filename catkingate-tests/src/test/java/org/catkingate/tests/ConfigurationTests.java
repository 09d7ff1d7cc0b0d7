package org.catkingate.tests;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.catkingate.standins.platform.Platform;
import org.catkingate.tests.faults.ServingFleet;
import org.catkingate.tests.harness.FleetProcesses;
import org.catkingate.tests.harness.Member;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that an accepted configuration is in force in all processes within seconds and is
 * never reverted.
 */
class ConfigurationTests {

	/** Target: a published configuration is in force in all processes within 4 s. */
	private static final Duration MAX_PROPAGATION = Duration.ofSeconds(4);

	private static final int OBSERVATION_SECONDS = 5;

	@TempDir
	private Path directory;

	private ServingFleet fleet;

	@BeforeEach
	void start() throws Exception {
		this.fleet = ServingFleet.start(this.directory, "--token-micros", "1000");
	}

	@AfterEach
	void close() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	private Platform platform() {
		return this.fleet.processes().platform();
	}

	private List<Member> members() {
		List<Member> all = new ArrayList<>(this.fleet.agents());
		all.addAll(this.fleet.entries());
		return all;
	}

	private static long revision(Member member) throws IOException {
		return member.state().findValue("revision").asLong();
	}

	private void awaitRevision(Member member, long revision) {
		Awaitility.await(member.instance() + " at revision " + revision)
			.atMost(MAX_PROPAGATION)
			.pollInterval(50, TimeUnit.MILLISECONDS)
			.ignoreExceptions()
			.until(() -> revision(member) == revision);
	}

	private void assertNeverBelow(long revision) throws Exception {
		for (int i = 0; i < OBSERVATION_SECONDS * 4; i++) {
			for (Member member : members()) {
				assertThat(revision(member)).as(member.instance()).isGreaterThanOrEqualTo(revision);
			}
			TimeUnit.MILLISECONDS.sleep(250);
		}
	}

	@Nested
	class Publications {

		@Test
		void areInForceEverywhereWithinTheTarget() {
			long revision = ConfigurationTests.this.fleet.publish();
			members().forEach((member) -> awaitRevision(member, revision));
		}

		@Test
		void thatAreInvalidLeaveThePreviousOneInForce() throws Exception {
			long validRevision = ConfigurationTests.this.fleet.publish();
			members().forEach((member) -> awaitRevision(member, validRevision));
			ConfigurationTests.this.fleet.processes().publish("[service broken]\nkind = nonsense\n");
			TimeUnit.SECONDS.sleep(OBSERVATION_SECONDS);
			for (Member member : members()) {
				assertThat(revision(member)).isEqualTo(validRevision);
			}
		}

	}

	@Nested
	class StaleServices {

		@Test
		void doNotRevertTheConfigurationInForce() throws Exception {
			long index = platform().index();
			long revision = ConfigurationTests.this.fleet.publish();
			members().forEach((member) -> awaitRevision(member, revision));
			platform().configure("--serve-index", Long.toString(index));
			assertNeverBelow(revision);
		}

		@Test
		void doNotRevertARestartedEntry() throws Exception {
			long index = platform().index();
			long revision = ConfigurationTests.this.fleet.publish();
			members().forEach((member) -> awaitRevision(member, revision));
			platform().configure("--serve-index", Long.toString(index));
			Member entry = ConfigurationTests.this.fleet.entries().get(0);
			entry.process().kill();
			entry.restart();
			entry.awaitReady();
			assertThat(revision(entry)).isEqualTo(revision);
		}

		@Test
		void doNotKeepAnEntryFromReceivingTheNewestRevisionFromPeers() {
			FleetProcesses processes = ConfigurationTests.this.fleet.processes();
			Platform stale = processes.register(Platform.start());
			for (Member agent : ConfigurationTests.this.fleet.agents()) {
				String role = agent.instance().substring(0, agent.instance().indexOf('-'));
				stale.putInstance(FleetProcesses.instanceRecord(agent.instance(), role, agent.proxy().address()));
			}
			Member entry = processes.startEntry("entry-3", stale.address());
			long revision = ConfigurationTests.this.fleet.publish();
			entry.awaitReady();
			awaitRevision(entry, revision);
		}

	}

	@Nested
	class Outages {

		@Test
		void leaveTheConfigurationInForceAndRequestsServed() throws Exception {
			long revision = ConfigurationTests.this.fleet.publish();
			members().forEach((member) -> awaitRevision(member, revision));
			platform().configure("--down", "true");
			assertNeverBelow(revision);
			ConfigurationTests.this.fleet.awaitServing();
		}

		@Test
		void thatFlapOnlyDelayTheNextPublication() {
			platform().configure("--flap-ms", "300");
			long revision = ConfigurationTests.this.fleet.publish();
			members().forEach((member) -> awaitRevision(member, revision));
		}

	}

}
