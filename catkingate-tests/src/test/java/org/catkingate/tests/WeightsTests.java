package org.catkingate.tests;

import java.nio.file.Path;
import java.util.List;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.catkingate.tests.faults.EngineProcess;
import org.catkingate.tests.faults.GuaranteeChecker;
import org.catkingate.tests.faults.ServingFleet;
import org.catkingate.tests.faults.Workload;
import org.catkingate.tests.harness.ChildProcess;
import org.catkingate.tests.harness.Member;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that no request is served from partial or mixed weights, and that the newest
 * version is served in the end.
 */
class WeightsTests {

	private static final int REQUESTS = 100;

	private static final long PAUSE_MILLIS = 5;

	@TempDir
	private Path directory;

	private ServingFleet fleet;

	private Workload workload;

	private void start(String... engineOptions) throws Exception {
		this.fleet = ServingFleet.start(this.directory, engineOptions);
		this.workload = new Workload(this.fleet.callers(), 1);
	}

	@AfterEach
	void close() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	private static boolean isLoading(EngineProcess engine) throws Exception {
		return engine.standIn().get("/engine/state").get("version").isNull();
	}

	private String loadedDigest(int engine) throws Exception {
		return this.fleet.engines().get(engine).standIn().get("/engine/state").get("digest").asText();
	}

	private void assertNewestVersionIsServed() throws Exception {
		for (int i = 0; i < this.fleet.engines().size(); i++) {
			int engine = i;
			Awaitility.await("engine " + engine + " has the newest version")
				.atMost(ChildProcess.TIMEOUT)
				.ignoreExceptions()
				.until(() -> loadedDigest(engine).equals(this.fleet.weights().digest()));
		}
		this.fleet.awaitServing();
		this.workload.send(REQUESTS, PAUSE_MILLIS);
		assertThat(GuaranteeChecker.findViolations(this.fleet, this.workload)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "true", "false" })
	void aNewVersionIsServedUnderLoad(String checksFencing) throws Exception {
		start("--load-bytes-per-s", "4000000", "--token-micros", "2000", "--checks-fencing", checksFencing);
		this.fleet.publishNextVersion();
		this.workload.send(4 * REQUESTS, PAUSE_MILLIS);
		assertNewestVersionIsServed();
	}

	@Test
	void theNewestVersionIsServedAfterTwoChangesDuringTransfer() throws Exception {
		start("--load-bytes-per-s", "4000000", "--token-micros", "2000");
		this.fleet.processes().origin().configure("--bytes-per-s", "1000000");
		this.fleet.publishNextVersion();
		this.workload.send(REQUESTS, PAUSE_MILLIS);
		this.fleet.publishNextVersion();
		this.workload.send(REQUESTS, PAUSE_MILLIS);
		assertNewestVersionIsServed();
	}

	@Test
	void aCorruptChunkIsFetchedAgain() throws Exception {
		start("--token-micros", "2000");
		this.fleet.processes().origin().configure("--corrupt-chunk", "2", "--corrupt-times", "3");
		this.fleet.publishNextVersion();
		this.workload.send(REQUESTS, PAUSE_MILLIS);
		assertNewestVersionIsServed();
	}

	@Test
	void aVersionIsServedAfterTheOriginWasDownResetConnectionsAndRejectedRequests() throws Exception {
		start("--token-micros", "2000");
		this.fleet.processes().origin().configure("--down", "true");
		this.fleet.publishNextVersion();
		this.workload.send(REQUESTS, PAUSE_MILLIS);
		this.fleet.processes().origin().configure("--down", "false", "--reset-after-bytes", "10000");
		this.workload.send(REQUESTS, PAUSE_MILLIS);
		this.fleet.processes().origin().configure("--reset-after-bytes", "-1", "--refuse", "true");
		this.workload.send(REQUESTS, PAUSE_MILLIS);
		this.fleet.processes().origin().configure("--refuse", "false");
		assertNewestVersionIsServed();
	}

	@ParameterizedTest
	@ValueSource(strings = { "true", "false" })
	void anAgentKilledBetweenLoadCommandAndResponseIsReplaced(String checksFencing) throws Exception {
		start("--load-bytes-per-s", "1000000", "--token-micros", "2000", "--checks-fencing", checksFencing);
		this.fleet.publishNextVersion();
		Awaitility.await("engine loading")
			.atMost(ChildProcess.TIMEOUT)
			.until(() -> isLoading(this.fleet.engines().get(0)));
		this.fleet.engineAgents().get(0).process().kill();
		this.fleet.engineAgents().get(0).restart();
		this.workload.send(REQUESTS, PAUSE_MILLIS);
		assertNewestVersionIsServed();
	}

	@ParameterizedTest
	@ValueSource(strings = { "true", "false" })
	void aFrozenAgentThatResumesBesideItsReplacementRevertsNothing(String checksFencing) throws Exception {
		start("--load-bytes-per-s", "1000000", "--token-micros", "2000", "--checks-fencing", checksFencing);
		Member frozen = this.fleet.engineAgents().get(0);
		this.fleet.publishNextVersion();
		Awaitility.await("engine loading")
			.atMost(ChildProcess.TIMEOUT)
			.until(() -> isLoading(this.fleet.engines().get(0)));
		frozen.process().freeze();
		this.fleet.processes().platform().removeInstance(frozen.instance());
		Member replacement = this.fleet.processes()
			.startAgent("gpu-9", "gpu", "llm", this.fleet.engines().get(0).address());
		replacement.awaitReady();
		this.fleet.publishNextVersion();
		this.workload.send(2 * REQUESTS, PAUSE_MILLIS);
		assertNewestVersionIsServed();
		frozen.process().thaw();
		this.workload.send(2 * REQUESTS, PAUSE_MILLIS);
		assertNewestVersionIsServed();
		assertThat(List.of(loadedDigest(0), loadedDigest(1))).containsOnly(this.fleet.weights().digest());
	}

}
