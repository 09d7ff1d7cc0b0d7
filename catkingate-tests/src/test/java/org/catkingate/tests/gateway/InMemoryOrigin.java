package org.catkingate.tests.gateway;

import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.catkingate.model.Digest;
import org.catkingate.model.ModelName;
import org.catkingate.model.registry.PieceDigests;
import org.catkingate.runtime.staging.PieceOrigin;

/**
 * An in-memory origin of weights, which corrupts every fifth piece it sends unless it is
 * throttled. Safe for use by any thread.
 */
final class InMemoryOrigin implements PieceOrigin {

	static final int PIECE_COUNT = 16;

	private static final int PIECE_BYTES = 1000;

	private static final int CORRUPTION_INTERVAL = 5;

	private final AtomicInteger sentPieces = new AtomicInteger();

	private final AtomicInteger failedCalls = new AtomicInteger();

	private final Map<String, Integer> sendCounts = new ConcurrentHashMap<>();

	private final long millisPerPiece;

	private long linkFreeAtNanos = System.nanoTime();

	private volatile int pieceLimit = Integer.MAX_VALUE;

	InMemoryOrigin() {
		this(0);
	}

	private InMemoryOrigin(long millisPerPiece) {
		this.millisPerPiece = millisPerPiece;
	}

	/**
	 * Creates an origin whose network link transfers one piece after the other, and which
	 * corrupts none.
	 * @param millisPerPiece the time for a piece, in milliseconds
	 * @return the origin
	 */
	static InMemoryOrigin throttled(long millisPerPiece) {
		return new InMemoryOrigin(millisPerPiece);
	}

	/**
	 * Returns how often each piece of a version has been sent.
	 * @param version the version
	 * @return the numbers of the pieces that have been sent at all
	 */
	List<Integer> sendCounts(long version) {
		return this.sendCounts.entrySet()
			.stream()
			.filter((piece) -> piece.getKey().startsWith(version + "/"))
			.map(Map.Entry::getValue)
			.toList();
	}

	private synchronized long reserveLinkNanos() {
		long now = System.nanoTime();
		this.linkFreeAtNanos = Math.max(now, this.linkFreeAtNanos) + TimeUnit.MILLISECONDS.toNanos(this.millisPerPiece);
		return this.linkFreeAtNanos - now;
	}

	private static byte[] pieceBytes(long version, int index) {
		byte[] bytes = new byte[PIECE_BYTES];
		new Random(version * PIECE_COUNT + index).nextBytes(bytes);
		return bytes;
	}

	static PieceDigests pieceDigests(ModelName model, long version) {
		List<Digest> digests = new ArrayList<>();
		for (int i = 0; i < PIECE_COUNT; i++) {
			digests.add(Digest.of(pieceBytes(version, i)));
		}
		return new PieceDigests(model, version, PIECE_BYTES, digests);
	}

	/**
	 * Makes all calls fail once a number of pieces has been sent.
	 * @param pieces the number of pieces
	 */
	void failAfterPieces(int pieces) {
		this.pieceLimit = pieces;
	}

	void recover() {
		this.pieceLimit = Integer.MAX_VALUE;
	}

	int failedCallCount() {
		return this.failedCalls.get();
	}

	private boolean isUnreachable() {
		return this.sentPieces.get() >= this.pieceLimit;
	}

	private <T> CompletableFuture<T> failCall() {
		this.failedCalls.incrementAndGet();
		return CompletableFuture.failedFuture(new ConnectException("Connection refused"));
	}

	int sentPieceCount() {
		return this.sentPieces.get();
	}

	@Override
	public CompletableFuture<PieceDigests> readDigests(ModelName model, long version) {
		return isUnreachable() ? failCall() : CompletableFuture.completedFuture(pieceDigests(model, version));
	}

	@Override
	public CompletableFuture<byte[]> readPiece(ModelName model, long version, int index) {
		if (isUnreachable()) {
			return failCall();
		}
		byte[] bytes = pieceBytes(version, index);
		this.sendCounts.merge(version + "/" + index, 1, Integer::sum);
		if (this.millisPerPiece > 0) {
			this.sentPieces.incrementAndGet();
			return CompletableFuture.supplyAsync(() -> bytes,
					CompletableFuture.delayedExecutor(reserveLinkNanos(), TimeUnit.NANOSECONDS));
		}
		if (this.sentPieces.incrementAndGet() % CORRUPTION_INTERVAL == 0) {
			bytes[0]++;
		}
		return CompletableFuture.completedFuture(bytes);
	}

}
