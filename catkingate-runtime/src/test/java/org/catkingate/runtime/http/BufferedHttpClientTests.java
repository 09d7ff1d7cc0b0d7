package org.catkingate.runtime.http;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientRequest;
import io.undertow.util.Methods;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.XnioWorker;

import org.catkingate.standins.raw.RawServer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests for {@link BufferedHttpClient}.
 */
class BufferedHttpClientTests {

	private static final long TEST_TIMEOUT_SECONDS = 20;

	private static final int MAX_BYTES = 1000;

	/** Much longer than the server's pauses between two parts of a response. */
	private static final long IDLE_MILLIS = 1000;

	private static final long TOTAL_MILLIS = 5000;

	/** More than the limits of the client and the buffers of both sockets. */
	private static final long MAX_SENT_BYTES = 32L * 1024 * 1024;

	private XnioWorker worker;

	@BeforeEach
	void start() throws Exception {
		this.worker = IoThreads.start("calls", 1);
	}

	@AfterEach
	void stop() {
		this.worker.shutdownNow();
	}

	private BufferedHttpClient.Response call(RawServer server) throws Exception {
		URI base = URI.create("http://127.0.0.1:" + server.address().getPort());
		ClientRequest request = new ClientRequest().setMethod(Methods.GET).setPath("/");
		return BufferedHttpClient.create(this.worker)
			.call(base, request, BufferedHttpClient.Body.empty(), MAX_BYTES,
					new BufferedHttpClient.Timeouts(IDLE_MILLIS, TOTAL_MILLIS))
			.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	private static String[] response(int length, List<String> parts) {
		List<String> all = new ArrayList<>(List.of("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n"));
		all.addAll(parts);
		return all.toArray(String[]::new);
	}

	@Nested
	class AResponseThatArrivesInManyParts {

		// Guards against a timeout for the complete response that is too short for a
		// long response over a slow link, so that the call is retried endlessly.
		@Test
		void isReadCompletelyWhileItKeepsArriving() throws Exception {
			try (RawServer server = RawServer.respondingWith(response(20, Collections.nCopies(20, "x")))) {
				assertThat(call(server).body()).hasSize(20);
			}
		}

		@Test
		void timesOutOnceNothingMoreArrives() throws Exception {
			List<String> parts = new ArrayList<>(Collections.nCopies(3, "x"));
			parts.addAll(Collections.nCopies(40, ""));
			parts.add("x");
			try (RawServer server = RawServer.respondingWith(response(4, parts))) {
				assertThatThrownBy(() -> call(server)).isInstanceOf(ExecutionException.class)
					.hasMessageContaining("sent nothing within " + IDLE_MILLIS + " ms");
			}
		}

		@Test
		void timesOutAfterTheTotalTimeoutIfItTricklesIn() throws Exception {
			try (RawServer server = RawServer.respondingWith(response(400, Collections.nCopies(400, "x")))) {
				assertThatThrownBy(() -> call(server)).isInstanceOf(ExecutionException.class)
					.hasMessageContaining("no complete response within " + TOTAL_MILLIS + " ms");
			}
		}

	}

	@Nested
	class AResponseInChunks {

		// Guards against a page or a piece that is taken for whole because the head of
		// another response stands in the middle of it.
		@Test
		void failsIfTheHeadOfAnotherResponseStandsInIt() throws Exception {
			try (RawServer server = RawServer.respondingWith(
					"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
					"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")) {
				assertThatThrownBy(() -> call(server)).isInstanceOf(ExecutionException.class)
					.hasRootCauseInstanceOf(IOException.class);
			}
		}

	}

	@Nested
	class AResponseThatDoesNotStart {

		@Test
		void timesOut() throws Exception {
			try (RawServer server = RawServer.respondingWith("")) {
				assertThatThrownBy(() -> call(server)).isInstanceOf(ExecutionException.class)
					.hasMessageContaining("sent nothing within " + IDLE_MILLIS + " ms");
			}
		}

	}

	@Nested
	class AResponseWithoutEnd {

		// Guards against memory that fills because the store or the origin sends bytes
		// that
		// are no response until the connection is closed.
		@ParameterizedTest
		@CsvSource(delimiter = '|',
				value = { "HTTP/1.1 200 O | K", "x | x", "HTTP/1.1 200 OK#X-Long: | x",
						"HTTP/1.1 200 OK# | X-Again: x#", "HTTP/1.1 200 OK#Transfer-Encoding: chunked##5;x= | x",
						"HTTP/1.1 200 OK#Transfer-Encoding: chunked##0# | X-Again: x#",
						"HTTP/1.1 200 OK#Transfer-Encoding: chunked## | 4#data#", "HTTP/1.1 200 OK## | x" })
		void failsTheCallAndClosesTheConnection(String start, String filler) throws Exception {
			RawServer.Response response = RawServer.Response.withoutEnd(start.replace("#", "\r\n"),
					filler.replace("#", "\r\n"));
			try (RawServer server = RawServer.respondingWith(() -> response)) {
				assertThatThrownBy(() -> call(server)).isInstanceOf(ExecutionException.class);
				Awaitility.await().until(() -> server.connectionsClosedByPeer() == 1);
				assertThat(server.fillerBytes()).isLessThan(MAX_SENT_BYTES);
			}
		}

		@Test
		void thatTricklesFailsTheCallAtItsTimeout() throws Exception {
			RawServer.Response response = RawServer.Response.trickling("HTTP/1.1 200 OK\r\nX-Long: ", "x", 50);
			try (RawServer server = RawServer.respondingWith(() -> response)) {
				assertThatThrownBy(() -> call(server)).isInstanceOf(ExecutionException.class)
					.hasMessageContaining("within");
				Awaitility.await().until(() -> server.connectionsClosedByPeer() == 1);
			}
		}

	}

	@Nested
	class AResponseWithContradictoryFraming {

		// Guards against a registry page or a piece that is cut to the wrong length.
		@ParameterizedTest
		@ValueSource(strings = { "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
				"Content-Length: 5\r\nContent-Length: 3\r\n\r\nwhole", "Transfer-Encoding: identity\r\n\r\nwhole" })
		void fails(String rest) throws Exception {
			try (RawServer server = RawServer.respondingAndClosing("HTTP/1.1 200 OK\r\n" + rest)) {
				assertThatThrownBy(() -> call(server)).isInstanceOf(ExecutionException.class)
					.hasMessageContaining("do not tell where its body ends");
			}
		}

	}

}
