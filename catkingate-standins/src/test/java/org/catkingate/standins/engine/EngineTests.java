package org.catkingate.standins.engine;

import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.standins.HttpService;
import org.catkingate.standins.StandInClient;
import org.catkingate.standins.weights.GeneratedWeights;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Engine}.
 */
class EngineTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static final GeneratedWeights FIRST = GeneratedWeights
		.of(GeneratedWeights.Specification.of("lyrics", "1", 1, 1_000_000, 65_536));

	private static final GeneratedWeights SECOND = GeneratedWeights
		.of(GeneratedWeights.Specification.of("lyrics", "2", 2, 1_000_000, 65_536));

	private final Engine engine = Engine.start("--token-micros", "100", "--concurrency", "1");

	@AfterEach
	void close() {
		this.engine.close();
	}

	private HttpResponse<String> load(GeneratedWeights weights, long fence) throws Exception {
		String path = "/engine/weights?model=lyrics&version=" + weights.specification().version() + "&fence=" + fence;
		return StandInClient.put(this.engine, path, weights.bytes(0, (int) weights.specification().totalBytes()));
	}

	private String complete(String prompt, int tokens, int resumeFrom) throws Exception {
		String body = HttpService.JSON.createObjectNode()
			.put("prompt", prompt)
			.put("max_tokens", tokens)
			.put("resume_from", resumeFrom)
			.toString();
		return HttpService.JSON.readTree(StandInClient.post(this.engine, "/v1/completions", body).body())
			.path("text")
			.asText();
	}

	private JsonNode state() throws Exception {
		return HttpService.JSON.readTree(StandInClient.get(this.engine, "/engine/state").body());
	}

	private HttpRequest streamRequest(String id, int tokens) {
		return StandInClient.request(this.engine, "/v1/completions")
			.header("X-Request-Id", id)
			.POST(HttpRequest.BodyPublishers
				.ofString("{\"prompt\":\"p\",\"stream\":true,\"max_tokens\":" + tokens + "}"))
			.build();
	}

	@Nested
	class Responses {

		@Test
		void areDeterminedByPromptAndWeights() throws Exception {
			load(FIRST, 1);
			assertThat(complete("hello", 20, 0)).isEqualTo(TokenGenerator.text("hello", FIRST.digest(), 20));
		}

		@Test
		void continueFromTheResumedToken() throws Exception {
			load(FIRST, 1);
			String complete = TokenGenerator.text("hello", FIRST.digest(), 20);
			assertThat(complete("hello", 20, 12)).isEqualTo(complete.substring(12 * 5));
		}

		@Test
		void areStreamedCompletely() throws Exception {
			load(FIRST, 1);
			String response = new String(StandInClient.sendForBytes(streamRequest("r", 500)).body());
			assertThat(response.split("\n\n")).hasSize(501).endsWith("data: [DONE]");
		}

		@Test
		void stopWhenTheClientDisconnects() throws Exception {
			load(FIRST, 1);
			EngineTests.this.engine.configure("--token-micros", "10000");
			try (InputStream response = StandInClient.sendForStream(streamRequest("gone", 100_000)).body()) {
				response.read();
			}
			Awaitility.await().atMost(TIMEOUT).until(() -> !EngineTests.this.engine.runs().isEmpty());
			EngineRun run = EngineTests.this.engine.runs().get(0);
			assertThat(run.cancelled()).isTrue();
			assertThat(run.tokens()).isLessThan(100_000);
		}

	}

	@Nested
	class Loads {

		@Test
		void withAnOldFencingNumberAreRejected() throws Exception {
			load(FIRST, 7);
			assertThat(load(SECOND, 6).statusCode()).isEqualTo(409);
			assertThat(state().get("digest").asText()).isEqualTo(FIRST.digest());
		}

		@Test
		void withAnOldFencingNumberAreExecutedIfFencingIsNotChecked() throws Exception {
			EngineTests.this.engine.configure("--checks-fencing", "false");
			load(FIRST, 7);
			assertThat(load(SECOND, 6).statusCode()).isEqualTo(200);
			assertThat(state().get("digest").asText()).isEqualTo(SECOND.digest());
		}

		@Test
		void reportAMixedDigestUntilTheyEnd() throws Exception {
			load(FIRST, 1);
			EngineTests.this.engine.configure("--load-bytes-per-s", "1000000");
			CompletableFuture<Integer> loaded = CompletableFuture.supplyAsync(() -> {
				try {
					return load(SECOND, 2).statusCode();
				}
				catch (Exception ex) {
					throw new IllegalStateException(ex);
				}
			});
			Awaitility.await().atMost(TIMEOUT).until(() -> state().get("version").isNull());
			assertThat(complete("hello", 20, 0)).isNotEqualTo(TokenGenerator.text("hello", FIRST.digest(), 20))
				.isNotEqualTo(TokenGenerator.text("hello", SECOND.digest(), 20));
			EngineTests.this.engine.configure("--load-bytes-per-s", "0");
			assertThat(loaded.get()).isEqualTo(200);
			assertThat(state().get("digest").asText()).isEqualTo(SECOND.digest());
		}

		@Test
		void thatAreInterruptedLeaveAMixedDigest() throws Exception {
			EngineTests.this.engine.configure("--checks-fencing", "false");
			load(FIRST, 1);
			try (Socket socket = new Socket(EngineTests.this.engine.address().getAddress(),
					EngineTests.this.engine.address().getPort())) {
				socket.getOutputStream()
					.write("PUT /engine/weights?model=lyrics&version=2&fence=2 HTTP/1.1\r\nHost: e\r\nContent-Length: 9\r\n\r\nhalf"
						.getBytes(StandardCharsets.US_ASCII));
				Awaitility.await().atMost(TIMEOUT).until(() -> state().get("version").isNull());
			}
			Awaitility.await()
				.during(Duration.ofMillis(500))
				.atMost(TIMEOUT)
				.until(() -> state().get("version").isNull());
			assertThat(state().get("digest").asText()).isNotEqualTo(FIRST.digest()).isNotEqualTo(SECOND.digest());
			assertThat(load(SECOND, 3).statusCode()).isEqualTo(200);
			assertThat(state().get("digest").asText()).isEqualTo(SECOND.digest());
		}

	}

	@Nested
	class QueuedRequests {

		/**
		 * Time per token that keeps the only slot in use until two more requests are
		 * queued, also on a busy machine.
		 */
		private static final String BLOCKING_TOKEN_MICROS = "6000000";

		@Test
		void runInOrderOfPriority() throws Exception {
			load(FIRST, 1);
			EngineTests.this.engine.configure("--token-micros", BLOCKING_TOKEN_MICROS);
			CompletableFuture<Void> blocking = post("blocking", 0);
			Awaitility.await().atMost(TIMEOUT).until(() -> state().get("running").asInt() == 1);
			CompletableFuture<Void> low = post("low", 1);
			Awaitility.await().atMost(TIMEOUT).until(() -> state().get("waiting").asInt() == 1);
			CompletableFuture<Void> high = post("high", 9);
			Awaitility.await().atMost(TIMEOUT).until(() -> state().get("waiting").asInt() == 2);
			EngineTests.this.engine.configure("--token-micros", "100");
			CompletableFuture.allOf(blocking, low, high).get();
			assertThat(EngineTests.this.engine.runs()).extracting(EngineRun::request)
				.containsExactly("blocking", "high", "low");
		}

		private CompletableFuture<Void> post(String id, int priority) {
			HttpRequest request = StandInClient.request(EngineTests.this.engine, "/v1/completions")
				.header("X-Request-Id", id)
				.header("X-Priority", Integer.toString(priority))
				.POST(HttpRequest.BodyPublishers.ofString("{\"prompt\":\"p\",\"max_tokens\":1}"))
				.build();
			return CompletableFuture.runAsync(() -> {
				try {
					StandInClient.sendForBytes(request);
				}
				catch (Exception ex) {
					throw new IllegalStateException(ex);
				}
			});
		}

	}

}
