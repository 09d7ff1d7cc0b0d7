package org.catkingate.tests.requests;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.catkingate.standins.plain.Plain;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a non-idempotent call with a key runs at most once, as the plain service
 * counts it.
 */
class PurchaseTests {

	private static final int NOT_RUN = 503;

	private static final int UNKNOWN = 502;

	private static final int CREATED = 201;

	private final HttpClient client = HttpClient.newHttpClient();

	private final List<KeyedFleet.Agent> agents = new ArrayList<>();

	private KeyedFleet fleet;

	private KeyedFleet.Entry first;

	private KeyedFleet.Entry second;

	private Plain plain;

	@BeforeEach
	void start() throws Exception {
		this.plain = Plain.start("--delay-ms", "300");
		this.fleet = new KeyedFleet(3);
		this.first = this.fleet.entry("entry-1");
		this.second = this.fleet.entry("entry-2");
		for (String name : List.of("ahd-1", "ahd-2", "ahd-3")) {
			this.agents.add(this.fleet.agent(name, this.plain.address()));
		}
		this.fleet.connect(List.of(this.first, this.second), this.agents);
	}

	@AfterEach
	void close() {
		this.fleet.close();
		this.plain.close();
	}

	private void growOld() {
		this.fleet.passTheWait();
		this.fleet.agree(this.agents);
	}

	private CompletableFuture<HttpResponse<String>> send(HttpRequest request) {
		return this.client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
	}

	private HttpResponse<String> buy(KeyedFleet.Entry entry, String key) throws Exception {
		return send(KeyedFleet.purchase(entry, key)).get(20, TimeUnit.SECONDS);
	}

	private String issuedKey(KeyedFleet.Entry entry) throws Exception {
		HttpResponse<String> answer = send(KeyedFleet.issue(entry)).get(20, TimeUnit.SECONDS);
		assertThat(answer.statusCode()).as(answer.body()).isEqualTo(CREATED);
		return answer.body().replaceAll(".*\"key\":\"([^\"]*)\".*", "$1");
	}

	private void awaitRun(String key) {
		Awaitility.await().atMost(LocalFleet.PATIENCE).until(() -> this.plain.runsOf(key) == 1);
	}

	private KeyedFleet.Agent homeOf(String key) {
		return this.agents.stream().filter((agent) -> agent.isHomeOf(key)).findFirst().orElseThrow();
	}

	@Test
	void aRepeatAtAnotherEntryGetsTheSameAnswer() throws Exception {
		growOld();
		HttpResponse<String> answer = buy(this.first, "k");
		assertThat(answer.statusCode()).as(answer.body()).isEqualTo(CREATED);
		HttpResponse<String> repeat = buy(this.second, "k");
		assertThat(repeat.statusCode()).isEqualTo(CREATED);
		assertThat(repeat.body()).isEqualTo(answer.body());
		assertThat(this.plain.runsOf("k")).isEqualTo(1);
	}

	@Test
	void aRepeatAtAnotherEntryWhileTheFirstIsInProgressIsToldSo() throws Exception {
		growOld();
		CompletableFuture<HttpResponse<String>> answer = send(KeyedFleet.purchase(this.first, "k"));
		Awaitility.await().atMost(LocalFleet.PATIENCE).until(() -> homeOf("k").isBusy());
		HttpResponse<String> repeat = buy(this.second, "k");
		assertThat(repeat.statusCode()).isEqualTo(UNKNOWN);
		assertThat(repeat.headers().firstValue("Retry-After")).isPresent();
		assertThat(answer.get(20, TimeUnit.SECONDS).statusCode()).isEqualTo(CREATED);
		assertThat(this.plain.runsOf("k")).isEqualTo(1);
	}

	@Test
	void aRepeatAfterTheAgentDiedIsNotRunElsewhere() throws Exception {
		growOld();
		buy(this.first, "k");
		homeOf("k").kill();
		assertThat(buy(this.second, "k").statusCode()).isEqualTo(NOT_RUN);
		assertThat(this.plain.runsOf("k")).isEqualTo(1);
	}

	@Test
	void aRepeatAfterTheReplacementStartedIsNotRunWithinTheWindow() throws Exception {
		growOld();
		buy(this.first, "k");
		KeyedFleet.Agent former = homeOf("k");
		former.kill();
		this.agents.remove(former);
		this.agents.add(this.fleet.agent("ahd-4", this.plain.address()));
		this.fleet.connect(List.of(this.first, this.second), this.agents);
		for (long passed = 0; passed < KeyedFleet.WINDOW_MILLIS; passed += 20_000) {
			this.fleet.agree(this.agents);
			assertThat(buy(this.second, "k").statusCode()).isEqualTo(NOT_RUN);
			this.fleet.pass(20_000);
		}
		assertThat(this.plain.runsOf("k")).isEqualTo(1);
	}

	@Test
	void aKeyRunsAtTheReplacementAfterTheWait() throws Exception {
		growOld();
		KeyedFleet.Agent former = homeOf("k");
		former.kill();
		this.agents.remove(former);
		this.agents.add(this.fleet.agent("ahd-4", this.plain.address()));
		this.fleet.connect(List.of(this.first, this.second), this.agents);
		this.fleet.pass(1);
		growOld();
		assertThat(buy(this.second, "k").statusCode()).isEqualTo(CREATED);
	}

	@Test
	void inAPartitionWithBothSidesServingTheKeyRunsOnOneSideAtMost() throws Exception {
		growOld();
		KeyedFleet.Agent home = homeOf("k");
		buy(this.first, "k");
		List<KeyedFleet.Agent> others = new ArrayList<>(this.agents);
		others.remove(home);
		this.fleet.connect(List.of(this.second), others);
		this.fleet.connect(List.of(this.first), List.of(home));
		for (long passed = 0; passed < KeyedFleet.WINDOW_MILLIS; passed += 20_000) {
			this.fleet.agree(others);
			buy(this.first, "k");
			buy(this.second, "k");
			this.fleet.pass(20_000);
		}
		assertThat(this.plain.runsOf("k")).isEqualTo(1);
	}

	@Test
	void anEntryWithAStaleListDoesNotRunTheKeyElsewhere() throws Exception {
		growOld();
		buy(this.first, "k");
		KeyedFleet.Agent home = homeOf("k");
		List<KeyedFleet.Agent> stale = new ArrayList<>(this.agents);
		stale.remove(home);
		this.second.see(stale);
		assertThat(buy(this.second, "k").statusCode()).isEqualTo(NOT_RUN);
		assertThat(this.plain.runsOf("k")).isEqualTo(1);
	}

	@Test
	void aCallWhoseRunnerDiedAfterItRanIsNotRunAgain() throws Exception {
		growOld();
		this.plain.configure("--die-after-run", "true");
		assertThat(buy(this.first, "k").statusCode()).isEqualTo(UNKNOWN);
		this.plain.configure("--die-after-run", "false");
		assertThat(buy(this.second, "k").statusCode()).isEqualTo(UNKNOWN);
		assertThat(this.plain.runsOf("k")).isEqualTo(1);
	}

	@Test
	void aCallWhoseCallerLeftRunsToItsEndForTheRepeat() throws Exception {
		growOld();
		CompletableFuture<HttpResponse<String>> left = send(KeyedFleet.purchase(this.first, "k"));
		Awaitility.await().atMost(LocalFleet.PATIENCE).until(() -> homeOf("k").isBusy());
		left.cancel(true);
		awaitRun("k");
		Awaitility.await().atMost(LocalFleet.PATIENCE).until(() -> buy(this.second, "k").statusCode() == CREATED);
		assertThat(this.plain.runsOf("k")).isEqualTo(1);
	}

	@Test
	void aFreshFleetRefusesCallersKeysAndRunsIssuedOnes() throws Exception {
		HttpResponse<String> refusal = buy(this.first, "k");
		assertThat(refusal.statusCode()).isEqualTo(NOT_RUN);
		assertThat(refusal.headers().firstValue("Retry-After")).isPresent();
		String key = issuedKey(this.first);
		assertThat(buy(this.first, key).statusCode()).isEqualTo(CREATED);
		assertThat(buy(this.second, key).statusCode()).isEqualTo(CREATED);
		assertThat(this.plain.runsOf(key)).isEqualTo(1);
		assertThat(this.plain.runsOf("k")).isZero();
	}

	@Test
	void anIssuedKeyOfAnAgentThatWasReplacedHasAnUnknownOutcome() throws Exception {
		String key = issuedKey(this.first);
		buy(this.first, key);
		KeyedFleet.Agent issuer = this.agents.stream()
			.filter((agent) -> agent.hasIssued(key))
			.findFirst()
			.orElseThrow();
		issuer.kill();
		this.agents.remove(issuer);
		this.agents.add(this.fleet.agent(issuer.name(), this.plain.address()));
		this.fleet.connect(List.of(this.second), this.agents);
		assertThat(buy(this.second, key).statusCode()).isEqualTo(UNKNOWN);
		assertThat(this.plain.runsOf(key)).isEqualTo(1);
	}

}
