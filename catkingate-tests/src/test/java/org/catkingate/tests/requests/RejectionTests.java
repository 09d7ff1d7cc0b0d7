package org.catkingate.tests.requests;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.standins.engine.Engine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that requests rejected as not run were not run, and that they are rejected
 * immediately.
 */
class RejectionTests {

	private final HttpClient client = HttpClient.newHttpClient();

	private LocalFleet fleet;

	private Engine engine;

	@BeforeEach
	void start() throws IOException {
		this.fleet = LocalFleet.start();
		this.engine = EngineFixtures.startEngine();
	}

	@AfterEach
	void close() {
		this.fleet.close();
		this.engine.close();
	}

	private HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
		return this.client.send(request, HttpResponse.BodyHandlers.ofString());
	}

	private void assertNotRun(HttpResponse<String> response, int status, String kind) {
		assertThat(response.statusCode()).isEqualTo(status);
		assertThat(response.body()).contains("\"kind\":\"" + kind + "\"");
		assertThat(response.headers().firstValueAsLong("Retry-After").orElseThrow()).isPositive();
		assertThat(this.engine.runs()).isEmpty();
	}

	@Nested
	class AnAgentRejects {

		// An agent rejects a request that refers to a heartbeat older than 3000 ms.
		@Test
		void requestsThatWereDelayedTooLong() throws Exception {
			RejectionTests test = RejectionTests.this;
			test.fleet.addEngine("ahd-1", test.engine.address()).setHeartbeatAgeMillis(3001);
			assertNotRun(send(test.fleet.completion("late", 3)), 503, "not-run");
		}

		@Test
		void requestsWhileItIsDraining() throws Exception {
			RejectionTests test = RejectionTests.this;
			test.fleet.addEngine("ahd-1", test.engine.address()).drain();
			assertNotRun(send(test.fleet.completion("late", 3)), 503, "not-run");
		}

		@Test
		void requestsWhileItsGateIsClosed() throws Exception {
			RejectionTests test = RejectionTests.this;
			test.fleet.addEngine("ahd-1", test.engine.address()).gate().close();
			assertNotRun(send(test.fleet.completion("closed", 3)), 503, "not-run");
		}

		@Test
		void requestsWhileItsRunnerIsUnreachable() throws Exception {
			RejectionTests test = RejectionTests.this;
			test.fleet.addEngine("ahd-1", test.engine.address());
			test.engine.close();
			assertNotRun(send(test.fleet.completion("closed", 3)), 503, "not-run");
		}

		@Test
		void requestsBeyondItsQueueImmediately() throws Exception {
			RejectionTests test = RejectionTests.this;
			test.engine.configure("--token-micros", "50000");
			test.fleet.publish(LocalFleet.configuration(LocalFleet.account(1000, 1000, 1_000_000), 1, 1));
			LocalAgent agent = test.fleet.addEngine("ahd-1", test.engine.address());
			List<CompletableFuture<HttpResponse<String>>> accepted = new ArrayList<>();
			for (int i = 0; i < 2; i++) {
				accepted.add(test.client.sendAsync(test.fleet.completion("taken " + i, 60),
						HttpResponse.BodyHandlers.ofString()));
			}
			Awaitility.await()
				.atMost(LocalFleet.TIMEOUT)
				.until(() -> agent.requestHandler().load(LocalAgent.RUNNER) == 2);
			HttpResponse<String> response = send(test.fleet.completion("refused", 60));
			assertThat(accepted).noneMatch(CompletableFuture::isDone);
			assertThat(response.statusCode()).isIn(429, 503);
			assertThat(response.headers().firstValueAsLong("Retry-After").orElseThrow()).isPositive();
		}

	}

	@Nested
	class AnEntryRejects {

		@Test
		void callersWithAnUnknownKey() throws Exception {
			RejectionTests test = RejectionTests.this;
			HttpRequest request = HttpRequest.newBuilder(test.fleet.uri("/v1/completions"))
				.header("Authorization", "Bearer another")
				.build();
			assertThat(send(request).statusCode()).isEqualTo(401);
		}

		@Test
		void callsWithoutARule() throws Exception {
			assertThat(send(RejectionTests.this.fleet.request("/elsewhere").build()).statusCode()).isEqualTo(404);
		}

		@Test
		void requestsThatNoRunnerServes() throws Exception {
			assertNotRun(send(RejectionTests.this.fleet.completion("nobody", 3)), 503, "not-run");
		}

		@Test
		void bodiesWhoseDeclaredLengthIsTooLong() throws Exception {
			HttpRequest request = RejectionTests.this.fleet.request("/v1/completions")
				.POST(HttpRequest.BodyPublishers.ofByteArray(new byte[1024 * 1024 + 1]))
				.build();
			assertThat(send(request).statusCode()).isEqualTo(413);
		}

		// Guards against a heap that callers fill with the bodies of their requests, so
		// that the entry and all that it holds are lost.
		@Test
		void bodiesForWhichThereIsNoMemoryUntilOthersHaveEnded() throws Exception {
			RejectionTests test = RejectionTests.this;
			try (LocalFleet little = LocalFleet.startWithBodyMemory(64 * 1024)) {
				little.addEngine("ahd-1", test.engine.address());
				HttpRequest second = little.completion("x".repeat(40_000), 1);
				assertThat(send(second).statusCode()).isEqualTo(200);
				try (Socket first = new Socket("127.0.0.1", little.entry().address().getPort())) {
					first.getOutputStream()
						.write(("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer callers-key\r\n"
								+ "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
							.getBytes(StandardCharsets.US_ASCII));
					Awaitility.await().atMost(LocalFleet.TIMEOUT).until(() -> send(second).statusCode() == 503);
					assertThat(send(second).headers().firstValueAsLong("Retry-After").orElseThrow()).isPositive();
					HttpRequest withoutBody = little.request("/lookups/1").build();
					assertThat(send(withoutBody).body()).contains("not-run").doesNotContain("memory");
				}
				Awaitility.await().atMost(LocalFleet.TIMEOUT).until(() -> send(second).statusCode() == 200);
			}
		}

		@Test
		void requestsBeyondTheRequestRateOfAnAccount() throws Exception {
			RejectionTests test = RejectionTests.this;
			test.fleet.addEngine("ahd-1", test.engine.address());
			test.fleet.publish(LocalFleet.configuration(LocalFleet.account(2, 1000, 1_000_000), 8, 8));
			int rejected = 0;
			for (int i = 0; i < 8; i++) {
				HttpResponse<String> response = send(test.fleet.completion("rate", 1));
				if (response.statusCode() == 429) {
					assertThat(response.body()).contains("\"kind\":\"request-limit\"");
					assertThat(response.headers().firstValueAsLong("Retry-After").orElseThrow()).isPositive();
					rejected++;
				}
			}
			assertThat(rejected).isPositive();
			assertThat(test.engine.runs()).hasSize(8 - rejected);
		}

		@Test
		void requestsBeyondTheTokenRateOfAnAccount() throws Exception {
			RejectionTests test = RejectionTests.this;
			test.fleet.addEngine("ahd-1", test.engine.address());
			test.fleet.publish(LocalFleet.configuration(LocalFleet.account(1000, 1000, 10), 8, 8));
			assertThat(send(test.fleet.completion("first", 200)).statusCode()).isEqualTo(200);
			HttpResponse<String> second = send(test.fleet.completion("second", 1));
			assertThat(second.statusCode()).isEqualTo(429);
			assertThat(second.body()).contains("\"kind\":\"token-limit\"");
		}

		@Test
		void newRequestsWhileItDrainsButCompletesThoseInProgress() throws Exception {
			RejectionTests test = RejectionTests.this;
			test.engine.configure("--token-micros", "5000");
			LocalAgent agent = test.fleet.addEngine("ahd-1", test.engine.address());
			CompletableFuture<HttpResponse<String>> inProgress = test.client
				.sendAsync(test.fleet.completion("old", 100), HttpResponse.BodyHandlers.ofString());
			Awaitility.await().atMost(LocalFleet.TIMEOUT).until(() -> agent.gate().inProgress() == 1);
			test.fleet.entry().rejectNewRequests();
			agent.drain();
			HttpResponse<String> rejected = send(test.fleet.completion("new", 1));
			assertThat(rejected.statusCode()).isEqualTo(503);
			assertThat(rejected.body()).contains("\"kind\":\"leaving\"");
			assertThat(EngineFixtures.text(inProgress.get(20, TimeUnit.SECONDS).body()))
				.isEqualTo(EngineFixtures.expectedText("old", 100));
			Awaitility.await()
				.atMost(LocalFleet.TIMEOUT)
				.until(() -> test.fleet.entry().requestsInProgress() == 0 && agent.requestHandler().inProgress() == 0);
		}

	}

	@Nested
	class SlowSenders {

		@Test
		void areDisconnected() throws Exception {
			RejectionTests test = RejectionTests.this;
			try (Socket socket = new Socket("127.0.0.1", test.fleet.entry().address().getPort())) {
				socket.getOutputStream()
					.write("POST /v1/completions HTTP/1.1\r\nHost: x\r\n".getBytes(StandardCharsets.US_ASCII));
				socket.getOutputStream()
					.write("Authorization: Bearer callers-key\r\nContent-Length: 100\r\n\r\nabc"
						.getBytes(StandardCharsets.US_ASCII));
				socket.setSoTimeout(20_000);
				InputStream response = socket.getInputStream();
				assertThat(response.read()).isEqualTo(-1);
			}
		}

	}

}
