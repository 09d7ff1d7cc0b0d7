package org.catkingate.tests.requests;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

import org.catkingate.decisions.shutdown.ShutdownSchedule;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.standins.plain.PlainService;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of requests that are in progress when the time for the shutdown of an entry is
 * over.
 */
class EntryShutdownTests {

	/** The time in which the head of a request is read. */
	private static final long BEFORE_END_MILLIS = 200;

	// Guards against a request whose body arrives after the others have been ended, and
	// which is sent to a runner by a process about to close (LOST).
	@Test
	void rejectsRequestsWhoseBodiesArriveAfterTheEnd() throws Exception {
		try (PlainService runner = PlainService.start();
				LocalFleet fleet = LocalFleet.start();
				Socket caller = new Socket(InetAddress.getLoopbackAddress(), fleet.entry().address().getPort())) {
			LocalAgent agent = fleet.addPlain("ahd-1", runner.address());
			caller.setSoTimeout((int) LocalFleet.TIMEOUT.toMillis());
			OutputStream output = caller.getOutputStream();
			output.write(("POST /purchases HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer callers-key\r\n"
					+ "Content-Length: 2\r\n\r\n1")
				.getBytes(StandardCharsets.US_ASCII));
			Thread.sleep(BEFORE_END_MILLIS);
			fleet.entry().rejectNewRequests();
			fleet.entry().endRequests();
			output.write('2');
			String response = new String(caller.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
			assertThat(response).isEqualTo("HTTP/1.1 503");
			assertThat(agent.gate().inProgress()).isZero();
		}
	}

	// Guards against a request whose body is complete after the notice period, and which
	// is sent to a runner although it may be cut at the end of the shutdown (LOST).
	@Test
	void rejectsRequestsWhoseBodiesArriveAfterTheNotice() throws Exception {
		try (PlainService runner = PlainService.start("--delay-ms", "5000");
				LocalFleet fleet = LocalFleet.start();
				Socket caller = new Socket(InetAddress.getLoopbackAddress(), fleet.entry().address().getPort())) {
			LocalAgent agent = fleet.addPlain("ahd-1", runner.address());
			caller.setSoTimeout((int) LocalFleet.TIMEOUT.toMillis());
			OutputStream output = caller.getOutputStream();
			output.write(("POST /purchases HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer callers-key\r\n"
					+ "Content-Length: 2\r\n\r\n1")
				.getBytes(StandardCharsets.US_ASCII));
			Thread.sleep(BEFORE_END_MILLIS);
			long now = MonotonicClock.system().millis();
			fleet.entry().announceShutdown(new ShutdownSchedule(now, now, now + 3000, now + 3250));
			fleet.entry().rejectNewRequests();
			output.write('2');
			String response = new String(caller.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
			assertThat(response).isEqualTo("HTTP/1.1 503");
			assertThat(agent.gate().inProgress()).isZero();
		}
	}

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
