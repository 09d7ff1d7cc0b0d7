package org.catkingate.gateway;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

import org.catkingate.model.Digest;
import org.catkingate.model.ModelName;
import org.catkingate.model.registry.PieceDigests;
import org.catkingate.runtime.staging.PeerPieceClient;
import org.catkingate.runtime.staging.PieceOrigin;
import org.catkingate.wire.FrameConnection;

/**
 * A cache of verified pieces of the newest versions of weights. Each piece is fetched
 * once, from a gateway nearer to the origin, or else from the origin itself. The first
 * request for the digests of a version starts prefetching its pieces. Used by the traffic
 * thread only.
 */
final class PieceCache {

	private static final Logger logger = LoggerFactory.getLogger(PieceCache.class);

	/**
	 * The number of versions of a model that are kept: the newest and the previous one.
	 */
	private static final int KEPT_VERSIONS = 2;

	/**
	 * The maximum number of concurrent reads from the origin, which are limited by the
	 * bandwidth of its network link.
	 */
	private static final int MAX_CONCURRENT_ORIGIN_READS = 4;

	/** The number of reads of a piece from the origin after which the request fails. */
	private static final int MAX_ORIGIN_ATTEMPTS = 3;

	/** The number of pieces that are prefetched at the same time. */
	private static final int CONCURRENT_PREFETCHES = 4;

	/** The number of gateways that are tried before the origin. */
	private static final int MAX_UPSTREAM_ATTEMPTS = 2;

	/** The wait after a failed prefetch of a piece. */
	private static final long PREFETCH_RETRY_MILLIS = 300;

	private final Map<String, CompletableFuture<CachedVersion>> versions = new HashMap<>();

	private final Map<Digest, PieceLocation> locations = new HashMap<>();

	private final Map<ModelName, Long> newestVersions = new HashMap<>();

	private final Deque<Runnable> waitingReads = new ArrayDeque<>();

	private final PeerPieceClient pieceClient;

	private final Function<String, List<FrameConnection>> upstreams;

	private final Predicate<FrameConnection> isInRegion;

	private final Supplier<Optional<PieceOrigin>> origin;

	private final XnioIoThread thread;

	private int readsInProgress;

	/**
	 * Creates an empty cache.
	 * @param pieceClient requests pieces from other gateways
	 * @param upstreams the gateways to request a piece from, given by its version and
	 * index, in the order in which to try them; none to read from the origin
	 * @param isInRegion whether a gateway is in the region of this one
	 * @param origin the origin, empty while none is known
	 * @param thread the traffic thread
	 */
	PieceCache(PeerPieceClient pieceClient, Function<String, List<FrameConnection>> upstreams,
			Predicate<FrameConnection> isInRegion, Supplier<Optional<PieceOrigin>> origin, XnioIoThread thread) {
		this.pieceClient = pieceClient;
		this.upstreams = upstreams;
		this.isInRegion = isInRegion;
		this.origin = origin;
		this.thread = thread;
	}

	CompletableFuture<PieceDigests> digests(ModelName model, long version) {
		return cachedVersion(model, version).thenApply(CachedVersion::digests);
	}

	private CompletableFuture<CachedVersion> cachedVersion(ModelName model, long version) {
		String key = key(model, version);
		CompletableFuture<CachedVersion> cached = this.versions.get(key);
		if (cached != null) {
			return cached;
		}
		CompletableFuture<CachedVersion> pending = new CompletableFuture<>();
		this.versions.put(key, pending);
		firstSuccess(this.upstreams.apply(key).iterator(),
				(gateway) -> this.pieceClient.requestDigests(gateway, model, version),
				() -> readOriginDigests(model, version))
			.whenCompleteAsync((digests, failure) -> storeDigests(key, pending, digests, failure), this.thread);
		return pending;
	}

	/*
	 * Requests from up to MAX_UPSTREAM_ATTEMPTS gateways, each after the one before has
	 * failed, and then falls back.
	 */
	private <T> CompletableFuture<T> firstSuccess(Iterator<FrameConnection> gateways,
			Function<FrameConnection, CompletableFuture<T>> request, Supplier<CompletableFuture<T>> fallback) {
		return firstSuccess(gateways, MAX_UPSTREAM_ATTEMPTS, request, fallback);
	}

	private <T> CompletableFuture<T> firstSuccess(Iterator<FrameConnection> gateways, int attempts,
			Function<FrameConnection, CompletableFuture<T>> request, Supplier<CompletableFuture<T>> fallback) {
		if (attempts == 0 || !gateways.hasNext()) {
			return fallback.get();
		}
		return request.apply(gateways.next())
			.handleAsync(
					(response, failure) -> (failure != null) ? firstSuccess(gateways, attempts - 1, request, fallback)
							: CompletableFuture.completedFuture(response),
					this.thread)
			.thenCompose((response) -> response);
	}

	private CompletableFuture<PieceDigests> readOriginDigests(ModelName model, long version) {
		return this.origin.get()
			.map((pieceOrigin) -> pieceOrigin.readDigests(model, version))
			.orElseGet(() -> CompletableFuture.failedFuture(new IOException("no origin of weights is published")));
	}

	private static String key(ModelName model, long version) {
		return model + "/" + version;
	}

	private void storeDigests(String key, CompletableFuture<CachedVersion> pending, PieceDigests digests,
			Throwable failure) {
		if (failure != null) {
			this.versions.remove(key);
			logger.atWarn()
				.addKeyValue("event", "digests-missing")
				.addKeyValue("version", key)
				.addKeyValue("reason", failure.getMessage())
				.log("failed to read the digests of a version");
			pending.completeExceptionally(failure);
			return;
		}
		CachedVersion version = new CachedVersion(digests);
		for (int i = 0; i < digests.digests().size(); i++) {
			this.locations.put(digests.digests().get(i), new PieceLocation(version, i));
		}
		evict(digests.model(), digests.version() - KEPT_VERSIONS);
		this.newestVersions.merge(digests.model(), digests.version(), Math::max);
		pending.complete(version);
		Deque<Integer> order = prefetchOrder(digests);
		for (int i = 0; i < CONCURRENT_PREFETCHES; i++) {
			prefetchNext(version, order);
		}
	}

	/*
	 * The pieces that other gateways request from this one come first, so that the origin
	 * is read at the speed of its link, and then those that others provide.
	 */
	private Deque<Integer> prefetchOrder(PieceDigests digests) {
		Deque<Integer> own = new ArrayDeque<>();
		Deque<Integer> others = new ArrayDeque<>();
		for (int i = 0; i < digests.digests().size(); i++) {
			List<FrameConnection> sources = this.upstreams.apply(pieceKey(digests, i));
			boolean provided = !sources.isEmpty() && this.isInRegion.test(sources.get(0));
			(provided ? others : own).add(i);
		}
		own.addAll(others);
		return own;
	}

	private static String pieceKey(PieceDigests version, int index) {
		return key(version.model(), version.version()) + "/" + index;
	}

	private void evict(ModelName model, long version) {
		CompletableFuture<CachedVersion> old = this.versions.remove(key(model, version));
		if (old != null && old.isDone() && !old.isCompletedExceptionally()) {
			CachedVersion evicted = old.join();
			this.locations.values().removeIf((location) -> location.version() == evicted);
		}
	}

	/**
	 * Returns a piece, which is fetched if it is not cached.
	 * @param digest the digest of the piece
	 * @return the piece, or empty if it belongs to no known version
	 */
	Optional<CompletableFuture<byte[]>> piece(Digest digest) {
		PieceLocation location = this.locations.get(digest);
		if (location == null) {
			return Optional.empty();
		}
		CompletableFuture<byte[]> cached = location.version().pieces.get(location.index());
		if (cached != null && !cached.isCompletedExceptionally()) {
			return Optional.of(cached);
		}
		CompletableFuture<byte[]> pending = fetch(location);
		location.version().pieces.put(location.index(), pending);
		return Optional.of(pending);
	}

	/*
	 * Loaders request pieces at the speed of their own network links, and the origin may
	 * become unreachable before they request the last piece.
	 */
	private void prefetchNext(CachedVersion cached, Deque<Integer> order) {
		PieceDigests version = cached.digests();
		Integer index = order.poll();
		if (index == null || this.newestVersions.get(version.model()) > version.version()) {
			return;
		}
		piece(version.digests().get(index)).ifPresent((piece) -> piece.whenCompleteAsync((bytes, failure) -> {
			if (failure == null) {
				prefetchNext(cached, order);
				return;
			}
			order.add(index);
			this.thread.executeAfter(() -> prefetchNext(cached, order), PREFETCH_RETRY_MILLIS, TimeUnit.MILLISECONDS);
		}, this.thread));
	}

	private CompletableFuture<byte[]> fetch(PieceLocation location) {
		PieceDigests version = location.version().digests();
		return firstSuccess(this.upstreams.apply(pieceKey(version, location.index())).iterator(),
				(gateway) -> this.pieceClient.requestPiece(gateway, version, location.index()), () -> {
					CompletableFuture<byte[]> piece = new CompletableFuture<>();
					readOrigin(location, 1, piece);
					return piece;
				});
	}

	private void readOrigin(PieceLocation location, int attempt, CompletableFuture<byte[]> piece) {
		Optional<PieceOrigin> currentOrigin = this.origin.get();
		if (currentOrigin.isEmpty()) {
			piece.completeExceptionally(new IOException("no origin of weights is published"));
			return;
		}
		if (this.readsInProgress >= MAX_CONCURRENT_ORIGIN_READS) {
			this.waitingReads.add(() -> readOrigin(location, attempt, piece));
			return;
		}
		this.readsInProgress++;
		PieceDigests version = location.version().digests();
		currentOrigin.get()
			.readPiece(version.model(), version.version(), location.index())
			.whenCompleteAsync((bytes, failure) -> {
				this.readsInProgress--;
				if (failure == null && Digest.of(bytes).equals(version.digests().get(location.index()))) {
					piece.complete(bytes);
				}
				else {
					retryOrFail(location, attempt, piece, failure);
				}
				Runnable next = this.waitingReads.poll();
				if (next != null) {
					next.run();
				}
			}, this.thread);
	}

	private void retryOrFail(PieceLocation location, int attempt, CompletableFuture<byte[]> piece, Throwable failure) {
		PieceDigests version = location.version().digests();
		logger.atWarn()
			.addKeyValue("event", "piece-unusable")
			.addKeyValue("version", key(version.model(), version.version()))
			.addKeyValue("piece", location.index())
			.addKeyValue("try", attempt)
			.addKeyValue("reason", (failure != null) ? failure.getMessage() : "the digest does not match")
			.log("piece from the origin is missing or corrupt");
		if (attempt < MAX_ORIGIN_ATTEMPTS) {
			readOrigin(location, attempt + 1, piece);
			return;
		}
		if (failure == null) {
			// the digest itself may be wrong; the next request reads the digests again
			this.versions.remove(key(version.model(), version.version()));
			this.locations.values().removeIf((cached) -> cached.version() == location.version());
		}
		piece.completeExceptionally(new IOException("the origin sent no piece with this digest", failure));
	}

	/**
	 * The digests and the fetched pieces of one version.
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
	 * The position of a piece within a version.
	 *
	 * @param version the version
	 * @param index the index of the piece
	 */
	private record PieceLocation(CachedVersion version, int index) {

	}

}
