package org.catkingate.tests.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.catkingate.model.registry.CallKind;
import org.catkingate.standins.raw.RawServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of runners that send a rejection a second time, before the response to the next
 * request on the same connection.
 */
class LateRejectionTests {

	/** Longer than the time for which a runner counts as full after a rejection. */
	private static final long BACKOFF_MILLIS = 300;

	private static final String SIGNED = "X-Request-Id: " + RawServer.REQUEST_ID_PLACEHOLDER
			+ "\r\nX-Server-Seal: a.b\r\n";

	private static final String STREAM = "HTTP/1.1 200 OK\r\n" + SIGNED
			+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
			+ "f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n";

	private static final String PLAIN = "HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Length: 5\r\n\r\nwhole";

	private static String rejection(String requestIdHeader) {
		return "HTTP/1.1 503 Full\r\n" + requestIdHeader + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
	}

	private static Queue<RawServer.Response> responses(String first, String... second) {
		return new ConcurrentLinkedQueue<>(
				List.of(new RawServer.Response(List.of(first), false), new RawServer.Response(List.of(second), false)));
	}

	// Guards against a stream that may not be resumed, runs, and is answered as not run,
	// or runs at a second runner (REFUSED, TWICE).
	@Test
	void doNotEndAStreamThatMayNotBeResumed() throws Exception {
		String rejection = rejection("X-Request-Id: r1\r\n");
		Queue<RawServer.Response> responses = responses(rejection, rejection, STREAM);
		try (RawServer runner = RawServer.respondingWith(() -> next(responses));
				TestGateway gateway = TestGateway.startWithStreamsThatMayNotBeResumed(runner.address());
				RawCaller caller = gateway.connect()) {
			assertThat(caller.post("r1", "/songs/1", "hello").readResponse()).startsWith("HTTP/1.1 503 ");
			Thread.sleep(BACKOFF_MILLIS);
			assertThat(caller.post("r2", "/songs/1", "hello").readResponse()).doesNotStartWith("HTTP/1.1 503 ");
			assertThat(runner.acceptedConnections()).as("connections, of which each had one request").isEqualTo(2);
		}
	}

	// Guards against a rejection of another request that is taken for that of this one,
	// and against a connection that is used again while the runner still answers on it.
	// Without an identifier, the rejection may be that of any request on the connection.
	@ParameterizedTest
	@ValueSource(strings = { "X-Request-Id: r1\r\n", "" })
	void areNotTakenForTheResponseToTheNextRequest(String requestIdHeader) throws Exception {
		String rejection = rejection(requestIdHeader);
		Queue<RawServer.Response> responses = responses(rejection(""), rejection, PLAIN);
		responses.add(new RawServer.Response(List.of(PLAIN), false));
		try (RawServer runner = RawServer.respondingWith(() -> next(responses));
				TestGateway gateway = TestGateway.start(CallKind.IDEMPOTENT, runner.address());
				RawCaller caller = gateway.connect()) {
			assertThat(caller.post("r1", "/songs/1", "hello").readResponse()).startsWith("HTTP/1.1 503 ");
			Thread.sleep(BACKOFF_MILLIS);
			assertThat(caller.post("r2", "/songs/1", "hello").readResponse()).doesNotStartWith("HTTP/1.1 503 ");
			Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> runner.connectionsClosedByPeer() == 1);
			Thread.sleep(BACKOFF_MILLIS);
			assertThat(caller.post("r3", "/songs/1", "hello").readResponse()).endsWith("whole");
			assertThat(runner.acceptedConnections()).isEqualTo(2);
		}
	}

	// Guards against a pause or a limit that a runner stated before and that a late copy
	// begins again.
	@Test
	void stateNothingAboutTheRunner() throws Exception {
		String pausing = "HTTP/1.1 503 Full\r\nX-Request-Id: r0\r\nX-Not-Executed: 1\r\nRetry-After: 2\r\n"
				+ "Content-Length: 0\r\n\r\n";
		Queue<RawServer.Response> responses = responses(PLAIN, pausing, PLAIN);
		responses.add(new RawServer.Response(List.of(PLAIN), false));
		try (RawServer runner = RawServer.respondingWith(() -> next(responses));
				TestGateway gateway = TestGateway.start(CallKind.IDEMPOTENT, runner.address());
				RawCaller caller = gateway.connect()) {
			assertThat(caller.post("r1", "/songs/1", "hello").readResponse()).endsWith("whole");
			caller.post("r2", "/songs/1", "hello").readResponse();
			assertThat(caller.post("r3", "/songs/1", "hello").readResponse()).endsWith("whole");
			assertThat(gateway.counter("runner_pauses")).isZero();
		}
	}

	private static RawServer.Response next(Queue<RawServer.Response> responses) {
		RawServer.Response response = responses.poll();
		return (response != null) ? response : new RawServer.Response(
				List.of("HTTP/1.1 500 Error\r\n" + SIGNED + "Content-Length: 0\r\n\r\n"), false);
	}

}
