package org.catkingate.runtime.http;

import java.lang.ref.WeakReference;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.undertow.client.ClientConnection;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import org.catkingate.runtime.MonotonicClock;
import org.catkingate.standins.raw.RawServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StreamedCall} over {@link ConnectionPool}.
 */
class StreamedCallTests {

	private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

	private XnioWorker worker;

	private final BlockingQueue<String> notifications = new LinkedBlockingQueue<>();

	@BeforeEach
	void startWorker() throws Exception {
		this.worker = Xnio.getInstance()
			.createWorker(OptionMap.builder()
				.set(Options.WORKER_IO_THREADS, 1)
				.set(Options.WORKER_TASK_CORE_THREADS, 1)
				.set(Options.WORKER_TASK_MAX_THREADS, 1)
				.set(Options.THREAD_DAEMON, true)
				.getMap());
	}

	@AfterEach
	void stopWorker() {
		this.worker.shutdownNow();
	}

	private ConnectionPool connectionsTo(RawServer server) {
		return connectionsTo(server.address());
	}

	private ConnectionPool connectionsTo(InetSocketAddress address) {
		return ConnectionPool.to(address, this.worker, new DefaultByteBufferPool(true, 16 * 1024), 8,
				MonotonicClock.system());
	}

	private void call(ConnectionPool connections) {
		call(connections, new RecordingListener(connections));
	}

	private void call(ConnectionPool connections, RecordingListener listener) {
		connections.acquire(false, (connection) -> start(connection, listener),
				(ex) -> this.notifications.add("not connected"));
	}

	private static void start(ClientConnection connection, RecordingListener listener) {
		ClientRequest request = new ClientRequest().setMethod(Methods.POST).setPath("/x");
		request.getRequestHeaders().put(Headers.HOST, "a");
		StreamedCall.start(connection, request, "body".getBytes(StandardCharsets.UTF_8), listener);
	}

	private List<String> notificationsUntil(String end) throws InterruptedException {
		List<String> all = new ArrayList<>();
		while (!all.contains(end)) {
			String next = this.notifications.poll(10, TimeUnit.SECONDS);
			assertThat(next).as("notification after %s", all).isNotNull();
			all.add(next);
		}
		return all;
	}

	@Test
	void chunksAfterTheHeadAreDeliveredOneByOne() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			call(connectionsTo((InetSocketAddress) server.getLocalSocketAddress()));
			try (Socket socket = server.accept()) {
				// each part is sent after the one before was delivered, so that no two
				// arrive
				// together
				for (List<String> part : List.of(List.of(CHUNKED, "200"), List.of("3\r\nabc\r\n", "abc"),
						List.of("2\r\nde\r\n", "de"), List.of("0\r\n\r\n", "ended reusable"))) {
					socket.getOutputStream().write(part.get(0).getBytes(StandardCharsets.ISO_8859_1));
					assertThat(notificationsUntil(part.get(1))).containsExactly(part.get(1));
				}
			}
		}
	}

	@Test
	void aConnectionIsReusedAfterACompleteResponse() throws Exception {
		try (RawServer server = RawServer.respondingWith(CHUNKED + "3\r\nabc\r\n0\r\n\r\n")) {
			ConnectionPool connections = connectionsTo(server);
			call(connections);
			notificationsUntil("ended reusable");
			call(connections);
			assertThat(notificationsUntil("ended reusable")).containsExactly("200", "abc", "ended reusable");
			assertThat(server.acceptedConnections()).isEqualTo(1);
		}
	}

	// Guards against memory that fills with each call on a connection that is kept.
	@Test
	void aConnectionThatIsReusedHoldsNothingOfEarlierCalls() throws Exception {
		try (RawServer server = RawServer.respondingWith(CHUNKED + "3\r\nabc\r\n0\r\n\r\n")) {
			ConnectionPool connections = connectionsTo(server);
			List<WeakReference<Object>> earlier = new ArrayList<>();
			for (int i = 0; i < 3; i++) {
				RecordingListener listener = new RecordingListener(connections);
				earlier.add(new WeakReference<>(listener));
				call(connections, listener);
				notificationsUntil("ended reusable");
			}
			call(connections);
			notificationsUntil("ended reusable");
			assertThat(server.acceptedConnections()).isEqualTo(1);
			Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> {
				System.gc();
				return earlier.stream().allMatch((listener) -> listener.get() == null);
			});
		}
	}

	// Guards against a response that arrives before its request has been sent, taken for
	// the response to the next request on the connection.
	@ParameterizedTest
	@ValueSource(strings = { CHUNKED + "3\r\nabc\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc" })
	void aConnectionIsNotReusedIfBytesFollowTheResponse(String response) throws Exception {
		Queue<RawServer.Response> responses = new ConcurrentLinkedQueue<>(
				List.of(new RawServer.Response(List.of(response + response), false),
						new RawServer.Response(List.of(response, response), false),
						new RawServer.Response(List.of(response), false)));
		try (RawServer server = RawServer.respondingWith(responses::poll)) {
			ConnectionPool connections = connectionsTo(server);
			call(connections);
			assertThat(notificationsUntil("ended")).containsExactly("200", "abc", "ended");
			call(connections);
			assertThat(notificationsUntil("ended reusable")).containsExactly("200", "abc", "ended reusable");
			Thread.sleep(300);
			call(connections);
			assertThat(notificationsUntil("ended reusable")).containsExactly("200", "abc", "ended reusable");
			assertThat(server.acceptedConnections()).isEqualTo(3);
		}
	}

	// Guards against the interim response, which the client skips, taken for a malformed
	// body.
	@Test
	void aBodyInChunksMayFollowAnInterimResponse() throws Exception {
		try (RawServer server = RawServer.respondingWith("HTTP/1.1 100 Continue\r\n\r\n" + CHUNKED + "3\r\na",
				"bc\r\n0\r\n\r", "\n")) {
			ConnectionPool connections = connectionsTo(server);
			call(connections);
			assertThat(String.join("", notificationsUntil("ended reusable"))).isEqualTo("200abcended reusable");
		}
	}

	// Guards against a length that the check of the bytes cannot read.
	@ParameterizedTest
	@ValueSource(strings = { "-1", "x", "", "99999999999999999999" })
	void aResponseWithALengthThatIsNoNumberFails(String length) throws Exception {
		try (RawServer server = RawServer
			.respondingWith("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nabc")) {
			call(connectionsTo(server));
			assertThat(notificationsUntil("failed")).containsExactly("failed");
		}
	}

	@Test
	void aResponseWithoutALengthEndsWithItsConnection() throws Exception {
		try (RawServer server = RawServer.respondingAndClosing("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "abc",
				"de")) {
			call(connectionsTo(server));
			assertThat(notificationsUntil("ended")).containsExactly("200", "abc", "de", "ended");
		}
	}

	@Test
	void aResponseThatBreaksOffInsideAChunkFails() throws Exception {
		try (RawServer server = RawServer.respondingAndClosing(CHUNKED, "5\r\nabc")) {
			call(connectionsTo(server));
			assertThat(notificationsUntil("failed")).containsExactly("200", "abc", "failed");
		}
	}

	// Guards against an I/O thread that does nothing but read one response whose bytes
	// come without a pause.
	@Test
	void aResponseThatArrivesWithoutAPauseDoesNotDelayOthers() throws Exception {
		try (RawServer endless = RawServer
			.respondingWith(() -> RawServer.Response.withoutEnd("HTTP/1.1 200 OK\r\n\r\n", "x"));
				RawServer server = RawServer.respondingWith(CHUNKED + "3\r\nabc\r\n0\r\n\r\n")) {
			connectionsTo(endless).acquire(false,
					(connection) -> StreamedCall.start(connection,
							new ClientRequest().setMethod(Methods.GET).setPath("/x"), new byte[0], new SlowListener()),
					(ex) -> this.notifications.add("not connected"));
			Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> endless.fillerBytes() > 32 * 1024 * 1024);
			call(connectionsTo(server));
			assertThat(notificationsUntil("ended reusable")).containsExactly("200", "abc", "ended reusable");
		}
	}

	/**
	 * Accepts everything, more slowly than a server on the same machine can send, so that
	 * there is always more to read.
	 */
	private static final class SlowListener implements StreamedCall.Listener {

		@Override
		public boolean onHead(ClientResponse response) {
			return true;
		}

		@Override
		public boolean canAccept() {
			return true;
		}

		@Override
		public void onData(byte[] bytes) {
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
		}

		@Override
		public void onEnd(StreamedCall.Completion completion) {
		}

		@Override
		public void onFailure(String reason) {
		}

	}

	/**
	 * Records the notifications.
	 */
	private final class RecordingListener implements StreamedCall.Listener {

		private final ConnectionPool connections;

		private RecordingListener(ConnectionPool connections) {
			this.connections = connections;
		}

		@Override
		public boolean onHead(ClientResponse response) {
			StreamedCallTests.this.notifications.add(Integer.toString(response.getResponseCode()));
			return true;
		}

		@Override
		public boolean canAccept() {
			return true;
		}

		@Override
		public void onData(byte[] bytes) {
			StreamedCallTests.this.notifications.add(new String(bytes, StandardCharsets.UTF_8));
		}

		@Override
		public void onEnd(StreamedCall.Completion completion) {
			if (completion.isReusable()) {
				this.connections.release(completion.connection());
			}
			StreamedCallTests.this.notifications.add(completion.isReusable() ? "ended reusable" : "ended");
		}

		@Override
		public void onFailure(String reason) {
			StreamedCallTests.this.notifications.add("failed");
		}

	}

}
