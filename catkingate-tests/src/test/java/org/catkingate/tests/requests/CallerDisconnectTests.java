package org.catkingate.tests.requests;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.catkingate.standins.engine.Engine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a request stops when its caller disconnects or its deadline passes, and that
 * a caller that reads slowly pauses the engine instead of filling buffers.
 */
class CallerDisconnectTests {

	private static final int MANY_TOKENS = 100_000;

	private LocalFleet fleet;

	private Engine engine;

	private LocalAgent agent;

	@BeforeEach
	void start() throws IOException {
		this.fleet = LocalFleet.start();
		this.engine = EngineFixtures.startEngine("--token-micros", "1000");
		this.agent = this.fleet.addEngine("ahd-1", this.engine.address());
	}

	@AfterEach
	void close() {
		this.fleet.close();
		this.engine.close();
	}

	private Socket startCompletion(int tokens) throws IOException {
		Socket socket = new Socket("127.0.0.1", this.fleet.entry().address().getPort());
		String body = "{\"prompt\":\"left\",\"max_tokens\":" + tokens + ",\"stream\":true}";
		String head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer callers-key\r\n"
				+ "Content-Length: " + body.length() + "\r\n\r\n";
		socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
		return socket;
	}

	private void awaitInProgress(int count) {
		Awaitility.await().atMost(LocalFleet.TIMEOUT).until(() -> this.agent.gate().inProgress() == count);
	}

	@Test
	void aDisconnectBeforeTheFirstTokenStopsTheEngine() throws Exception {
		this.engine.configure("--prefill-micros-per-character", "1000000");
		Socket socket = startCompletion(MANY_TOKENS);
		awaitInProgress(1);
		socket.close();
		awaitInProgress(0);
		Awaitility.await().atMost(LocalFleet.TIMEOUT).until(() -> this.engine.runs().size() == 1);
		assertThat(this.engine.runs().get(0).cancelled()).isTrue();
		assertThat(this.engine.runs().get(0).tokens()).isZero();
	}

	@Test
	void aDisconnectDuringTheResponseStopsTheEngine() throws Exception {
		try (Socket socket = startCompletion(MANY_TOKENS)) {
			assertThat(socket.getInputStream().readNBytes(500)).hasSize(500);
		}
		Awaitility.await().atMost(LocalFleet.TIMEOUT).until(() -> this.engine.runs().size() == 1);
		assertThat(this.engine.runs().get(0).cancelled()).isTrue();
		awaitInProgress(0);
		Awaitility.await().atMost(LocalFleet.TIMEOUT).until(() -> this.fleet.entry().requestsInProgress() == 0);
	}

	@Test
	void aQueuedRequestWhoseCallerDisconnectedIsNotRun() throws Exception {
		this.fleet.publish(LocalFleet.configuration(LocalFleet.account(1000, 1000, 1_000_000), 1, 8));
		Socket running = startCompletion(MANY_TOKENS);
		awaitInProgress(1);
		Socket queued = startCompletion(10);
		Awaitility.await()
			.atMost(LocalFleet.TIMEOUT)
			.until(() -> this.agent.requestHandler().load(LocalAgent.RUNNER) == 2);
		queued.close();
		Awaitility.await()
			.atMost(LocalFleet.TIMEOUT)
			.until(() -> this.agent.requestHandler().load(LocalAgent.RUNNER) == 1);
		running.close();
		Awaitility.await()
			.atMost(LocalFleet.TIMEOUT)
			.until(() -> this.agent.requestHandler().load(LocalAgent.RUNNER) == 0);
		assertThat(this.engine.runs()).hasSize(1);
	}

	@Test
	void aDeadlineThatPassesStopsTheEngine() throws Exception {
		HttpRequest request = this.fleet.request("/v1/completions")
			.header("X-Request-Timeout-Ms", "200")
			.POST(HttpRequest.BodyPublishers.ofString("{\"prompt\":\"late\",\"max_tokens\":5000}"))
			.build();
		HttpResponse<String> response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
		assertThat(response.statusCode()).isEqualTo(504);
		assertThat(response.body()).contains("\"kind\":\"deadline-passed\"");
		awaitInProgress(0);
	}

	@Test
	void aCallerThatDoesNotReadPausesTheEngineAndGetsTheCompleteResponse() throws Exception {
		this.engine.configure("--token-micros", "1");
		int tokens = 300_000;
		try (Socket socket = new Socket()) {
			socket.setReceiveBufferSize(4096);
			socket.connect(this.fleet.entry().address());
			String body = "{\"prompt\":\"slow\",\"max_tokens\":" + tokens + ",\"stream\":true}";
			String head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer callers-key\r\n"
					+ "Connection: close\r\nContent-Length: " + body.length() + "\r\n\r\n";
			socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
			awaitInProgress(1);
			TimeUnit.SECONDS.sleep(2);
			assertThat(this.engine.runs()).isEmpty();
			InputStream response = socket.getInputStream();
			byte[] all = response.readAllBytes();
			String end = new String(all, all.length - 100, 100, StandardCharsets.US_ASCII);
			assertThat(end).contains("data: [DONE]").endsWith("0\r\n\r\n");
		}
	}

}
