package org.catkingate.tests.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.registry.CallKind;
import org.catkingate.platform.PlatformHeaderCodec;
import org.catkingate.runtime.calls.CallerHead;
import org.catkingate.runtime.calls.HeaderCodec;
import org.catkingate.runtime.calls.MalformedHeadException;
import org.catkingate.runtime.calls.RunnerHead;
import org.catkingate.runtime.calls.RunnerResponseHead;
import org.catkingate.tests.harness.ChildProcess;
import org.catkingate.tests.harness.FreePorts;
import org.catkingate.wire.ConnectionListener;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.FrameTransport;
import org.catkingate.wire.HandshakeMessage;
import org.catkingate.wire.Message;
import org.catkingate.wire.SharedKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of many callers that come at the same time, as after a restart of all machines,
 * each on a connection of its own.
 */
class CallerBurstTests {

	/**
	 * Longer than a shutdown without a notice period waits for the traffic thread before
	 * it closes idle connections, and shorter than until it ends.
	 */
	private static final long HELD_UP_MILLIS = 560;

	private static final Duration TIMEOUT = Duration.ofSeconds(30);

	private static final int OPEN_FILES = 400;

	private static final int CALLERS = 300;

	/** The time that a gateway on a slow machine spends on one request. */
	private static final long REQUEST_MILLIS = 5;

	private static final int CALLER_THREADS = 8;

	/** All threads together bring twice the requests that the gateway can handle. */
	private static final long CALLER_PAUSE_MILLIS = 20;

	/** Far more requests than are read between two events of a peer's connection. */
	private static final int MAX_REQUESTS_BEFORE_PEER = 150;

	private static final String SETTINGS = """
			[process]
			instance = process-1
			data-centre = a
			region = r
			[callers]
			listen = 127.0.0.1:%d
			[operators]
			listen = 127.0.0.1:%d
			""";

	private static final String ENTRY_SETTINGS = """
			[platform]
			configuration-url = http://127.0.0.1:1
			instances-url = http://127.0.0.1:1
			[peers]
			shared-key = only-for-these-tests
			""";

	@TempDir
	private Path directory;

	private final List<RawCaller> callers = new ArrayList<>();

	@AfterEach
	void disconnectCallers() throws IOException {
		for (RawCaller caller : this.callers) {
			caller.close();
		}
	}

	// Guards against callers whose idle connections use up all file descriptors, so that
	// a process neither accepts others nor connects to runners (RECOVER).
	@ParameterizedTest
	@ValueSource(strings = { "gateway", "entry" })
	void isServedByAProcessWithFewerFileDescriptorsThanThereAreCallers(String role) throws Exception {
		InetSocketAddress address = FreePorts.next();
		InetSocketAddress operators = FreePorts.next();
		Path settings = Files.writeString(this.directory.resolve(role + ".ini"),
				SETTINGS.formatted(address.getPort(), operators.getPort())
						+ (role.equals("entry") ? ENTRY_SETTINGS : gatewaySettings()));
		try (ChildProcess process = ChildProcess.start(this.directory, role,
				withOpenFiles(OPEN_FILES, ChildProcess.commandLine("catkingate", role, settings.toString())))) {
			Awaitility.await().atMost(ChildProcess.TIMEOUT).until(() -> isConnectable(address));
			for (int i = 0; i < 2 * OPEN_FILES; i++) {
				RawCaller caller = RawCaller.connectTo(address);
				this.callers.add(caller);
				assertThat(caller.post("r" + i, "/songs/1", "hello").readResponse()).as("caller " + i)
					.startsWith("HTTP/1.1 ");
			}
			assertThat(isConnectable(operators)).isTrue();
			assertThat(process.output()).doesNotContain("Too many open files");
		}
	}

	private static String gatewaySettings() {
		return """
				[data-centres]
				a = r
				[registry]
				url = http://127.0.0.1:1
				[peers]
				listen = 127.0.0.1:%d
				seeds =
				shared-key = only-for-these-tests
				[keys]
				certain-ms = 5000
				[retries]
				ratio = 0.2
				free = 100
				window-s = 10
				[weights]
				change-ms = 8000
				""".formatted(FreePorts.next().getPort());
	}

	private static List<String> withOpenFiles(int count, List<String> command) {
		return Stream.concat(Stream.of("bash", "-c", "ulimit -n " + count + "; exec \"$@\"", "bash"), command.stream())
			.toList();
	}

	private static boolean isConnectable(InetSocketAddress address) {
		try (RawCaller caller = RawCaller.connectTo(address)) {
			return caller.send("GET /readyz HTTP/1.1\r\nHost: gateway\r\n\r\n").readResponse().startsWith("HTTP/1.1 ");
		}
		catch (IOException ex) {
			return false;
		}
	}

	// Guards against a burst of callers that keeps a gateway from its other connections
	// until all of them are answered: weights, registry and other gateways (RECOVER).
	@Test
	void doesNotDelayTheConnectionsOfOtherProcesses() throws Exception {
		SlowCodec codec = new SlowCodec();
		InetSocketAddress peerAddress = FreePorts.next();
		CountDownLatch opened = new CountDownLatch(1);
		try (RecordingRunner runner = RecordingRunner.start();
				TestGateway gateway = TestGateway.start(
						new TestGateway.InMemoryRegistry(TestGateway.items(CallKind.IDEMPOTENT, runner.address())),
						peerAddress, codec);
				FrameTransport peer = FrameTransport.create(1, SharedKey.of("only-for-these-tests"),
						new HandshakeMessage.PeerIdentity(new InstanceId("loader-1"), Role.AGENT, 1,
								new DataCentreName("a"), new RegionName("r")))) {
			this.callers.add(gateway.connect().post("first", "/songs/1", "hello"));
			codec.awaitBlocked();
			for (int i = 0; i < CALLERS; i++) {
				this.callers.add(gateway.connect().post("r" + i, "/songs/1", "hello"));
			}
			peer.connect(peerAddress, new OpenListener(opened), () -> {
			});
			codec.unblock();
			assertThat(opened.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
			assertThat(codec.requests.get()).as("requests read before the connection of a peer was open")
				.isLessThan(MAX_REQUESTS_BEFORE_PEER);
		}
	}

	// Guards against a gateway that does nothing but begin to read new connections as
	// long
	// as more come than it can handle, and reaches neither runners nor the registry
	// (RECOVER).
	@Test
	void doesNotDelayRequestsInProgressAsLongAsItLasts() throws Exception {
		SlowCodec codec = new SlowCodec();
		codec.unblock();
		AtomicBoolean ended = new AtomicBoolean();
		try (RecordingRunner runner = RecordingRunner.start();
				TestGateway gateway = TestGateway.start(
						new TestGateway.InMemoryRegistry(TestGateway.items(CallKind.IDEMPOTENT, runner.address())),
						FreePorts.next(), codec);
				RawCaller kept = gateway.connect()) {
			List<CompletableFuture<Void>> burst = Stream.generate(() -> CompletableFuture.runAsync(() -> {
				while (!ended.get()) {
					connectAndLeave(gateway);
				}
			}, (task) -> new Thread(task, "callers").start())).limit(CALLER_THREADS).toList();
			try {
				Awaitility.await().atMost(TIMEOUT).until(() -> codec.requests.get() > CALLERS);
				assertThat(kept.post("kept", "/songs/1", "hello").readResponse()).startsWith("HTTP/1.1 200 ");
			}
			finally {
				ended.set(true);
				CompletableFuture.allOf(burst.toArray(CompletableFuture[]::new))
					.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
			}
		}
	}

	// Guards against a gateway that is slow for a while, as after its start, and closes
	// connections that have waited, although their callers still do (LOST).
	@Test
	void isAnsweredByAProcessThatWasSlowForAWhile() throws Exception {
		SlowCodec codec = new SlowCodec();
		try (RecordingRunner runner = RecordingRunner.start();
				TestGateway gateway = TestGateway.start(
						new TestGateway.InMemoryRegistry(TestGateway.items(CallKind.IDEMPOTENT, runner.address())),
						FreePorts.next(), codec)) {
			this.callers.add(gateway.connect().post("first", "/songs/1", "hello"));
			codec.awaitBlocked();
			for (int i = 0; i < CALLERS; i++) {
				this.callers.add(gateway.connect().post("r" + i, "/no-route", "hello"));
			}
			codec.unblock();
			for (int i = 0; i <= CALLERS; i++) {
				assertThat(this.callers.get(i).readResponse()).as("caller " + i).startsWith("HTTP/1.1 ");
			}
		}
	}

	private static void connectAndLeave(TestGateway gateway) {
		try (RawCaller caller = gateway.connect()) {
			caller.post("burst", "/no-route", "hello");
			Thread.sleep(CALLER_PAUSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (Exception ex) {
			// the gateway has closed the connection
		}
	}

	// Guards against requests that have arrived while the process was held up, and whose
	// connections are reset at the end of the notice period (LOST).
	@Test
	void isToldThatItsRequestHasNotRunByAProcessThatShutsDown() throws Exception {
		SlowCodec codec = new SlowCodec();
		try (TestGateway gateway = TestGateway.start(
				new TestGateway.InMemoryRegistry(TestGateway.items(CallKind.NON_IDEMPOTENT)), FreePorts.next(), codec);
				RawCaller unused = gateway.connect();
				RawCaller first = gateway.connect()) {
			first.post("first", "/songs/1", "hello");
			codec.awaitBlocked();
			CompletableFuture<Void> shutdown = CompletableFuture.runAsync(gateway::close);
			unused.post("unread", "/songs/1", "hello");
			Thread.sleep(HELD_UP_MILLIS);
			codec.unblock();
			assertThat(unused.readResponse()).startsWith("HTTP/1.1 503 ");
			shutdown.get(10, TimeUnit.SECONDS);
		}
	}

	/**
	 * A codec that takes a while for each request, and blocks at the first one until it
	 * is released.
	 */
	private static final class SlowCodec implements HeaderCodec {

		private final HeaderCodec codec = new PlatformHeaderCodec();

		private final AtomicInteger requests = new AtomicInteger();

		private final CompletableFuture<Void> blocked = new CompletableFuture<>();

		private final CountDownLatch unblocked = new CountDownLatch(1);

		private void awaitBlocked() throws Exception {
			this.blocked.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
		}

		private void unblock() {
			this.unblocked.countDown();
		}

		@Override
		public CallerHead readCallerHead(HeaderMap headers) throws MalformedHeadException {
			this.requests.incrementAndGet();
			this.blocked.complete(null);
			try {
				this.unblocked.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
				Thread.sleep(REQUEST_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			return this.codec.readCallerHead(headers);
		}

		@Override
		public Set<HttpString> reservedHeaders() {
			return this.codec.reservedHeaders();
		}

		@Override
		public void writeRunnerHead(HeaderMap headers, RunnerHead head) {
			this.codec.writeRunnerHead(headers, head);
		}

		@Override
		public RunnerResponseHead readResponseHead(int status, HeaderMap headers) {
			return this.codec.readResponseHead(status, headers);
		}

		@Override
		public void writeRequestId(HeaderMap headers, String requestId) {
			this.codec.writeRequestId(headers, requestId);
		}

	}

	/**
	 * A listener that waits for a connection to open.
	 *
	 * @param opened is counted down when it has
	 */
	private record OpenListener(CountDownLatch opened) implements ConnectionListener {

		@Override
		public void onOpened(FrameConnection connection) {
			this.opened.countDown();
		}

		@Override
		public void onReceived(FrameConnection connection, Message message) {
		}

		@Override
		public void onClosed(FrameConnection connection, String reason) {
		}

	}

}
