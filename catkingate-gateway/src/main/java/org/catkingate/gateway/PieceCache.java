package org.catkingate.gateway;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

import org.catkingate.model.Digest;
import org.catkingate.model.ModelName;
import org.catkingate.model.registry.PieceDigests;
import org.catkingate.runtime.staging.PieceExchange;
import org.catkingate.runtime.staging.PieceOrigin;
import org.catkingate.wire.FrameConnection;

/**
 * Verified pieces of the newest weights, fetched once when a loader first asks: from a
 * gateway nearer to the origin, else from the origin. Used by the traffic thread only.
 */
final class PieceCache {

	private static final Logger logger = LoggerFactory.getLogger(PieceCache.class);

	/** How many versions of a model are kept: the newest and the one before. */
	private static final int KEPT_VERSIONS = 2;

	/** How many pieces are read from the origin at a time; its link is the limit. */
	private static final int MAX_CONCURRENT_ORIGIN_READS = 4;

	/** How often a piece is read from the origin before its asker is refused. */
	private static final int MAX_ORIGIN_ATTEMPTS = 3;

	/** How many pieces that nobody has asked for yet are read at a time. */
	private static final int CONCURRENT_PREFETCHES = 2;

	/** The wait after a piece could not be read ahead, in milliseconds. */
	private static final long PREFETCH_RETRY_MILLIS = 300;

	private final Map<String, CompletableFuture<CachedVersion>> versions = new HashMap<>();

	private final Map<Digest, PieceLocation> locations = new HashMap<>();

	private final Map<ModelName, Long> newestVersions = new HashMap<>();

	private final Deque<Runnable> waitingReads = new ArrayDeque<>();

	private final PieceExchange exchange;

	private final Supplier<Optional<FrameConnection>> upstream;

	private final Supplier<Optional<PieceOrigin>> origin;

	private final XnioIoThread thread;

	private int readsInProgress;

	/**
	 * Starts empty.
	 * @param exchange asks other gateways
	 * @param upstream the gateway to ask first, empty to read the origin
	 * @param origin the origin, empty while none is known
	 * @param thread the traffic thread
	 */
	PieceCache(PieceExchange exchange, Supplier<Optional<FrameConnection>> upstream,
			Supplier<Optional<PieceOrigin>> origin, XnioIoThread thread) {
		this.exchange = exchange;
		this.upstream = upstream;
		this.origin = origin;
		this.thread = thread;
	}

	CompletableFuture<PieceDigests> digests(ModelName model, long version) {
		return cachedVersion(model, version).thenApply(CachedVersion::digests);
	}

	private CompletableFuture<CachedVersion> cachedVersion(ModelName model, long version) {
		String key = key(model, version);
		CompletableFuture<CachedVersion> known = this.versions.get(key);
		if (known != null) {
			return known;
		}
		CompletableFuture<CachedVersion> coming = new CompletableFuture<>();
		this.versions.put(key, coming);
		CompletableFuture<PieceDigests> near = this.upstream.get()
			.map((link) -> this.exchange.digests(link, model, version))
			.orElseGet(() -> CompletableFuture.failedFuture(new IOException("no gateway is nearer to the origin")));
		near.handle((digests, failure) -> (failure != null) ? readOriginDigests(model, version)
				: CompletableFuture.completedFuture(digests))
			.thenCompose((digests) -> digests)
			.whenCompleteAsync((digests, failure) -> store(key, coming, digests, failure), this.thread);
		return coming;
	}

	private CompletableFuture<PieceDigests> readOriginDigests(ModelName model, long version) {
		return this.origin.get()
			.map((open) -> open.digests(model, version))
			.orElseGet(() -> CompletableFuture.failedFuture(new IOException("no origin of weights is published")));
	}

	private static String key(ModelName model, long version) {
		return model + "/" + version;
	}

	private void store(String key, CompletableFuture<CachedVersion> coming, PieceDigests digests, Throwable failure) {
		if (failure != null) {
			this.versions.remove(key);
			logger.atWarn()
				.addKeyValue("event", "digests-missing")
				.addKeyValue("version", key)
				.addKeyValue("reason", failure.getMessage())
				.log("the digests of a version could not be read");
			coming.completeExceptionally(failure);
			return;
		}
		CachedVersion shelf = new CachedVersion(digests);
		for (int i = 0; i < digests.digests().size(); i++) {
			this.locations.put(digests.digests().get(i), new PieceLocation(shelf, i));
		}
		evict(digests.model(), digests.version() - KEPT_VERSIONS);
		this.newestVersions.merge(digests.model(), digests.version(), Math::max);
		coming.complete(shelf);
		for (int i = 0; i < CONCURRENT_PREFETCHES; i++) {
			prefetch(shelf, i);
		}
	}

	private void evict(ModelName model, long version) {
		CompletableFuture<CachedVersion> old = this.versions.remove(key(model, version));
		if (old != null && old.isDone() && !old.isCompletedExceptionally()) {
			CachedVersion dropped = old.join();
			this.locations.values().removeIf((place) -> place.version() == dropped);
		}
	}

	/**
	 * Gets a piece.
	 * @param digest its digest
	 * @return the piece, or empty if it belongs to no known version
	 */
	Optional<CompletableFuture<byte[]>> piece(Digest digest) {
		PieceLocation place = this.locations.get(digest);
		if (place == null) {
			return Optional.empty();
		}
		CompletableFuture<byte[]> known = place.version().pieces.get(place.index());
		if (known != null && !known.isCompletedExceptionally()) {
			return Optional.of(known);
		}
		CompletableFuture<byte[]> coming = fetch(place);
		place.version().pieces.put(place.index(), coming);
		return Optional.of(coming);
	}

	/*
	 * Loaders ask at the speed of their own links; the origin may be away before they
	 * come to the last piece.
	 */
	private void prefetch(CachedVersion shelf, int index) {
		PieceDigests version = shelf.digests();
		if (index >= version.digests().size() || this.newestVersions.get(version.model()) > version.version()) {
			return;
		}
		piece(version.digests().get(index)).ifPresent((piece) -> piece.whenCompleteAsync((bytes, failure) -> {
			if (failure == null) {
				prefetch(shelf, index + CONCURRENT_PREFETCHES);
			}
			else {
				this.thread.executeAfter(() -> prefetch(shelf, index), PREFETCH_RETRY_MILLIS, TimeUnit.MILLISECONDS);
			}
		}, this.thread));
	}

	private CompletableFuture<byte[]> fetch(PieceLocation place) {
		CompletableFuture<byte[]> piece = new CompletableFuture<>();
		Optional<FrameConnection> near = this.upstream.get();
		if (near.isEmpty()) {
			readOrigin(place, 1, piece);
			return piece;
		}
		this.exchange.piece(near.get(), place.version().digests(), place.index())
			.whenCompleteAsync((bytes, failure) -> {
				if (failure == null) {
					piece.complete(bytes);
				}
				else {
					readOrigin(place, 1, piece);
				}
			}, this.thread);
		return piece;
	}

	private void readOrigin(PieceLocation place, int tryNumber, CompletableFuture<byte[]> piece) {
		Optional<PieceOrigin> open = this.origin.get();
		if (open.isEmpty()) {
			piece.completeExceptionally(new IOException("no origin of weights is published"));
			return;
		}
		if (this.readsInProgress >= MAX_CONCURRENT_ORIGIN_READS) {
			this.waitingReads.add(() -> readOrigin(place, tryNumber, piece));
			return;
		}
		this.readsInProgress++;
		PieceDigests version = place.version().digests();
		open.get().piece(version.model(), version.version(), place.index()).whenCompleteAsync((bytes, failure) -> {
			this.readsInProgress--;
			if (failure == null && Digest.of(bytes).equals(version.digests().get(place.index()))) {
				piece.complete(bytes);
			}
			else {
				retryOrFail(place, tryNumber, piece, failure);
			}
			Runnable next = this.waitingReads.poll();
			if (next != null) {
				next.run();
			}
		}, this.thread);
	}

	private void retryOrFail(PieceLocation place, int tryNumber, CompletableFuture<byte[]> piece, Throwable failure) {
		PieceDigests version = place.version().digests();
		logger.atWarn()
			.addKeyValue("event", "piece-unusable")
			.addKeyValue("version", key(version.model(), version.version()))
			.addKeyValue("piece", place.index())
			.addKeyValue("try", tryNumber)
			.addKeyValue("reason", (failure != null) ? failure.getMessage() : "wrong bytes")
			.log("a piece of the origin's cannot be used");
		if (tryNumber < MAX_ORIGIN_ATTEMPTS) {
			readOrigin(place, tryNumber + 1, piece);
			return;
		}
		if (failure == null) {
			// the digest itself may be wrong; the next question reads the digests anew
			this.versions.remove(key(version.model(), version.version()));
			this.locations.values().removeIf((held) -> held.version() == place.version());
		}
		piece.completeExceptionally(new IOException("the origin sends no piece with this digest", failure));
	}

	/**
	 * The pieces of one version.
	 */
	private static final class CachedVersion {

		private final Map<Integer, CompletableFuture<byte[]>> pieces = new HashMap<>();

		private final PieceDigests digests;

		private CachedVersion(PieceDigests digests) {
			this.digests = digests;
		}

		private PieceDigests digests() {
			return this.digests;
		}

	}

	/**
	 * Where a piece belongs.
	 *
	 * @param version the version
	 * @param index the number of the piece
	 */
	private record PieceLocation(CachedVersion version, int index) {

	}

}
