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
 * An in-memory origin of weights that corrupts every fifth piece it sends. Safe for use
 * by any thread.
 */
final class InMemoryOrigin implements PieceOrigin {

	static final int PIECE_COUNT = 16;

	private static final int PIECE_BYTES = 1000;

	private static final int CORRUPTION_INTERVAL = 5;

	private final AtomicInteger sent = new AtomicInteger();

	private final AtomicInteger failedCalls = new AtomicInteger();

	private volatile int failsAfterPieces = Integer.MAX_VALUE;

	private static byte[] bytes(long version, int index) {
		byte[] bytes = new byte[PIECE_BYTES];
		new Random(version * PIECE_COUNT + index).nextBytes(bytes);
		return bytes;
	}

	static PieceDigests version(ModelName model, long version) {
		List<Digest> digests = new ArrayList<>();
		for (int i = 0; i < PIECE_COUNT; i++) {
			digests.add(Digest.of(bytes(version, i)));
		}
		return new PieceDigests(model, version, PIECE_BYTES, digests);
	}

	/**
	 * Makes all calls fail once a number of pieces has been sent.
	 * @param pieces the number of pieces
	 */
	void failAfter(int pieces) {
		this.failsAfterPieces = pieces;
	}

	void recover() {
		this.failsAfterPieces = Integer.MAX_VALUE;
	}

	int failedCallCount() {
		return this.failedCalls.get();
	}

	private boolean isUnreachable() {
		return this.sent.get() >= this.failsAfterPieces;
	}

	private <T> CompletableFuture<T> failedCall() {
		this.failedCalls.incrementAndGet();
		return CompletableFuture.failedFuture(new ConnectException("Connection refused"));
	}

	int piecesSent() {
		return this.sent.get();
	}

	@Override
	public CompletableFuture<PieceDigests> digests(ModelName model, long version) {
		return isUnreachable() ? failedCall() : CompletableFuture.completedFuture(version(model, version));
	}

	@Override
	public CompletableFuture<byte[]> piece(ModelName model, long version, int index) {
		if (isUnreachable()) {
			return failedCall();
		}
		byte[] bytes = bytes(version, index);
		if (this.sent.incrementAndGet() % CORRUPTION_INTERVAL == 0) {
			bytes[0]++;
		}
		return CompletableFuture.completedFuture(bytes);
	}

}
