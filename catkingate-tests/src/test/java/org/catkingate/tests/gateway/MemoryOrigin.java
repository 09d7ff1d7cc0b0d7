package org.catkingate.tests.gateway;

import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.catkingate.model.Digest;
import org.catkingate.model.ModelName;
import org.catkingate.model.registry.PieceDigests;
import org.catkingate.runtime.staging.PieceOrigin;

/**
 * An origin of weights in memory, which sends every fifth piece wrong the first time.
 * Safe for use by any thread.
 */
final class MemoryOrigin implements PieceOrigin {

	static final int PIECES = 16;

	private static final int PIECE_BYTES = 1000;

	private static final int WRONG = 5;

	private final AtomicInteger sent = new AtomicInteger();

	private final AtomicInteger refused = new AtomicInteger();

	private volatile int reachableUntil = Integer.MAX_VALUE;

	private static byte[] bytes(long version, int index) {
		byte[] bytes = new byte[PIECE_BYTES];
		new Random(version * PIECES + index).nextBytes(bytes);
		return bytes;
	}

	static PieceDigests version(ModelName model, long version) {
		List<Digest> digests = new ArrayList<>();
		for (int i = 0; i < PIECES; i++) {
			digests.add(Digest.of(bytes(version, i)));
		}
		return new PieceDigests(model, version, PIECE_BYTES, digests);
	}

	/**
	 * Refuses all calls once it has sent some pieces.
	 * @param pieces how many
	 */
	void endAfter(int pieces) {
		this.reachableUntil = pieces;
	}

	void returnAgain() {
		this.reachableUntil = Integer.MAX_VALUE;
	}

	int callsRefused() {
		return this.refused.get();
	}

	private boolean hasEnded() {
		return this.sent.get() >= this.reachableUntil;
	}

	private <T> CompletableFuture<T> refusal() {
		this.refused.incrementAndGet();
		return CompletableFuture.failedFuture(new ConnectException("Connection refused"));
	}

	int piecesSent() {
		return this.sent.get();
	}

	@Override
	public CompletableFuture<PieceDigests> digests(ModelName model, long version) {
		return hasEnded() ? refusal() : CompletableFuture.completedFuture(version(model, version));
	}

	@Override
	public CompletableFuture<byte[]> piece(ModelName model, long version, int index) {
		if (hasEnded()) {
			return refusal();
		}
		byte[] bytes = bytes(version, index);
		if (this.sent.incrementAndGet() % WRONG == 0) {
			bytes[0]++;
		}
		return CompletableFuture.completedFuture(bytes);
	}

}
