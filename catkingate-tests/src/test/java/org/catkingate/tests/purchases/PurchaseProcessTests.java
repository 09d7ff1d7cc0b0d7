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

import org.catkingate.standins.plain.Plain;
import org.catkingate.standins.weights.GeneratedWeights;
import org.catkingate.tests.harness.Answer;
import org.catkingate.tests.harness.Caller;
import org.catkingate.tests.harness.ChildProcess;
import org.catkingate.tests.harness.Fleet;
import org.catkingate.tests.harness.Member;
import org.catkingate.tests.harness.Published;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that purchases run at most once on whole processes, as the plain service counts
 * them.
 */
class PurchaseProcessTests {

	private static final int SHOPS = 3;

	private Fleet fleet;

	private Plain shop;

	private List<Member> agents;

	private Member firstEntry;

	private Caller first;

	private Caller second;

	@BeforeEach
	void start(@TempDir Path directory) throws Exception {
		this.fleet = Fleet.in(directory);
		this.shop = this.fleet.owned(Plain.start("--delay-ms", "400"));
		GeneratedWeights weights = GeneratedWeights
			.of(new GeneratedWeights.Shape("lyrics", "1", 1, 0, 2, 100_000, 65_536));
		this.fleet.publish(Published.parts(SHOPS, weights));
		InetSocketAddress runner = this.shop.address();
		this.agents = List.of(this.fleet.agent("shop-1", "shop", "shop", runner),
				this.fleet.agent("shop-2", "shop", "shop", runner), this.fleet.agent("shop-3", "shop", "shop", runner));
		this.firstEntry = this.fleet.entry("entry-1");
		Member secondEntry = this.fleet.entry("entry-2");
		this.first = Caller.of(this.firstEntry, Published.KEY);
		this.second = Caller.of(secondEntry, Published.KEY);
		this.firstEntry.awaitReady();
		secondEntry.awaitReady();
	}

	@AfterEach
	void close() {
		this.fleet.close();
	}

	private String issuedKey(Caller caller) {
		return Awaitility.await("a key is issued")
			.atMost(ChildProcess.PATIENCE)
			.ignoreExceptions()
			.until(() -> caller.issuedKey().get(5, TimeUnit.SECONDS).orElse(null), (key) -> key != null);
	}

	private static Answer buy(Caller caller, String key) throws Exception {
		return caller.purchase(key, "licence").get(60, TimeUnit.SECONDS);
	}

	private Answer buyUntilWhole(Caller caller, String key) {
		return Awaitility.await("the purchase has an answer")
			.atMost(ChildProcess.PATIENCE)
			.ignoreExceptions()
			.until(() -> buy(caller, key), Answer::isWhole);
	}

	private Member issuerOf(String key) {
		return this.agents.stream()
			.filter((agent) -> key.contains("~" + agent.instance() + "~"))
			.findFirst()
			.orElseThrow();
	}

	@Test
	void aRepeatAtAnotherEntryGetsTheSameAnswer() {
		String key = issuedKey(this.first);
		Answer answer = buyUntilWhole(this.first, key);
		assertThat(buyUntilWhole(this.second, key).body()).isEqualTo(answer.body());
		assertThat(this.shop.runsOf(key)).isEqualTo(1);
	}

	@Test
	void aRepeatWhileTheFirstIsInProgressDoesNotRun() throws Exception {
		String key = issuedKey(this.first);
		buyUntilWhole(this.second, issuedKey(this.second));
		CompletableFuture<Answer> answer = this.first.purchase(key, "licence");
		Answer repeat = buy(this.second, key);
		assertThat(answer.get(60, TimeUnit.SECONDS).isWhole() || repeat.isWhole()).isTrue();
		assertThat(buyUntilWhole(this.second, key).isWhole()).isTrue();
		assertThat(this.shop.runsOf(key)).isEqualTo(1);
	}

	@Test
	void aRepeatAfterTheAgentWasKilledAndRestartedDoesNotRun() throws Exception {
		String key = issuedKey(this.first);
		buyUntilWhole(this.first, key);
		Member issuer = issuerOf(key);
		issuer.process().kill();
		assertThat(buy(this.second, key).isWhole()).isFalse();
		issuer.restart();
		Awaitility.await("the restarted agent is met")
			.atMost(ChildProcess.PATIENCE)
			.until(() -> buy(this.second, key).isOutcomeUnknown());
		assertThat(this.shop.runsOf(key)).isEqualTo(1);
	}

	@Test
	void aCallThatAPausedEntryHeldDoesNotRunTwice() throws Exception {
		String key = issuedKey(this.first);
		buyUntilWhole(this.second, issuedKey(this.second));
		this.firstEntry.process().freeze();
		CompletableFuture<Answer> held = this.first.purchase(key, "licence");
		buyUntilWhole(this.second, key);
		TimeUnit.MILLISECONDS.sleep(2500);
		this.firstEntry.process().thaw();
		Answer late = held.get(60, TimeUnit.SECONDS);
		assertThat(late.isWhole() || late.isRefusedNotRun()).as(late.toString()).isTrue();
		assertThat(this.shop.runsOf(key)).isEqualTo(1);
	}

	@Test
	void aPausedAgentDoesNotRunACallAgainWhenItWakes() throws Exception {
		String key = issuedKey(this.first);
		buyUntilWhole(this.first, key);
		Member issuer = issuerOf(key);
		issuer.process().freeze();
		CompletableFuture<Answer> repeat = this.second.purchase(key, "licence");
		TimeUnit.MILLISECONDS.sleep(4000);
		issuer.process().thaw();
		repeat.get(70, TimeUnit.SECONDS);
		assertThat(buyUntilWhole(this.first, key).isWhole()).isTrue();
		assertThat(this.shop.runsOf(key)).isEqualTo(1);
	}

	@Test
	void aFreshFleetRefusesKeysOfCallersAsNotRun() throws Exception {
		buyUntilWhole(this.first, issuedKey(this.first));
		Answer refusal = buy(this.first, "own-key");
		assertThat(refusal.isRefusedNotRun()).as(refusal.toString()).isTrue();
		assertThat(refusal.retryAfter()).isPresent();
		assertThat(this.shop.runsOf("own-key")).isZero();
	}

	@Test
	void aCallThatRanBeforeItsConnectionFellSilentIsNotRunAgain() throws Exception {
		String key = issuedKey(this.first);
		buyUntilWhole(this.second, issuedKey(this.second));
		CompletableFuture<Answer> answer = this.first.purchase(key, "licence");
		issuerOf(key).proxy().silence();
		answer.get(70, TimeUnit.SECONDS);
		buyUntilWhole(this.second, key);
		assertThat(this.shop.runsOf(key)).isEqualTo(1);
	}

}
