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

import org.catkingate.standins.plain.PlainService;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a non-idempotent call with an idempotency key runs at most once, as counted
 * by the plain service.
 */
class IdempotencyKeyTests {

	private static final int NOT_RUN_STATUS = 503;

	private static final int OUTCOME_UNKNOWN_STATUS = 502;

	private static final int CREATED_STATUS = 201;

	private final HttpClient client = HttpClient.newHttpClient();

	private final List<IdempotencyKeyFleet.Agent> agents = new ArrayList<>();

	private IdempotencyKeyFleet fleet;

	private IdempotencyKeyFleet.Entry firstEntry;

	private IdempotencyKeyFleet.Entry secondEntry;

	private PlainService plain;

	@BeforeEach
	void start() throws Exception {
		this.plain = PlainService.start("--delay-ms", "300");
		this.fleet = new IdempotencyKeyFleet(3);
		this.firstEntry = this.fleet.startEntry("entry-1");
		this.secondEntry = this.fleet.startEntry("entry-2");
		for (String name : List.of("ahd-1", "ahd-2", "ahd-3")) {
			this.agents.add(this.fleet.startAgent(name, this.plain.address()));
		}
		this.fleet.connect(List.of(this.firstEntry, this.secondEntry), this.agents);
	}

	@AfterEach
	void close() {
		this.fleet.close();
		this.plain.close();
	}

	private void advanceClockPastRetention() {
		this.fleet.advanceClockPastRetention();
		this.fleet.exchangeStatements(this.agents);
	}

	private CompletableFuture<HttpResponse<String>> send(HttpRequest request) {
		return this.client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
	}

	private HttpResponse<String> purchase(IdempotencyKeyFleet.Entry entry, String key) throws Exception {
		return send(IdempotencyKeyFleet.purchaseRequest(entry, key)).get(20, TimeUnit.SECONDS);
	}

	private String issuedKey(IdempotencyKeyFleet.Entry entry) throws Exception {
		HttpResponse<String> response = send(IdempotencyKeyFleet.keyRequest(entry)).get(20, TimeUnit.SECONDS);
		assertThat(response.statusCode()).as(response.body()).isEqualTo(CREATED_STATUS);
		return response.body().replaceAll(".*\"key\":\"([^\"]*)\".*", "$1");
	}

	private void awaitRun(String key) {
		Awaitility.await().atMost(LocalFleet.TIMEOUT).until(() -> this.plain.runCount(key) == 1);
	}

	private IdempotencyKeyFleet.Agent homeOf(String key) {
		return this.agents.stream().filter((agent) -> agent.isHomeOf(key)).findFirst().orElseThrow();
	}

	@Test
	void aRepeatAtAnotherEntryGetsTheSameResponse() throws Exception {
		advanceClockPastRetention();
		HttpResponse<String> response = purchase(this.firstEntry, "k");
		assertThat(response.statusCode()).as(response.body()).isEqualTo(CREATED_STATUS);
		HttpResponse<String> repeat = purchase(this.secondEntry, "k");
		assertThat(repeat.statusCode()).isEqualTo(CREATED_STATUS);
		assertThat(repeat.body()).isEqualTo(response.body());
		assertThat(this.plain.runCount("k")).isEqualTo(1);
	}

	@Test
	void aRepeatAtAnotherEntryWhileTheFirstAttemptIsInProgressHasAnUnknownOutcome() throws Exception {
		advanceClockPastRetention();
		CompletableFuture<HttpResponse<String>> response = send(
				IdempotencyKeyFleet.purchaseRequest(this.firstEntry, "k"));
		Awaitility.await().atMost(LocalFleet.TIMEOUT).until(() -> homeOf("k").isBusy());
		HttpResponse<String> repeat = purchase(this.secondEntry, "k");
		assertThat(repeat.statusCode()).isEqualTo(OUTCOME_UNKNOWN_STATUS);
		assertThat(repeat.headers().firstValue("Retry-After")).isPresent();
		assertThat(response.get(20, TimeUnit.SECONDS).statusCode()).isEqualTo(CREATED_STATUS);
		assertThat(this.plain.runCount("k")).isEqualTo(1);
	}

	@Test
	void aRetryAfterTheAgentDiedIsNotRunElsewhere() throws Exception {
		advanceClockPastRetention();
		purchase(this.firstEntry, "k");
		homeOf("k").kill();
		// the outcome is unknown until the entry has noticed that the agent is dead
		Awaitility.await().atMost(LocalFleet.TIMEOUT).until(() -> {
			int status = purchase(this.secondEntry, "k").statusCode();
			assertThat(status).isIn(OUTCOME_UNKNOWN_STATUS, NOT_RUN_STATUS);
			return status == NOT_RUN_STATUS;
		});
		assertThat(this.plain.runCount("k")).isEqualTo(1);
	}

	@Test
	void aRepeatAfterTheReplacementStartedIsNotRunWithinTheWindow() throws Exception {
		advanceClockPastRetention();
		purchase(this.firstEntry, "k");
		IdempotencyKeyFleet.Agent previous = homeOf("k");
		previous.kill();
		this.agents.remove(previous);
		this.agents.add(this.fleet.startAgent("ahd-4", this.plain.address()));
		this.fleet.connect(List.of(this.firstEntry, this.secondEntry), this.agents);
		for (long elapsedMillis = 0; elapsedMillis < IdempotencyKeyFleet.REPEAT_WINDOW_MILLIS; elapsedMillis += 20_000) {
			this.fleet.exchangeStatements(this.agents);
			assertThat(purchase(this.secondEntry, "k").statusCode()).isEqualTo(NOT_RUN_STATUS);
			this.fleet.advanceClock(20_000);
		}
		assertThat(this.plain.runCount("k")).isEqualTo(1);
	}

	@Test
	void aKeyRunsAtTheReplacementAfterTheRetentionTime() throws Exception {
		advanceClockPastRetention();
		IdempotencyKeyFleet.Agent previous = homeOf("k");
		previous.kill();
		this.agents.remove(previous);
		this.agents.add(this.fleet.startAgent("ahd-4", this.plain.address()));
		this.fleet.connect(List.of(this.firstEntry, this.secondEntry), this.agents);
		this.fleet.advanceClock(1);
		advanceClockPastRetention();
		assertThat(purchase(this.secondEntry, "k").statusCode()).isEqualTo(CREATED_STATUS);
	}

	@Test
	void inAPartitionWithBothSidesServingTheKeyRunsOnOneSideOnly() throws Exception {
		advanceClockPastRetention();
		IdempotencyKeyFleet.Agent home = homeOf("k");
		purchase(this.firstEntry, "k");
		List<IdempotencyKeyFleet.Agent> others = new ArrayList<>(this.agents);
		others.remove(home);
		this.fleet.connect(List.of(this.secondEntry), others);
		this.fleet.connect(List.of(this.firstEntry), List.of(home));
		for (long elapsedMillis = 0; elapsedMillis < IdempotencyKeyFleet.REPEAT_WINDOW_MILLIS; elapsedMillis += 20_000) {
			this.fleet.exchangeStatements(others);
			purchase(this.firstEntry, "k");
			purchase(this.secondEntry, "k");
			this.fleet.advanceClock(20_000);
		}
		assertThat(this.plain.runCount("k")).isEqualTo(1);
	}

	@Test
	void anEntryWithAStaleListDoesNotRunTheKeyElsewhere() throws Exception {
		advanceClockPastRetention();
		purchase(this.firstEntry, "k");
		IdempotencyKeyFleet.Agent home = homeOf("k");
		List<IdempotencyKeyFleet.Agent> stale = new ArrayList<>(this.agents);
		stale.remove(home);
		this.secondEntry.setFleet(stale);
		assertThat(purchase(this.secondEntry, "k").statusCode()).isEqualTo(NOT_RUN_STATUS);
		assertThat(this.plain.runCount("k")).isEqualTo(1);
	}

	@Test
	void aCallWhoseRunnerDiedAfterItRanIsNotRunAgain() throws Exception {
		advanceClockPastRetention();
		this.plain.configure("--die-after-run", "true");
		assertThat(purchase(this.firstEntry, "k").statusCode()).isEqualTo(OUTCOME_UNKNOWN_STATUS);
		this.plain.configure("--die-after-run", "false");
		assertThat(purchase(this.secondEntry, "k").statusCode()).isEqualTo(OUTCOME_UNKNOWN_STATUS);
		assertThat(this.plain.runCount("k")).isEqualTo(1);
	}

	@Test
	void aCallWhoseCallerDisconnectedRunsToItsEndForTheRetry() throws Exception {
		advanceClockPastRetention();
		CompletableFuture<HttpResponse<String>> disconnected = send(
				IdempotencyKeyFleet.purchaseRequest(this.firstEntry, "k"));
		Awaitility.await().atMost(LocalFleet.TIMEOUT).until(() -> homeOf("k").isBusy());
		disconnected.cancel(true);
		awaitRun("k");
		Awaitility.await()
			.atMost(LocalFleet.TIMEOUT)
			.until(() -> purchase(this.secondEntry, "k").statusCode() == CREATED_STATUS);
		assertThat(this.plain.runCount("k")).isEqualTo(1);
	}

	@Test
	void aNewFleetRejectsKeysOfCallersAndRunsIssuedOnes() throws Exception {
		HttpResponse<String> rejection = purchase(this.firstEntry, "k");
		assertThat(rejection.statusCode()).isEqualTo(NOT_RUN_STATUS);
		assertThat(rejection.headers().firstValue("Retry-After")).isPresent();
		String key = issuedKey(this.firstEntry);
		assertThat(purchase(this.firstEntry, key).statusCode()).isEqualTo(CREATED_STATUS);
		assertThat(purchase(this.secondEntry, key).statusCode()).isEqualTo(CREATED_STATUS);
		assertThat(this.plain.runCount(key)).isEqualTo(1);
		assertThat(this.plain.runCount("k")).isZero();
	}

	@Test
	void anIssuedKeyOfAnAgentThatWasReplacedHasAnUnknownOutcome() throws Exception {
		String key = issuedKey(this.firstEntry);
		purchase(this.firstEntry, key);
		IdempotencyKeyFleet.Agent issuer = this.agents.stream()
			.filter((agent) -> agent.hasIssued(key))
			.findFirst()
			.orElseThrow();
		issuer.kill();
		this.agents.remove(issuer);
		this.agents.add(this.fleet.startAgent(issuer.name(), this.plain.address()));
		this.fleet.connect(List.of(this.secondEntry), this.agents);
		assertThat(purchase(this.secondEntry, key).statusCode()).isEqualTo(OUTCOME_UNKNOWN_STATUS);
		assertThat(this.plain.runCount(key)).isEqualTo(1);
	}

}
