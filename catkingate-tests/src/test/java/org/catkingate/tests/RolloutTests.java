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
import org.catkingate.tests.faults.TestFleet;
import org.catkingate.tests.harness.Answer;
import org.catkingate.tests.harness.ChildProcess;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A new version that spreads while requests go on.
 */
class RolloutTests {

	private static final int TOKENS = 5;

	private static final int AT_A_TIME = 8;

	@TempDir
	private Path directory;

	private TestFleet fleet;

	@BeforeEach
	void start() throws Exception {
		this.fleet = TestFleet.serving(this.directory, "--token-micros", "2000");
	}

	@AfterEach
	void close() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	/*
	 * Several at a time, so that some are on their way at every moment of the change.
	 */
	private List<Answer> askTogether() {
		List<CompletableFuture<Answer>> asked = new ArrayList<>();
		for (int i = 0; i < AT_A_TIME; i++) {
			asked.add(this.fleet.callers().get(i % 2).complete("while it spreads", TOKENS));
		}
		return asked.stream().map(CompletableFuture::join).toList();
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
	void requestsAreAnsweredWholeWhileTheFormerVersionMayAnswerToo() {
		GeneratedWeights next = this.fleet.rollOutVersion();
		List<Answer> answers = new ArrayList<>();
		Awaitility.await("the new version on both engines").atMost(ChildProcess.PATIENCE).until(() -> {
			answers.addAll(askTogether());
			return allServe(next);
		});
		assertThat(answers).hasSizeGreaterThan(2).allMatch(Answer::isWholeStream);
	}

}
