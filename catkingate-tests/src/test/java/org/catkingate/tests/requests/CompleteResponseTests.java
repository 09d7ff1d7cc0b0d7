package org.catkingate.tests.requests;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.standins.engine.Engine;
import org.catkingate.standins.plain.PlainService;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests that callers get complete responses or can detect that a response is incomplete.
 */
class CompleteResponseTests {

	private final HttpClient client = HttpClient.newHttpClient();

	private LocalFleet fleet;

	private Engine engine;

	private PlainService plain;

	@BeforeEach
	void start() throws IOException {
		this.fleet = LocalFleet.start();
		this.engine = EngineFixtures.startEngine();
		this.plain = PlainService.start();
	}

	@AfterEach
	void close() {
		this.fleet.close();
		this.engine.close();
		this.plain.close();
	}

	private HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
		return this.client.send(request, HttpResponse.BodyHandlers.ofString());
	}

	@Nested
	class AnEngine {

		@Test
		void streamsItsCompleteResponse() throws Exception {
			CompleteResponseTests test = CompleteResponseTests.this;
			test.fleet.addEngine("ahd-1", test.engine.address());
			HttpResponse<String> response = send(test.fleet.completion("a song", 300));
			assertThat(response.statusCode()).isEqualTo(200);
			assertThat(response.headers().firstValue("X-Request-Id").orElseThrow()).hasSize(32);
			assertThat(response.body()).endsWith("data: [DONE]\n\n");
			assertThat(EngineFixtures.text(response.body())).isEqualTo(EngineFixtures.expectedText("a song", 300));
		}

		@Test
		void respondsToManyRequestsOverOneConnection() throws Exception {
			CompleteResponseTests test = CompleteResponseTests.this;
			test.fleet.addEngine("ahd-1", test.engine.address());
			for (int i = 0; i < 50; i++) {
				HttpResponse<String> response = send(test.fleet.completion("song " + i, 3));
				assertThat(EngineFixtures.text(response.body())).isEqualTo(EngineFixtures.expectedText("song " + i, 3));
			}
		}

		// The engine dies only after the caller has received part of the response; before
		// that the entry may still replace the response by a failure.
		@Test
		void thatDiesDuringItsResponseLeavesAVisiblyTruncatedResponse() throws Exception {
			CompleteResponseTests test = CompleteResponseTests.this;
			test.engine.configure("--token-micros", "50000");
			test.fleet.addEngine("ahd-1", test.engine.address());
			HttpResponse<InputStream> response = test.client.send(test.fleet.completion("a song", 300),
					HttpResponse.BodyHandlers.ofInputStream());
			assertThat(response.statusCode()).isEqualTo(200);
			ByteArrayOutputStream received = new ByteArrayOutputStream();
			while (!received.toString(StandardCharsets.UTF_8).endsWith("\n\n")) {
				int next = response.body().read();
				assertThat(next).isNotNegative();
				received.write(next);
			}
			test.engine.configure("--die-after-tokens", "1");
			assertThatThrownBy(() -> response.body().transferTo(received)).isInstanceOf(IOException.class);
			String events = received.toString(StandardCharsets.UTF_8);
			String completeEvents = events.substring(0, events.lastIndexOf("\n\n") + 2);
			assertThat(EngineFixtures.text(completeEvents)).isNotEmpty()
				.isNotEqualTo(EngineFixtures.expectedText("a song", 300));
			assertThat(EngineFixtures.expectedText("a song", 300)).startsWith(EngineFixtures.text(completeEvents));
			assertThat(events).doesNotContain("[DONE]");
		}

		@Test
		void thatDiesEarlyLeavesATruncatedResponseOrAFailureButNeverAPartThatLooksComplete() throws Exception {
			CompleteResponseTests test = CompleteResponseTests.this;
			test.engine.configure("--die-after-tokens", "20");
			test.fleet.addEngine("ahd-1", test.engine.address());
			try {
				HttpResponse<String> response = send(test.fleet.completion("a song", 300));
				assertThat(response.statusCode()).isEqualTo(502);
				assertThat(response.body()).contains("\"kind\":\"runner-failed\"").doesNotContain("choices");
			}
			catch (IOException ex) {
				assertThat(ex).isNotInstanceOf(HttpTimeoutException.class);
			}
		}

		@Test
		void withOtherWeightsIsTakenOutOfServiceAndItsResponseNotForwarded() throws Exception {
			CompleteResponseTests test = CompleteResponseTests.this;
			test.engine.close();
			test.engine = Engine.start("--initial-digest", "0".repeat(64), "--initial-model", "lyrics",
					"--initial-version", "1");
			LocalAgent agent = test.fleet.addEngine("ahd-1", test.engine.address());
			HttpResponse<String> response = send(test.fleet.completion("a song", 3));
			assertThat(response.statusCode()).isEqualTo(502);
			assertThat(response.body()).doesNotContain("choices");
			assertThat(agent.gate().servedVersion()).isEmpty();
		}

	}

	@Nested
	class APlainService {

		@Test
		void respondsWithItsOwnLength() throws Exception {
			CompleteResponseTests test = CompleteResponseTests.this;
			test.plain.configure("--answer-bytes", "700000");
			test.fleet.addPlain("ahd-2", test.plain.address());
			HttpResponse<String> response = send(test.fleet.request("/lookups/7").build());
			assertThat(response.statusCode()).isEqualTo(200);
			assertThat(response.headers().firstValueAsLong("Content-Length")).hasValue(response.body().length());
			assertThat(response.body()).contains("\"path\":\"/lookups/7\"").hasSizeGreaterThan(690_000);
		}

		@Test
		void thatDiesWhileItRunsACallLeavesItsOutcomeUnknown() throws Exception {
			CompleteResponseTests test = CompleteResponseTests.this;
			test.plain.configure("--die-after-run", "true");
			test.fleet.addPlain("ahd-2", test.plain.address());
			HttpResponse<String> response = send(test.fleet.request("/purchases")
				.header("Idempotency-Key", "k1")
				.POST(HttpRequest.BodyPublishers.ofString("x"))
				.build());
			assertThat(response.statusCode()).isEqualTo(502);
			assertThat(response.headers().firstValue("X-Catkingate-Outcome")).hasValue("unknown");
			assertThat(response.body()).contains("\"kind\":\"outcome-unknown\"");
			assertThat(test.plain.runCount("k1")).isEqualTo(1);
		}

	}

}
