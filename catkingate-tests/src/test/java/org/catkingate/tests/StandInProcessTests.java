package org.catkingate.tests;

import java.nio.file.Path;
import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.catkingate.tests.harness.ChildProcess;
import org.catkingate.tests.harness.StandInProcess;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the executable of the stand-ins and for the test harness.
 */
class StandInProcessTests {

	@TempDir
	private Path directory;

	@Test
	void printsItsAddressAndEndsOnSigterm() throws Exception {
		try (StandInProcess engine = StandInProcess.start(this.directory, "engine", "engine")) {
			assertThat(engine.readControl("runs").get("count").asInt()).isZero();
			engine.process().terminate();
			engine.process().awaitExit(ChildProcess.TIMEOUT);
		}
	}

	@Test
	void freezesAndThaws() throws Exception {
		try (StandInProcess engine = StandInProcess.start(this.directory, "engine", "engine")) {
			engine.process().freeze();
			assertThat(engine.process().isAlive()).isTrue();
			engine.process().thaw();
			assertThat(engine.readControl("runs").get("count").asInt()).isZero();
		}
	}

	@Test
	void restartsAtTheSameAddress() {
		try (StandInProcess first = StandInProcess.start(this.directory, "plain", "plain")) {
			first.process().kill();
			try (StandInProcess second = StandInProcess.restart(first, this.directory, "plain-again", "plain")) {
				assertThat(second.address()).isEqualTo(first.address());
			}
		}
	}

	@Test
	void rejectsUnknownCommandsWithoutStackTrace() {
		try (ChildProcess process = ChildProcess.start(this.directory, "wrong",
				ChildProcess.commandLine("catkingate-standins", "nothing"))) {
			assertThat(process.awaitExit(Duration.ofSeconds(60))).isEqualTo(2);
			assertThat(process.errors()).isEqualTo(
					"catkingate-standins: give one of the commands platform, engine, plain, origin, store, proxy\n");
		}
	}

}
