package org.catkingate.gateway;

import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.xnio.XnioWorker;

import org.catkingate.decisions.pieces.VersionTimes;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;
import org.catkingate.model.ModelName;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.registry.PieceDigests;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.http.IoThreads;
import org.catkingate.runtime.staging.PeerPieceClient;
import org.catkingate.runtime.staging.PieceOrigin;
import org.catkingate.wire.ConnectionListener;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.FrameTransport;
import org.catkingate.wire.HandshakeMessage;
import org.catkingate.wire.Message;
import org.catkingate.wire.SharedKey;
import org.catkingate.wire.WeightsMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PieceCache}.
 */
class PieceCacheTests {

	private static final SharedKey KEY = SharedKey.of("only-for-these-tests");

	private static final ModelName MODEL = new ModelName("m");

	private static final int PIECES = 9;

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private final TestOrigin origin = new TestOrigin();

	private volatile List<FrameConnection> upstreams = List.of();

	private PeerPieceClient pieceClient;

	private XnioWorker worker;

	private PieceCache cache;

	@BeforeEach
	void start() throws Exception {
		this.worker = IoThreads.start("pieces", 1);
		this.pieceClient = PeerPieceClient.create(this.worker.getIoThread(), MonotonicClock.system());
		this.cache = new PieceCache(this.pieceClient, (piece) -> this.upstreams, (gateway) -> true, () -> 1,
				(model, version) -> VersionTimes.of(Long.MAX_VALUE, 1), () -> Optional.of(this.origin),
				MonotonicClock.system(), this.worker.getIoThread());
	}

	@AfterEach
	void stop() {
		this.worker.shutdownNow();
	}

	private PieceDigests requestDigests() throws Exception {
		CompletableFuture<PieceDigests> digests = new CompletableFuture<>();
		this.worker.getIoThread().execute(() -> this.cache.digests(MODEL, 1).thenAccept(digests::complete));
		return digests.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
	}

	@Test
	void prefetchesAllPiecesAfterTheDigestsWereRequested() throws Exception {
		requestDigests();
		Awaitility.await().atMost(TIMEOUT).untilAsserted(() -> assertThat(this.origin.readPieces).hasSize(PIECES));
	}

	@Test
	void continuesPrefetchingWhenTheOriginIsReachableAgain() throws Exception {
		this.origin.lastReachablePiece = 3;
		requestDigests();
		Awaitility.await().atMost(TIMEOUT).untilAsserted(() -> assertThat(this.origin.readPieces).hasSize(4));
		this.origin.lastReachablePiece = PIECES;
		Awaitility.await().atMost(TIMEOUT).untilAsserted(() -> assertThat(this.origin.readPieces).hasSize(PIECES));
	}

	@Nested
	class AnUpstreamGateway {

		private final AtomicInteger pieceRequests = new AtomicInteger();

		private FrameTransport gateway;

		@AfterEach
		void stop() {
			this.gateway.close();
		}

		private void connect(BiConsumer<FrameConnection, WeightsMessage.ChunkRequest> onPieceRequest) throws Exception {
			this.gateway = FrameTransport.create(1, KEY, identity("upstream"));
			InetSocketAddress address = this.gateway.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
					new TestListener((connection, message) -> {
						if (message instanceof WeightsMessage.VersionDigestsRequest) {
							connection.send(new WeightsMessage.VersionDigests(MODEL, 1, 1, TestOrigin.digests()));
						}
						else if (message instanceof WeightsMessage.ChunkRequest request) {
							this.pieceRequests.incrementAndGet();
							onPieceRequest.accept(connection, request);
						}
					}));
			TestListener client = new TestListener((connection, message) -> PieceCacheTests.this.pieceClient
				.onReceived(connection, (WeightsMessage) message));
			FrameTransport.createOn(PieceCacheTests.this.worker, KEY, identity("self")).connect(address, client, () -> {
			});
			PieceCacheTests.this.upstreams = List.of(client.opened.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
		}

		private static HandshakeMessage.PeerIdentity identity(String name) {
			return new HandshakeMessage.PeerIdentity(new InstanceId(name), Role.ENTRY, 1, new DataCentreName("dc"),
					new RegionName("region"));
		}

		// Guards against gateways that take an upstream gateway that waits for a slow
		// origin for a failed one, and ask the origin for the same pieces.
		@Test
		void thatStatesThatItWaitsIsNotReplacedByTheOrigin() throws Exception {
			long start = System.nanoTime();
			connect((connection, request) -> {
				for (int i = 1; i <= 8; i++) {
					CompletableFuture.delayedExecutor(250 * i, TimeUnit.MILLISECONDS)
						.execute(
								() -> connection.send(new WeightsMessage.RequestsPending(List.of(request.chunk().hex()),
										List.of(request.chunk().hex()))));
				}
				CompletableFuture.delayedExecutor(2100, TimeUnit.MILLISECONDS)
					.execute(() -> connection.send(new WeightsMessage.ChunkSlice(request.chunk(), 0,
							TestOrigin.bytes(TestOrigin.digests().indexOf(request.chunk())))));
			});
			requestDigests();
			Awaitility.await().atMost(TIMEOUT).until(() -> this.pieceRequests.get() == PIECES);
			assertThat(Duration.ofNanos(System.nanoTime() - start)).isGreaterThan(Duration.ofSeconds(2));
			assertThat(PieceCacheTests.this.origin.readPieces).isEmpty();
		}

		// Guards against pieces that wait for a gateway whose own link to the origin is
		// down.
		@Test
		void thatCannotReadTheOriginAlthoughOthersCanIsReplaced() throws Exception {
			connect((connection, request) -> {
				for (int i = 0; i <= 20; i++) {
					CompletableFuture.delayedExecutor(100 * i, TimeUnit.MILLISECONDS)
						.execute(
								() -> connection.send(new WeightsMessage.RequestsPending(List.of(request.chunk().hex()),
										List.of(request.chunk().hex()))));
				}
			});
			PieceCacheTests.this.worker.getIoThread()
				.executeAtInterval(PieceCacheTests.this.pieceClient::recordOriginRead, 100, TimeUnit.MILLISECONDS);
			requestDigests();
			Awaitility.await()
				.atMost(Duration.ofSeconds(2))
				.untilAsserted(() -> assertThat(PieceCacheTests.this.origin.readPieces).isNotEmpty());
		}

		// Guards against a version that waits for a gateway that froze halfway.
		@Test
		void thatIsSilentIsReplacedWithinASecond() throws Exception {
			connect((connection, request) -> {
			});
			requestDigests();
			Awaitility.await().atMost(TIMEOUT).until(() -> this.pieceRequests.get() > 0);
			Awaitility.await()
				.atMost(Duration.ofSeconds(1))
				.pollInterval(Duration.ofMillis(10))
				.untilAsserted(() -> assertThat(PieceCacheTests.this.origin.readPieces).isNotEmpty());
		}

	}

	/**
	 * A listener that passes messages on.
	 */
	private static final class TestListener implements ConnectionListener {

		private final CompletableFuture<FrameConnection> opened = new CompletableFuture<>();

		private final BiConsumer<FrameConnection, Message> onMessage;

		private TestListener(BiConsumer<FrameConnection, Message> onMessage) {
			this.onMessage = onMessage;
		}

		@Override
		public void onOpened(FrameConnection connection) {
			this.opened.complete(connection);
		}

		@Override
		public void onReceived(FrameConnection connection, Message message) {
			this.onMessage.accept(connection, message);
		}

		@Override
		public void onClosed(FrameConnection connection, String reason) {
			// nothing to do
		}

	}

	private static final class TestOrigin implements PieceOrigin {

		private final Set<Integer> readPieces = ConcurrentHashMap.newKeySet();

		private volatile int lastReachablePiece = PIECES;

		private static byte[] bytes(int index) {
			return new byte[] { (byte) index };
		}

		private static List<Digest> digests() {
			return IntStream.range(0, PIECES).mapToObj((index) -> Digest.of(bytes(index))).toList();
		}

		@Override
		public CompletableFuture<PieceDigests> readDigests(ModelName model, long version) {
			return CompletableFuture.completedFuture(new PieceDigests(model, version, 1, digests()));
		}

		@Override
		public CompletableFuture<byte[]> readPiece(ModelName model, long version, int index) {
			if (index > this.lastReachablePiece) {
				return CompletableFuture.failedFuture(new ConnectException("Connection refused"));
			}
			this.readPieces.add(index);
			return CompletableFuture.completedFuture(bytes(index));
		}

	}

}
