package org.catkingate.tests;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.catkingate.standins.weights.GeneratedWeights;
import org.catkingate.tests.faults.EngineProcess;
import org.catkingate.tests.faults.ServingFleet;
import org.catkingate.tests.harness.ChildProcess;
import org.catkingate.tests.harness.Response;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the rollout of a new version while requests are served.
 */
class RolloutTests {

	private static final int TOKENS = 5;

	private static final int CONCURRENT_REQUESTS = 8;

	@TempDir
	private Path directory;

	private ServingFleet fleet;

	@BeforeEach
	void start() throws Exception {
		this.fleet = ServingFleet.start(this.directory, "--token-micros", "2000");
	}

	@AfterEach
	void close() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	/*
	 * Sends several requests at the same time, so that some are in progress at every
	 * moment of the rollout.
	 */
	private List<Response> sendConcurrentRequests() {
		List<CompletableFuture<Response>> pending = new ArrayList<>();
		for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
			pending.add(this.fleet.callers().get(i % 2).requestCompletion("while it spreads", TOKENS));
		}
		return pending.stream().map(CompletableFuture::join).toList();
	}

	private boolean allServe(GeneratedWeights weights) throws Exception {
		for (EngineProcess engine : this.fleet.engines()) {
			if (!engine.standIn().get("/engine/state").path("digest").asText().equals(weights.digest())) {
				return false;
			}
		}
		return true;
	}

	@Test
	void requestsGetCompleteResponsesWhileThePreviousVersionMayRespondToo() {
		GeneratedWeights next = this.fleet.rollOutNextVersion();
		List<Response> responses = new ArrayList<>();
		Awaitility.await("the new version on both engines").atMost(ChildProcess.TIMEOUT).until(() -> {
			responses.addAll(sendConcurrentRequests());
			return allServe(next);
		});
		assertThat(responses).hasSizeGreaterThan(2).allMatch(Response::isCompleteStream);
	}

}
