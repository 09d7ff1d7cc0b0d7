package org.catkingate.tests.requests;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.catkingate.standins.engine.Engine;
import org.catkingate.standins.plain.PlainService;
import org.catkingate.standins.proxy.FaultInjectingProxy;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that responses survive the loss of the connection between entry and agent.
 */
class LostConnectionTests {

	private static final int TOKENS = 400;

	private final HttpClient client = HttpClient.newHttpClient();

	private LocalFleet fleet;

	private Engine engine;

	private PlainService plain;

	private FaultInjectingProxy proxy;

	@BeforeEach
	void start() throws IOException {
		this.fleet = LocalFleet.start();
		this.engine = EngineFixtures.startEngine("--token-micros", "2000");
		this.plain = PlainService.start("--delay-ms", "500");
	}

	@AfterEach
	void close() {
		this.fleet.close();
		this.engine.close();
		this.plain.close();
		if (this.proxy != null) {
			this.proxy.close();
		}
	}

	private void connectThroughProxy(LocalAgent agent) {
		this.proxy = FaultInjectingProxy.start("--target", "127.0.0.1:" + agent.address().getPort());
		this.fleet.connect(agent, this.proxy.address());
	}

	private CompletableFuture<HttpResponse<String>> send(HttpRequest request) {
		return this.client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
	}

	private void awaitInProgress(LocalAgent agent) {
		Awaitility.await().atMost(LocalFleet.TIMEOUT).until(() -> agent.gate().inProgress() > 0);
	}

	private void sleepBriefly() throws InterruptedException {
		TimeUnit.MILLISECONDS.sleep(150);
	}

	@Test
	void aResponseContinuesOverANewConnectionAfterAReset() throws Exception {
		LocalAgent agent = this.fleet.addEngine("ahd-1", this.engine.address());
		connectThroughProxy(agent);
		CompletableFuture<HttpResponse<String>> response = send(this.fleet.completion("cut", TOKENS));
		awaitInProgress(agent);
		sleepBriefly();
		this.proxy.resetConnections();
		this.fleet.connect(agent, agent.address());
		assertThat(EngineFixtures.text(response.get(20, TimeUnit.SECONDS).body()))
			.isEqualTo(EngineFixtures.expectedText("cut", TOKENS));
		assertThat(this.engine.runs()).hasSize(1);
	}

	@Test
	void aResponseContinuesOverANewConnectionWhenTheOldOneIsSilent() throws Exception {
		LocalAgent agent = this.fleet.addEngine("ahd-1", this.engine.address());
		connectThroughProxy(agent);
		CompletableFuture<HttpResponse<String>> response = send(this.fleet.completion("silent", TOKENS));
		awaitInProgress(agent);
		sleepBriefly();
		this.proxy.silenceConnections();
		sleepBriefly();
		this.fleet.connect(agent, agent.address());
		assertThat(EngineFixtures.text(response.get(20, TimeUnit.SECONDS).body()))
			.isEqualTo(EngineFixtures.expectedText("silent", TOKENS));
		assertThat(this.engine.runs()).hasSize(1);
	}

	@Test
	void aPurchaseIsNotSentAgainWhenItsConnectionIsReset() throws Exception {
		LocalAgent agent = this.fleet.addPlain("ahd-2", this.plain.address());
		connectThroughProxy(agent);
		CompletableFuture<HttpResponse<String>> response = send(this.fleet.request("/purchases")
			.header("Idempotency-Key", "k1")
			.POST(HttpRequest.BodyPublishers.ofString("x"))
			.build());
		awaitInProgress(agent);
		this.proxy.resetConnections();
		this.fleet.connect(agent, agent.address());
		assertThat(response.get(20, TimeUnit.SECONDS).statusCode()).isEqualTo(201);
		assertThat(this.plain.runCount("k1")).isEqualTo(1);
	}

	@Test
	void aPurchaseWhoseAgentCannotBeReachedAgainHasAnUnknownOutcome() throws Exception {
		LocalAgent agent = this.fleet.addPlain("ahd-2", this.plain.address());
		connectThroughProxy(agent);
		CompletableFuture<HttpResponse<String>> response = send(this.fleet.request("/purchases")
			.header("Idempotency-Key", "k1")
			.POST(HttpRequest.BodyPublishers.ofString("x"))
			.build());
		awaitInProgress(agent);
		this.proxy.configure("--refuse", "true");
		this.proxy.resetConnections();
		HttpResponse<String> received = response.get(20, TimeUnit.SECONDS);
		assertThat(received.statusCode()).isEqualTo(502);
		assertThat(received.headers().firstValue("X-Catkingate-Outcome")).hasValue("unknown");
		assertThat(this.plain.runCount("k1")).isEqualTo(1);
	}

}
