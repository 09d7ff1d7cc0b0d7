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
import org.catkingate.runtime.http.IoThreads;
import org.catkingate.runtime.staging.PieceExchange;
import org.catkingate.runtime.staging.PieceOrigin;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PieceCache}.
 */
class PieceCacheTests {

	private static final ModelName MODEL = new ModelName("m");

	private static final int PIECES = 9;

	private static final Duration PATIENCE = Duration.ofSeconds(10);

	private final Origin origin = new Origin();

	private XnioWorker worker;

	private PieceCache cache;

	@BeforeEach
	void start() throws Exception {
		this.worker = IoThreads.start("pieces", 1);
		this.cache = new PieceCache(PieceExchange.on(this.worker.getIoThread()), Optional::empty,
				() -> Optional.of(this.origin), this.worker.getIoThread());
	}

	@AfterEach
	void stop() {
		this.worker.shutdownNow();
	}

	private PieceDigests asked() throws Exception {
		CompletableFuture<PieceDigests> digests = new CompletableFuture<>();
		this.worker.getIoThread().execute(() -> this.cache.digests(MODEL, 1).thenAccept(digests::complete));
		return digests.get(PATIENCE.toSeconds(), TimeUnit.SECONDS);
	}

	@Test
	void readsAllPiecesOfAVersionOnceItsDigestsWereAskedFor() throws Exception {
		asked();
		Awaitility.await().atMost(PATIENCE).untilAsserted(() -> assertThat(this.origin.read).hasSize(PIECES));
	}

	@Test
	void goesOnReadingWhereItWasWhenTheOriginComesBack() throws Exception {
		this.origin.lastPiece = 3;
		asked();
		Awaitility.await().atMost(PATIENCE).untilAsserted(() -> assertThat(this.origin.read).hasSize(4));
		this.origin.lastPiece = PIECES;
		Awaitility.await().atMost(PATIENCE).untilAsserted(() -> assertThat(this.origin.read).hasSize(PIECES));
	}

	private static final class Origin implements PieceOrigin {

		private final Set<Integer> read = ConcurrentHashMap.newKeySet();

		private volatile int lastPiece = PIECES;

		private static byte[] bytes(int index) {
			return new byte[] { (byte) index };
		}

		@Override
		public CompletableFuture<PieceDigests> digests(ModelName model, long version) {
			List<Digest> digests = new ArrayList<>();
			for (int i = 0; i < PIECES; i++) {
				digests.add(Digest.of(bytes(i)));
			}
			return CompletableFuture.completedFuture(new PieceDigests(model, version, 1, digests));
		}

		@Override
		public CompletableFuture<byte[]> piece(ModelName model, long version, int index) {
			if (index > this.lastPiece) {
				return CompletableFuture.failedFuture(new ConnectException("Connection refused"));
			}
			this.read.add(index);
			return CompletableFuture.completedFuture(bytes(index));
		}

	}

}
