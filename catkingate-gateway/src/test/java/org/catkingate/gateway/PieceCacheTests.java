package org.catkingate.gateway;

import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.XnioWorker;

import org.catkingate.model.Digest;
import org.catkingate.model.ModelName;
import org.catkingate.model.registry.PieceDigests;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.http.IoThreads;
import org.catkingate.runtime.staging.PeerPieceClient;
import org.catkingate.runtime.staging.PieceOrigin;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PieceCache}.
 */
class PieceCacheTests {

	private static final ModelName MODEL = new ModelName("m");

	private static final int PIECES = 9;

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private final TestOrigin origin = new TestOrigin();

	private XnioWorker worker;

	private PieceCache cache;

	@BeforeEach
	void start() throws Exception {
		this.worker = IoThreads.start("pieces", 1);
		this.cache = new PieceCache(PeerPieceClient.create(this.worker.getIoThread(), MonotonicClock.system()),
				(piece) -> List.of(), (gateway) -> true, () -> Optional.of(this.origin), this.worker.getIoThread());
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

	private static final class TestOrigin implements PieceOrigin {

		private final Set<Integer> readPieces = ConcurrentHashMap.newKeySet();

		private volatile int lastReachablePiece = PIECES;

		private static byte[] bytes(int index) {
			return new byte[] { (byte) index };
		}

		@Override
		public CompletableFuture<PieceDigests> readDigests(ModelName model, long version) {
			List<Digest> digests = new ArrayList<>();
			for (int i = 0; i < PIECES; i++) {
				digests.add(Digest.of(bytes(i)));
			}
			return CompletableFuture.completedFuture(new PieceDigests(model, version, 1, digests));
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
