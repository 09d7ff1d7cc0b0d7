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

import org.catkingate.tests.faults.ServingFleet;
import org.catkingate.tests.harness.Caller;
import org.catkingate.tests.harness.ChildProcess;
import org.catkingate.tests.harness.Member;
import org.catkingate.tests.harness.Response;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A purchase runs at most once; the plain service's own count is the judge.
 */
class PurchaseTests {

	private static final String ITEM = "a licence";

	@TempDir
	private Path directory;

	private ServingFleet fleet;

	private String key;

	@BeforeEach
	void start() throws Exception {
		this.fleet = ServingFleet.start(this.directory, "--token-micros", "1000");
		this.key = firstCaller().requestKey().get(10, TimeUnit.SECONDS).orElseThrow();
	}

	@AfterEach
	void close() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	private Caller firstCaller() {
		return this.fleet.callers().get(0);
	}

	private Caller secondCaller() {
		return this.fleet.callers().get(1);
	}

	private int runs() {
		return this.fleet.shops().stream().mapToInt((shop) -> shop.runsOf(this.key)).sum();
	}

	private void delayRuns(long millis) {
		this.fleet.shops().forEach((shop) -> shop.configure("--delay-ms", Long.toString(millis)));
	}

	private CompletableFuture<Response> startPurchase() {
		CompletableFuture<Response> answer = firstCaller().purchase(this.key, ITEM);
		Awaitility.await("purchase running").atMost(ChildProcess.TIMEOUT).until(() -> runs() == 1);
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
	class Retries {

		@Test
		void atAnotherEntryWhileTheFirstAttemptRunsDoNotRunAgain() {
			delayRuns(1000);
			CompletableFuture<Response> answer = startPurchase();
			Response repeat = secondCaller().purchase(PurchaseTests.this.key, ITEM).join();
			assertThat(answer.join().isSuccessful()).isTrue();
			assertThat(repeat.isSuccessful() || repeat.isRejectedNotRun() || repeat.isOutcomeUnknown()).isTrue();
			assertThat(runs()).isEqualTo(1);
		}

		@Test
		void afterTheEndGetTheSameResponse() {
			Response answer = firstCaller().purchase(PurchaseTests.this.key, ITEM).join();
			Response repeat = secondCaller().purchase(PurchaseTests.this.key, ITEM).join();
			assertThat(answer.isSuccessful()).isTrue();
			assertThat(repeat.body()).isEqualTo(answer.body());
			assertThat(runs()).isEqualTo(1);
		}

		@Test
		void afterTheAgentDiedAndWasReplacedAreNotReportedAsNotRun() {
			delayRuns(3_600_000);
			CompletableFuture<Response> answer = startPurchase();
			home().process().kill();
			home().restart();
			home().awaitReady();
			Response repeat = secondCaller().purchase(PurchaseTests.this.key, ITEM).join();
			assertThat(answer.join().isSuccessful()).isFalse();
			assertThat(answer.join().isRejectedNotRun()).isFalse();
			assertThat(repeat.isSuccessful()).isFalse();
			assertThat(runs()).isEqualTo(1);
		}

		@Test
		void duringAPartitionRunAtMostOnce() {
			delayRuns(500);
			CompletableFuture<Response> answer = startPurchase();
			home().proxy().configure("--blackhole", "true");
			Response repeat = secondCaller().purchase(PurchaseTests.this.key, ITEM).join();
			home().proxy().configure("--blackhole", "false");
			Response later = PurchaseTests.this.fleet.callers().get(1).purchase(PurchaseTests.this.key, ITEM).join();
			assertThat(runs()).isEqualTo(1);
			assertThat(repeat.isSuccessful()).isFalse();
			assertThat(later.isSuccessful() || later.isRejectedNotRun()).isTrue();
			answer.join();
		}

	}

	@Nested
	class Outcomes {

		@Test
		void areUnknownIfTheServiceFailsAfterTheRun() {
			PurchaseTests.this.fleet.shops().forEach((shop) -> shop.configure("--die-after-run", "true"));
			Response answer = firstCaller().purchase(PurchaseTests.this.key, ITEM).join();
			assertThat(answer.isOutcomeUnknown()).isTrue();
			PurchaseTests.this.fleet.shops().forEach((shop) -> shop.configure("--die-after-run", "false"));
			Response repeat = secondCaller().purchase(PurchaseTests.this.key, ITEM).join();
			assertThat(repeat.isSuccessful()).isFalse();
			assertThat(repeat.isRejectedNotRun()).isFalse();
			assertThat(runs()).isEqualTo(1);
		}

		@Test
		void arePreservedWhenAConnectionGoesSilent() {
			delayRuns(1500);
			CompletableFuture<Response> answer = startPurchase();
			home().proxy().silence();
			assertThat(answer.join().isRejectedNotRun()).isFalse();
			Awaitility.await("answer by a new connection")
				.atMost(ChildProcess.TIMEOUT)
				.until(() -> secondCaller().purchase(PurchaseTests.this.key, ITEM).join().isSuccessful());
			assertThat(runs()).isEqualTo(1);
		}

	}

	@Nested
	class DelayedFrames {

		@Test
		void heldByTheNetworkDoNotStartARunLate() throws Exception {
			home().proxy().configure("--hold", "true");
			CompletableFuture<Response> answer = firstCaller().purchase(PurchaseTests.this.key, ITEM);
			TimeUnit.SECONDS.sleep(15);
			home().proxy().configure("--hold", "false");
			Response got = answer.join();
			TimeUnit.SECONDS.sleep(1);
			assertThat(runs()).isEqualTo(got.isSuccessful() ? 1 : 0);
		}

		@Test
		void ofAFrozenEntryRunAtMostOnce() throws Exception {
			delayRuns(200);
			Member entry = PurchaseTests.this.fleet.entries().get(0);
			CompletableFuture<Response> answer = firstCaller().purchase(PurchaseTests.this.key, ITEM);
			entry.process().freeze();
			Response repeat = secondCaller().purchase(PurchaseTests.this.key, ITEM).join();
			TimeUnit.SECONDS.sleep(12);
			entry.process().thaw();
			answer.join();
			assertThat(runs()).isLessThanOrEqualTo(1);
			assertThat(repeat.isSuccessful() || runs() <= 1).isTrue();
		}

		@Test
		void toAFrozenAgentRunAtMostOnce() throws Exception {
			home().process().freeze();
			CompletableFuture<Response> answer = firstCaller().purchase(PurchaseTests.this.key, ITEM);
			TimeUnit.SECONDS.sleep(12);
			home().process().thaw();
			Response got = answer.join();
			TimeUnit.SECONDS.sleep(1);
			assertThat(runs()).isLessThanOrEqualTo(1);
			assertThat(got.isRejectedNotRun() && runs() > 0).isFalse();
		}

	}

}
