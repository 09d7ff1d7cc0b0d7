package org.catkingate.standins.plain;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.catkingate.standins.StandInClient;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link PlainService}.
 */
class PlainServiceTests {

	private final PlainService service = PlainService.start();

	@AfterEach
	void close() {
		this.service.close();
	}

	private HttpResponse<byte[]> purchase(String key) throws Exception {
		return StandInClient.sendForBytes(StandInClient.request(this.service, "/purchases")
			.header("Idempotency-Key", key)
			.POST(HttpRequest.BodyPublishers.ofString("a licence"))
			.build());
	}

	@Test
	void countsEveryRunOfAKey() throws Exception {
		purchase("k");
		purchase("k");
		purchase("other");
		assertThat(this.service.runCount("k")).isEqualTo(2);
	}

	@Test
	void countsARunThatEndsWithoutAResponse() {
		this.service.configure("--die-after-run", "true");
		assertThatExceptionOfType(IOException.class).isThrownBy(() -> purchase("k"));
		assertThat(this.service.runCount("k")).isPositive();
	}

	@Test
	void echoesPathAndBodyInItsResponse() throws Exception {
		assertThat(new String(purchase("k").body(), StandardCharsets.UTF_8)).contains("\"path\":\"/purchases\"",
				"\"body\":\"a licence\"");
	}

}
