package org.catkingate.tests.requests;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

import org.catkingate.standins.plain.PlainService;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of requests that are in progress when the time for the shutdown of an entry is
 * over.
 */
class EntryShutdownTests {

	// Guards against a request that may not be repeated and is cut without an answer
	// when the time for the shutdown is over (LOST).
	@Test
	void answersRequestsThatRunnersHaveNotAnswered() throws Exception {
		try (PlainService runner = PlainService.start("--delay-ms", "5000"); LocalFleet fleet = LocalFleet.start()) {
			LocalAgent agent = fleet.addPlain("ahd-1", runner.address());
			CompletableFuture<HttpResponse<String>> response = HttpClient.newHttpClient()
				.sendAsync(fleet.request("/purchases").POST(HttpRequest.BodyPublishers.ofString("x")).build(),
						HttpResponse.BodyHandlers.ofString());
			Awaitility.await().atMost(LocalFleet.TIMEOUT).until(() -> agent.gate().inProgress() > 0);
			fleet.entry().rejectNewRequests();
			fleet.entry().endRequests();
			assertThat(response.get(3, TimeUnit.SECONDS).statusCode()).isEqualTo(502);
			// a request ends after its response has been handed over to the operating
			// system
			Awaitility.await().atMost(LocalFleet.TIMEOUT).until(() -> fleet.entry().requestsInProgress() == 0);
		}
	}

}
