package org.catkingate.standins.weights;

import java.net.http.HttpResponse;
import java.util.Arrays;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.standins.HttpService;
import org.catkingate.standins.StandInClient;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link WeightsServer} and {@link GeneratedWeights}.
 */
class WeightsServerTests {

	private static final int CHUNK_BYTES = 65_536;

	private static final GeneratedWeights WEIGHTS = GeneratedWeights
		.of(GeneratedWeights.Specification.of("lyrics", "1", 1, 300_001, CHUNK_BYTES));

	private final WeightsServer server = WeightsServer.start();

	@BeforeEach
	void add() {
		this.server.add(WEIGHTS);
	}

	@AfterEach
	void close() {
		this.server.close();
	}

	private HttpResponse<byte[]> getData(String range) throws Exception {
		return StandInClient
			.sendForBytes(StandInClient.request(this.server, "/weights/lyrics/1/data").header("Range", range).build());
	}

	@Nested
	class Ranges {

		@Test
		void containTheRequestedBytes() throws Exception {
			HttpResponse<byte[]> response = getData("bytes=65530-200003");
			assertThat(response.statusCode()).isEqualTo(206);
			byte[] allBytes = WEIGHTS.bytes(0, 300_001);
			assertThat(response.body()).isEqualTo(Arrays.copyOfRange(allBytes, 65_530, 200_004));
		}

		@Test
		void areCountedInSentBytes() throws Exception {
			getData("bytes=0-9");
			assertThat(WeightsServerTests.this.server.servedCounts().get("dataBytes").asLong()).isEqualTo(10);
		}

	}

	@Nested
	class Faults {

		@Test
		void corruptOneChunkTheConfiguredNumberOfTimes() throws Exception {
			WeightsServerTests.this.server.configure("--corrupt-chunk", "1", "--corrupt-times", "1");
			byte[] chunk = WEIGHTS.bytes(CHUNK_BYTES, CHUNK_BYTES);
			assertThat(getData("bytes=65536-131071").body()).isNotEqualTo(chunk);
			assertThat(getData("bytes=65536-131071").body()).isEqualTo(chunk);
		}

		@Test
		void rejectWithRetryAfter() throws Exception {
			WeightsServerTests.this.server.configure("--refuse", "true", "--retry-after-s", "3");
			HttpResponse<byte[]> response = getData("bytes=0-9");
			assertThat(response.statusCode()).isEqualTo(429);
			assertThat(response.headers().firstValue("Retry-After")).hasValue("3");
		}

	}

	@Nested
	class Versions {

		@Test
		void shareTheChunksOfTheirBaseVersion() throws Exception {
			GeneratedWeights next = GeneratedWeights
				.of(new GeneratedWeights.Specification("lyrics", "2", 2, 1, 2, 300_001, CHUNK_BYTES));
			assertThat(next.bytes(CHUNK_BYTES, CHUNK_BYTES)).isEqualTo(WEIGHTS.bytes(CHUNK_BYTES, CHUNK_BYTES));
			assertThat(next.bytes(0, CHUNK_BYTES)).isNotEqualTo(WEIGHTS.bytes(0, CHUNK_BYTES));
			assertThat(HttpService.JSON.readTree(next.manifest()).get("chunks")).hasSize(5);
		}

	}

}
