package org.catkingate.tests;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.catkingate.tests.faults.TestFleet;
import org.catkingate.tests.harness.Answer;
import org.catkingate.tests.harness.Caller;
import org.catkingate.tests.harness.ChildProcess;
import org.catkingate.tests.harness.Member;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A purchase runs at most once; the plain service's own count is the judge.
 */
class PurchaseTests {

	private static final String ITEM = "a licence";

	@TempDir
	private Path directory;

	private TestFleet fleet;

	private String key;

	@BeforeEach
	void start() throws Exception {
		this.fleet = TestFleet.serving(this.directory, "--token-micros", "1000");
		this.key = first().issuedKey().get(10, TimeUnit.SECONDS).orElseThrow();
	}

	@AfterEach
	void close() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	private Caller first() {
		return this.fleet.callers().get(0);
	}

	private Caller second() {
		return this.fleet.callers().get(1);
	}

	private int runs() {
		return this.fleet.shops().stream().mapToInt((shop) -> shop.runsOf(this.key)).sum();
	}

	private void slow(long millis) {
		this.fleet.shops().forEach((shop) -> shop.configure("--delay-ms", Long.toString(millis)));
	}

	private CompletableFuture<Answer> running() {
		CompletableFuture<Answer> answer = first().purchase(this.key, ITEM);
		Awaitility.await("purchase running").atMost(ChildProcess.PATIENCE).until(() -> runs() == 1);
		return answer;
	}

	/**
	 * Returns the agent that the issued key names.
	 */
	private Member home() {
		return this.fleet.shopAgents()
			.stream()
			.filter((agent) -> this.key.contains(agent.instance()))
			.findFirst()
			.orElseThrow();
	}

	@Nested
	class Repeats {

		@Test
		void atAnotherEntryWhileTheFirstRunsDoNotRunAgain() {
			slow(1000);
			CompletableFuture<Answer> answer = running();
			Answer repeat = second().purchase(PurchaseTests.this.key, ITEM).join();
			assertThat(answer.join().isWhole()).isTrue();
			assertThat(repeat.isWhole() || repeat.isRefusedNotRun() || repeat.isOutcomeUnknown()).isTrue();
			assertThat(runs()).isEqualTo(1);
		}

		@Test
		void afterTheEndGetTheSameAnswer() {
			Answer answer = first().purchase(PurchaseTests.this.key, ITEM).join();
			Answer repeat = second().purchase(PurchaseTests.this.key, ITEM).join();
			assertThat(answer.isWhole()).isTrue();
			assertThat(repeat.body()).isEqualTo(answer.body());
			assertThat(runs()).isEqualTo(1);
		}

		@Test
		void afterTheAgentDiedAndWasReplacedAreNotSaidToBeNotRun() {
			slow(3_600_000);
			CompletableFuture<Answer> answer = running();
			home().process().kill();
			home().restart();
			home().awaitReady();
			Answer repeat = second().purchase(PurchaseTests.this.key, ITEM).join();
			assertThat(answer.join().isWhole()).isFalse();
			assertThat(answer.join().isRefusedNotRun()).isFalse();
			assertThat(repeat.isWhole()).isFalse();
			assertThat(runs()).isEqualTo(1);
		}

		@Test
		void duringAPartitionRunAtMostOnce() {
			slow(500);
			CompletableFuture<Answer> answer = running();
			home().proxy().configure("--blackhole", "true");
			Answer repeat = second().purchase(PurchaseTests.this.key, ITEM).join();
			home().proxy().configure("--blackhole", "false");
			Answer later = PurchaseTests.this.fleet.callers().get(1).purchase(PurchaseTests.this.key, ITEM).join();
			assertThat(runs()).isEqualTo(1);
			assertThat(repeat.isWhole()).isFalse();
			assertThat(later.isWhole() || later.isRefusedNotRun()).isTrue();
			answer.join();
		}

	}

	@Nested
	class Outcomes {

		@Test
		void areUnknownIfTheServiceDiesAfterTheRun() {
			PurchaseTests.this.fleet.shops().forEach((shop) -> shop.configure("--die-after-run", "true"));
			Answer answer = first().purchase(PurchaseTests.this.key, ITEM).join();
			assertThat(answer.isOutcomeUnknown()).isTrue();
			PurchaseTests.this.fleet.shops().forEach((shop) -> shop.configure("--die-after-run", "false"));
			Answer repeat = second().purchase(PurchaseTests.this.key, ITEM).join();
			assertThat(repeat.isWhole()).isFalse();
			assertThat(repeat.isRefusedNotRun()).isFalse();
			assertThat(runs()).isEqualTo(1);
		}

		@Test
		void areKeptThroughASilentConnection() {
			slow(1500);
			CompletableFuture<Answer> answer = running();
			home().proxy().silence();
			assertThat(answer.join().isRefusedNotRun()).isFalse();
			Awaitility.await("answer by a new connection")
				.atMost(ChildProcess.PATIENCE)
				.until(() -> second().purchase(PurchaseTests.this.key, ITEM).join().isWhole());
			assertThat(runs()).isEqualTo(1);
		}

	}

	@Nested
	class LateFrames {

		@Test
		void heldUpByTheLinkDoNotStartLate() throws Exception {
			home().proxy().configure("--hold", "true");
			CompletableFuture<Answer> answer = first().purchase(PurchaseTests.this.key, ITEM);
			TimeUnit.SECONDS.sleep(15);
			home().proxy().configure("--hold", "false");
			Answer got = answer.join();
			TimeUnit.SECONDS.sleep(1);
			assertThat(runs()).isEqualTo(got.isWhole() ? 1 : 0);
		}

		@Test
		void heldUpByAPausedEntryRunAtMostOnce() throws Exception {
			slow(200);
			Member entry = PurchaseTests.this.fleet.entries().get(0);
			CompletableFuture<Answer> answer = first().purchase(PurchaseTests.this.key, ITEM);
			entry.process().freeze();
			Answer repeat = second().purchase(PurchaseTests.this.key, ITEM).join();
			TimeUnit.SECONDS.sleep(12);
			entry.process().thaw();
			answer.join();
			assertThat(runs()).isLessThanOrEqualTo(1);
			assertThat(repeat.isWhole() || runs() <= 1).isTrue();
		}

		@Test
		void heldUpByAPausedAgentRunAtMostOnce() throws Exception {
			home().process().freeze();
			CompletableFuture<Answer> answer = first().purchase(PurchaseTests.this.key, ITEM);
			TimeUnit.SECONDS.sleep(12);
			home().process().thaw();
			Answer got = answer.join();
			TimeUnit.SECONDS.sleep(1);
			assertThat(runs()).isLessThanOrEqualTo(1);
			assertThat(got.isRefusedNotRun() && runs() > 0).isFalse();
		}

	}

}
