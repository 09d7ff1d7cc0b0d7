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
 * Tests with real processes that a purchase runs at most once under faults of processes
 * and connections, as counted by the plain services. Each agent has its own service.
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
		this.key = firstCaller().requestIdempotencyKey().get(10, TimeUnit.SECONDS).orElseThrow();
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

	private int runCount() {
		return this.fleet.shops().stream().mapToInt((shop) -> shop.runCount(this.key)).sum();
	}

	private void delayRuns(long millis) {
		this.fleet.shops().forEach((shop) -> shop.configure("--delay-ms", Long.toString(millis)));
	}

	private CompletableFuture<Response> startPurchase() {
		CompletableFuture<Response> response = firstCaller().purchase(this.key, ITEM);
		Awaitility.await("purchase in progress").atMost(ChildProcess.TIMEOUT).until(() -> runCount() == 1);
		return response;
	}

	/**
	 * Returns the agent named in the issued key.
	 */
	private Member keyIssuer() {
		return this.fleet.shopAgents()
			.stream()
			.filter((agent) -> this.key.contains(agent.instance()))
			.findFirst()
			.orElseThrow();
	}

	@Nested
	class Repeats {

		@Test
		void atAnotherEntryWhileTheFirstAttemptRunsDoNotRunAgain() {
			delayRuns(1000);
			CompletableFuture<Response> response = startPurchase();
			Response repeat = secondCaller().purchase(PurchaseTests.this.key, ITEM).join();
			assertThat(response.join().isSuccessful()).isTrue();
			assertThat(repeat.isSuccessful() || repeat.isRejectedNotRun() || repeat.isOutcomeUnknown()).isTrue();
			assertThat(runCount()).isEqualTo(1);
		}

		@Test
		void afterTheFirstAttemptEndedGetTheSameResponse() {
			Response response = firstCaller().purchase(PurchaseTests.this.key, ITEM).join();
			Response repeat = secondCaller().purchase(PurchaseTests.this.key, ITEM).join();
			assertThat(response.isSuccessful()).isTrue();
			assertThat(repeat.body()).isEqualTo(response.body());
			assertThat(runCount()).isEqualTo(1);
		}

		@Test
		void afterTheAgentDiedAndWasReplacedAreNotReportedAsNotRun() {
			delayRuns(3_600_000);
			CompletableFuture<Response> response = startPurchase();
			keyIssuer().process().kill();
			keyIssuer().restart();
			keyIssuer().awaitReady();
			Response repeat = secondCaller().purchase(PurchaseTests.this.key, ITEM).join();
			assertThat(response.join().isSuccessful()).isFalse();
			assertThat(response.join().isRejectedNotRun()).isFalse();
			assertThat(repeat.isSuccessful()).isFalse();
			assertThat(runCount()).isEqualTo(1);
		}

		@Test
		void duringAPartitionRunAtMostOnce() {
			delayRuns(500);
			CompletableFuture<Response> response = startPurchase();
			keyIssuer().proxy().configure("--blackhole", "true");
			Response repeat = secondCaller().purchase(PurchaseTests.this.key, ITEM).join();
			keyIssuer().proxy().configure("--blackhole", "false");
			Response laterRepeat = PurchaseTests.this.fleet.callers()
				.get(1)
				.purchase(PurchaseTests.this.key, ITEM)
				.join();
			assertThat(runCount()).isEqualTo(1);
			assertThat(repeat.isSuccessful()).isFalse();
			assertThat(laterRepeat.isSuccessful() || laterRepeat.isRejectedNotRun()).isTrue();
			response.join();
		}

	}

	@Nested
	class Outcomes {

		@Test
		void areUnknownIfTheServiceFailsAfterTheRun() {
			PurchaseTests.this.fleet.shops().forEach((shop) -> shop.configure("--die-after-run", "true"));
			Response response = firstCaller().purchase(PurchaseTests.this.key, ITEM).join();
			assertThat(response.isOutcomeUnknown()).isTrue();
			PurchaseTests.this.fleet.shops().forEach((shop) -> shop.configure("--die-after-run", "false"));
			Response repeat = secondCaller().purchase(PurchaseTests.this.key, ITEM).join();
			assertThat(repeat.isSuccessful()).isFalse();
			assertThat(repeat.isRejectedNotRun()).isFalse();
			assertThat(runCount()).isEqualTo(1);
		}

		@Test
		void arePreservedWhenAConnectionGoesSilent() {
			delayRuns(1500);
			CompletableFuture<Response> response = startPurchase();
			keyIssuer().proxy().silenceConnections();
			assertThat(response.join().isRejectedNotRun()).isFalse();
			Awaitility.await("response over a new connection")
				.atMost(ChildProcess.TIMEOUT)
				.until(() -> secondCaller().purchase(PurchaseTests.this.key, ITEM).join().isSuccessful());
			assertThat(runCount()).isEqualTo(1);
		}

	}

	// The frames are delayed for more than the 10 s that an attempt may take to reach an
	// agent.
	@Nested
	class DelayedFrames {

		@Test
		void heldByTheNetworkDoNotStartARunLate() throws Exception {
			keyIssuer().proxy().configure("--hold", "true");
			CompletableFuture<Response> response = firstCaller().purchase(PurchaseTests.this.key, ITEM);
			TimeUnit.SECONDS.sleep(15);
			keyIssuer().proxy().configure("--hold", "false");
			Response result = response.join();
			TimeUnit.SECONDS.sleep(1);
			assertThat(runCount()).isEqualTo(result.isSuccessful() ? 1 : 0);
		}

		@Test
		void ofAFrozenEntryRunAtMostOnce() throws Exception {
			delayRuns(200);
			Member entry = PurchaseTests.this.fleet.entries().get(0);
			CompletableFuture<Response> response = firstCaller().purchase(PurchaseTests.this.key, ITEM);
			entry.process().freeze();
			Response repeat = secondCaller().purchase(PurchaseTests.this.key, ITEM).join();
			TimeUnit.SECONDS.sleep(12);
			entry.process().thaw();
			response.join();
			assertThat(runCount()).isLessThanOrEqualTo(1);
			assertThat(repeat.isSuccessful() || runCount() <= 1).isTrue();
		}

		@Test
		void toAFrozenAgentRunAtMostOnce() throws Exception {
			keyIssuer().process().freeze();
			CompletableFuture<Response> response = firstCaller().purchase(PurchaseTests.this.key, ITEM);
			TimeUnit.SECONDS.sleep(12);
			keyIssuer().process().thaw();
			Response result = response.join();
			TimeUnit.SECONDS.sleep(1);
			assertThat(runCount()).isLessThanOrEqualTo(1);
			assertThat(result.isRejectedNotRun() && runCount() > 0).isFalse();
		}

	}

}
