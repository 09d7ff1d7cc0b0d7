package org.catkingate.tests.purchases;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.catkingate.standins.plain.PlainService;
import org.catkingate.standins.weights.GeneratedWeights;
import org.catkingate.tests.harness.Caller;
import org.catkingate.tests.harness.ChildProcess;
import org.catkingate.tests.harness.FleetProcesses;
import org.catkingate.tests.harness.Member;
import org.catkingate.tests.harness.Response;
import org.catkingate.tests.harness.TestConfiguration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests with real processes that a purchase runs at most once, as counted by the plain
 * service. All agents share one service.
 */
class PurchaseProcessTests {

	private static final int AGENT_COUNT = 3;

	private FleetProcesses fleet;

	private PlainService shop;

	private List<Member> agents;

	private Member firstEntry;

	private Caller firstCaller;

	private Caller secondCaller;

	@BeforeEach
	void start(@TempDir Path directory) throws Exception {
		this.fleet = FleetProcesses.create(directory);
		this.shop = this.fleet.register(PlainService.start("--delay-ms", "400"));
		GeneratedWeights weights = GeneratedWeights
			.of(new GeneratedWeights.Specification("lyrics", "1", 1, 0, 2, 100_000, 65_536));
		this.fleet.publish(TestConfiguration.parts(AGENT_COUNT, weights));
		InetSocketAddress runner = this.shop.address();
		this.agents = List.of(this.fleet.startAgent("shop-1", "shop", "shop", runner),
				this.fleet.startAgent("shop-2", "shop", "shop", runner),
				this.fleet.startAgent("shop-3", "shop", "shop", runner));
		this.firstEntry = this.fleet.startEntry("entry-1");
		Member secondEntry = this.fleet.startEntry("entry-2");
		this.firstCaller = Caller.of(this.firstEntry, TestConfiguration.API_KEY);
		this.secondCaller = Caller.of(secondEntry, TestConfiguration.API_KEY);
		this.firstEntry.awaitReady();
		secondEntry.awaitReady();
	}

	@AfterEach
	void close() {
		this.fleet.close();
	}

	private String issuedKey(Caller caller) {
		return Awaitility.await("key issued")
			.atMost(ChildProcess.TIMEOUT)
			.ignoreExceptions()
			.until(() -> caller.requestIdempotencyKey().get(5, TimeUnit.SECONDS).orElse(null), (key) -> key != null);
	}

	private static Response purchase(Caller caller, String key) throws Exception {
		return caller.purchase(key, "licence").get(60, TimeUnit.SECONDS);
	}

	private Response purchaseUntilSuccessful(Caller caller, String key) {
		return Awaitility.await("purchase successful")
			.atMost(ChildProcess.TIMEOUT)
			.ignoreExceptions()
			.until(() -> purchase(caller, key), Response::isSuccessful);
	}

	private Member issuerOf(String key) {
		return this.agents.stream()
			.filter((agent) -> key.contains("~" + agent.instance() + "~"))
			.findFirst()
			.orElseThrow();
	}

	@Test
	void aRepeatAtAnotherEntryGetsTheSameResponse() {
		String key = issuedKey(this.firstCaller);
		Response response = purchaseUntilSuccessful(this.firstCaller, key);
		assertThat(purchaseUntilSuccessful(this.secondCaller, key).body()).isEqualTo(response.body());
		assertThat(this.shop.runCount(key)).isEqualTo(1);
	}

	@Test
	void aRepeatWhileTheFirstAttemptIsInProgressDoesNotRun() throws Exception {
		String key = issuedKey(this.firstCaller);
		purchaseUntilSuccessful(this.secondCaller, issuedKey(this.secondCaller));
		CompletableFuture<Response> response = this.firstCaller.purchase(key, "licence");
		Response repeat = purchase(this.secondCaller, key);
		assertThat(response.get(60, TimeUnit.SECONDS).isSuccessful() || repeat.isSuccessful()).isTrue();
		assertThat(purchaseUntilSuccessful(this.secondCaller, key).isSuccessful()).isTrue();
		assertThat(this.shop.runCount(key)).isEqualTo(1);
	}

	@Test
	void aRepeatAfterTheAgentWasKilledAndRestartedDoesNotRun() throws Exception {
		String key = issuedKey(this.firstCaller);
		purchaseUntilSuccessful(this.firstCaller, key);
		Member issuer = issuerOf(key);
		issuer.process().kill();
		assertThat(purchase(this.secondCaller, key).isSuccessful()).isFalse();
		issuer.restart();
		Awaitility.await("restarted agent reports an unknown outcome")
			.atMost(ChildProcess.TIMEOUT)
			.until(() -> purchase(this.secondCaller, key).isOutcomeUnknown());
		assertThat(this.shop.runCount(key)).isEqualTo(1);
	}

	@Test
	void aCallDelayedByAFrozenEntryDoesNotRunTwice() throws Exception {
		String key = issuedKey(this.firstCaller);
		purchaseUntilSuccessful(this.secondCaller, issuedKey(this.secondCaller));
		this.firstEntry.process().freeze();
		CompletableFuture<Response> pending = this.firstCaller.purchase(key, "licence");
		purchaseUntilSuccessful(this.secondCaller, key);
		TimeUnit.MILLISECONDS.sleep(2500);
		this.firstEntry.process().thaw();
		Response response = pending.get(60, TimeUnit.SECONDS);
		assertThat(response.isSuccessful() || response.isRejectedNotRun()).as(response.toString()).isTrue();
		assertThat(this.shop.runCount(key)).isEqualTo(1);
	}

	@Test
	void aFrozenAgentDoesNotRunACallAgainWhenItResumes() throws Exception {
		String key = issuedKey(this.firstCaller);
		purchaseUntilSuccessful(this.firstCaller, key);
		Member issuer = issuerOf(key);
		issuer.process().freeze();
		CompletableFuture<Response> repeat = this.secondCaller.purchase(key, "licence");
		TimeUnit.MILLISECONDS.sleep(4000);
		issuer.process().thaw();
		repeat.get(70, TimeUnit.SECONDS);
		assertThat(purchaseUntilSuccessful(this.firstCaller, key).isSuccessful()).isTrue();
		assertThat(this.shop.runCount(key)).isEqualTo(1);
	}

	@Test
	void aNewFleetRejectsKeysOfCallersAsNotRun() throws Exception {
		purchaseUntilSuccessful(this.firstCaller, issuedKey(this.firstCaller));
		Response rejection = purchase(this.firstCaller, "own-key");
		assertThat(rejection.isRejectedNotRun()).as(rejection.toString()).isTrue();
		assertThat(rejection.retryAfter()).isPresent();
		assertThat(this.shop.runCount("own-key")).isZero();
	}

	@Test
	void aCallThatRanBeforeItsConnectionWentSilentIsNotRunAgain() throws Exception {
		String key = issuedKey(this.firstCaller);
		purchaseUntilSuccessful(this.secondCaller, issuedKey(this.secondCaller));
		CompletableFuture<Response> response = this.firstCaller.purchase(key, "licence");
		issuerOf(key).proxy().silenceConnections();
		response.get(70, TimeUnit.SECONDS);
		purchaseUntilSuccessful(this.secondCaller, key);
		assertThat(this.shop.runCount(key)).isEqualTo(1);
	}

}
