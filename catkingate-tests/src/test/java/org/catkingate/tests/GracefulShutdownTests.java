package org.catkingate.tests;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.catkingate.standins.engine.EngineRun;
import org.catkingate.tests.faults.EngineProcess;
import org.catkingate.tests.faults.ServingFleet;
import org.catkingate.tests.faults.Workload;
import org.catkingate.tests.harness.ChildProcess;
import org.catkingate.tests.harness.FleetProcesses;
import org.catkingate.tests.harness.Member;
import org.catkingate.tests.harness.Response;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a leaving or frozen agent gets no new work after a few seconds, and that a
 * graceful shutdown aborts no request in progress.
 */
class GracefulShutdownTests {

	/** Target: an agent gets no new work 3 s after it began to leave or was frozen. */
	private static final long MAX_NEW_WORK_MILLIS = 3000;

	private static final int LONG_RESPONSE_TOKENS = 600;

	@TempDir
	private Path directory;

	private ServingFleet fleet;

	@BeforeEach
	void start() throws Exception {
		this.fleet = ServingFleet.start(this.directory, "--token-micros", "10000");
	}

	@AfterEach
	void close() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	private static boolean isRunning(EngineProcess engine) throws Exception {
		return engine.standIn().get("/engine/state").get("running").asInt() > 0;
	}

	private CompletableFuture<Response> startLongResponse() {
		CompletableFuture<Response> response = this.fleet.callers()
			.get(0)
			.requestCompletion("long", LONG_RESPONSE_TOKENS);
		Awaitility.await("long response in progress")
			.atMost(ChildProcess.TIMEOUT)
			.until(() -> isRunning(engine(0)) || isRunning(engine(1)));
		return response;
	}

	private EngineProcess engine(int index) {
		return this.fleet.engines().get(index);
	}

	private void assertNoRunStartsAfter(EngineProcess engine, long epochMillis) throws Exception {
		Workload workload = new Workload(this.fleet.callers(), epochMillis);
		workload.send(300, 20);
		List<EngineRun> lateRuns = engine.runs().stream().filter((run) -> run.startedMillis() > epochMillis).toList();
		assertThat(lateRuns).isEmpty();
	}

	@Test
	void aTerminatedAgentCompletesRequestsInProgressAndGetsNoNewWork() throws Exception {
		CompletableFuture<Response> response = startLongResponse();
		int engineIndex = isRunning(engine(0)) ? 0 : 1;
		Member agent = this.fleet.engineAgents().get(engineIndex);
		agent.process().terminate();
		assertNoRunStartsAfter(engine(engineIndex), System.currentTimeMillis() + MAX_NEW_WORK_MILLIS);
		assertThat(response.join().isCompleteStream()).isTrue();
		assertThat(agent.process().awaitExit(ChildProcess.TIMEOUT)).isZero();
	}

	@Test
	void aTerminatedEntryCompletesRequestsInProgress() throws Exception {
		CompletableFuture<Response> response = startLongResponse();
		Member entry = this.fleet.entries().get(0);
		entry.process().terminate();
		Awaitility.await("entry not ready").atMost(ChildProcess.TIMEOUT).until(() -> !entry.isReady());
		assertThat(response.join().isCompleteStream()).isTrue();
		assertThat(entry.process().awaitExit(ChildProcess.TIMEOUT)).isZero();
	}

	@Test
	void anAgentListedAsLeavingGetsNoNewWork() throws Exception {
		Member agent = this.fleet.engineAgents().get(0);
		this.fleet.processes()
			.platform()
			.putInstance(FleetProcesses.instanceRecord(agent.instance(), "gpu", agent.proxy().address())
				.put("leaving", true));
		assertNoRunStartsAfter(engine(0), System.currentTimeMillis() + MAX_NEW_WORK_MILLIS);
	}

	@Test
	void aFrozenAgentGetsNoNewWork() throws Exception {
		this.fleet.engineAgents().get(0).process().freeze();
		assertNoRunStartsAfter(engine(0), System.currentTimeMillis() + MAX_NEW_WORK_MILLIS);
		this.fleet.engineAgents().get(0).process().thaw();
	}

}
