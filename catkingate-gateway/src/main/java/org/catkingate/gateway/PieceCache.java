package org.catkingate.gateway;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

import org.catkingate.decisions.pieces.OriginRead;
import org.catkingate.decisions.pieces.OriginReadOutcome;
import org.catkingate.decisions.pieces.OriginReads;
import org.catkingate.decisions.pieces.VersionTimes;
import org.catkingate.model.Digest;
import org.catkingate.model.ModelName;
import org.catkingate.model.registry.PieceDigests;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.staging.PeerPieceClient;
import org.catkingate.runtime.staging.PieceOrigin;
import org.catkingate.runtime.staging.PieceRejectedException;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.WeightsMessage;

/**
 * A cache of verified pieces of the newest versions of weights. Each piece is fetched
 * once, from a gateway nearer to the origin, or else from the origin itself, in the order
 * that {@link OriginReads} decides. The declaration of a version, or else the first
 * request for its digests, starts prefetching its pieces. Used by the traffic thread
 * only.
 */
final class PieceCache {

	private static final Logger logger = LoggerFactory.getLogger(PieceCache.class);

	/**
	 * The number of versions of a model that are kept: the newest and the previous one.
	 */
	private static final int KEPT_VERSIONS = 2;

	/**
	 * The maximum number of concurrent reads from the origin, summed over the gateways
	 * that read from it. Its network link limits them: with more, all pieces arrive late
	 * together instead of one after the other.
	 */
	private static final int MAX_CONCURRENT_ORIGIN_READS = 4;

	/**
	 * The number of pieces that are prefetched from the gateways of this region at the
	 * same time, and from those of another region. These requests stay open until the
	 * piece has arrived there.
	 */
	private static final int CONCURRENT_PREFETCHES = 8;

	/** The number of gateways that are tried before the origin. */
	private static final int MAX_UPSTREAM_ATTEMPTS = 2;

	/** The wait after a failed prefetch of a piece. */
	private static final long PREFETCH_RETRY_MILLIS = 300;

	private final Map<String, CompletableFuture<CachedVersion>> versions = new HashMap<>();

	private final Map<Digest, PieceLocation> locations = new HashMap<>();

	private final Map<ModelName, Long> newestVersions = new HashMap<>();

	private final OriginReads reads = new OriginReads();

	private final Map<OriginRead, OpenRead<?>> openReads = new HashMap<>();

	private final PeerPieceClient pieceClient;

	private final Function<String, List<FrameConnection>> upstreams;

	private final Predicate<FrameConnection> isInRegion;

	private final IntSupplier originReaders;

	private final BiFunction<ModelName, Long, VersionTimes> versionTimes;

	private final Supplier<Optional<PieceOrigin>> origin;

	private final MonotonicClock clock;

	private final XnioIoThread thread;

	private long nextStartMillis = Long.MAX_VALUE;

	private final LongAdder readPieces = new LongAdder();

	private final LongAdder failedReads = new LongAdder();

	private final LongAdder obsoleteReads = new LongAdder();

	/**
	 * Creates an empty cache.
	 * @param pieceClient requests pieces from other gateways
	 * @param upstreams the gateways to request a piece from, given by its version and
	 * index, in the order in which to try them; none to read from the origin
	 * @param isInRegion whether a gateway is in the region of this one
	 * @param originReaders the number of gateways that read from the origin
	 * @param versionTimes the times of a version that is replaced
	 * @param origin the origin, empty while none is known
	 * @param clock the clock
	 * @param thread the traffic thread
	 */
	PieceCache(PeerPieceClient pieceClient, Function<String, List<FrameConnection>> upstreams,
			Predicate<FrameConnection> isInRegion, IntSupplier originReaders,
			BiFunction<ModelName, Long, VersionTimes> versionTimes, Supplier<Optional<PieceOrigin>> origin,
			MonotonicClock clock, XnioIoThread thread) {
		this.pieceClient = pieceClient;
		this.upstreams = upstreams;
		this.isInRegion = isInRegion;
		this.originReaders = originReaders;
		this.versionTimes = versionTimes;
		this.origin = origin;
		this.clock = clock;
		this.thread = thread;
	}

	CompletableFuture<PieceDigests> digests(ModelName model, long version) {
		return cachedVersion(model, version).thenApply(CachedVersion::digests);
	}

	/*
	 * The version before gives way only now, not when the newer one is declared: a
	 * version whose digests the origin does not have replaces nothing.
	 */
	private void replaceOlder(PieceDigests digests) {
		ModelName model = digests.model();
		Long previous = this.newestVersions.get(model);
		if (previous != null && previous >= digests.version()) {
			return;
		}
		this.newestVersions.put(model, digests.version());
		long older = (previous != null) ? previous : digests.version() - 1;
		this.reads.declare(digests, this.versionTimes.apply(model, older), this.clock.millis());
		logger.atInfo()
			.addKeyValue("event", "newest-version")
			.addKeyValue("version", key(model, digests.version()))
			.addKeyValue("older-continues", !this.reads.isObsolete(model, older))
			.addKeyValue("origin-available", this.reads.isAvailable())
			.log("pieces of the newest version come first");
		startReads();
	}

	private CompletableFuture<CachedVersion> cachedVersion(ModelName model, long version) {
		String key = key(model, version);
		CompletableFuture<CachedVersion> cached = this.versions.get(key);
		if (cached != null) {
			return cached;
		}
		CompletableFuture<CachedVersion> pending = new CompletableFuture<>();
		this.versions.put(key, pending);
		OriginRead read = OriginRead.ofDigests(model, version);
		firstSuccess(this.upstreams.apply(key).iterator(),
				(gateway) -> this.pieceClient.requestDigests(gateway, model, version),
				() -> readOrigin(read, key, (source) -> source.readDigests(model, version), (digests) -> true))
			.whenCompleteAsync((digests, failure) -> storeDigests(key, pending, digests, failure), this.thread);
		return pending;
	}

	/*
	 * Requests from up to MAX_UPSTREAM_ATTEMPTS gateways, each after the one before has
	 * failed, and then falls back. That a gateway rejects the request and the next one
	 * does not provide it is final: they are the ones to read from the origin.
	 */
	private <T> CompletableFuture<T> firstSuccess(Iterator<FrameConnection> gateways,
			Function<FrameConnection, CompletableFuture<T>> request, Supplier<CompletableFuture<T>> fallback) {
		return firstSuccess(gateways, MAX_UPSTREAM_ATTEMPTS, Optional.empty(), request, fallback);
	}

	private <T> CompletableFuture<T> firstSuccess(Iterator<FrameConnection> gateways, int attempts,
			Optional<Throwable> rejection, Function<FrameConnection, CompletableFuture<T>> request,
			Supplier<CompletableFuture<T>> fallback) {
		if (attempts == 0 && rejection.isPresent()) {
			return CompletableFuture.failedFuture(rejection.get());
		}
		if (attempts == 0 || !gateways.hasNext()) {
			return fallback.get();
		}
		return request.apply(gateways.next()).handleAsync((response, failure) -> {
			if (failure == null) {
				return CompletableFuture.completedFuture(response);
			}
			boolean rejected = PieceRejectedException.isCauseOf(failure);
			return firstSuccess(gateways, attempts - 1, rejected ? Optional.of(failure) : rejection, request, fallback);
		}, this.thread).thenCompose((response) -> response);
	}

	private static String key(ModelName model, long version) {
		return WeightsMessage.RequestsPending.subject(model, version);
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
		replaceOlder(digests);
		pending.complete(version);
		prefetch(version);
	}

	/*
	 * The pieces that other gateways request from this one are all requested at once,
	 * since the reads from the origin are ordered and limited as a whole. Those that
	 * other gateways provide are requested at the same time, in the order in which
	 * loaders need them. Those from another region do not wait for those of this one,
	 * since the other gateways of this region wait for them.
	 */
	private void prefetch(CachedVersion version) {
		PieceDigests digests = version.digests();
		Deque<Integer> fromOtherRegion = new ArrayDeque<>();
		Deque<Integer> fromOwnRegion = new ArrayDeque<>();
		for (int i = 0; i < digests.digests().size(); i++) {
			List<FrameConnection> sources = this.upstreams.apply(pieceKey(digests, i));
			if (sources.isEmpty()) {
				prefetchNext(version, new ArrayDeque<>(List.of(i)));
			}
			else {
				(this.isInRegion.test(sources.get(0)) ? fromOwnRegion : fromOtherRegion).add(i);
			}
		}
		for (int i = 0; i < CONCURRENT_PREFETCHES; i++) {
			prefetchNext(version, fromOtherRegion);
			prefetchNext(version, fromOwnRegion);
		}
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
		OriginRead read = new OriginRead(version.model(), version.version(), location.index());
		Digest digest = version.digests().get(location.index());
		return firstSuccess(this.upstreams.apply(pieceKey(version, location.index())).iterator(),
				(gateway) -> this.pieceClient.requestPiece(gateway, version, location.index()),
				() -> readOrigin(read, digest.hex(),
						(source) -> source.readPiece(version.model(), version.version(), location.index()),
						(bytes) -> Digest.of(bytes).equals(digest)));
	}

	private <T> CompletableFuture<T> readOrigin(OriginRead read, String subject,
			Function<PieceOrigin, CompletableFuture<T>> request, Predicate<T> isValid) {
		if (this.reads.isObsolete(read.model(), read.version())) {
			return CompletableFuture.failedFuture(obsolete(read));
		}
		if (this.origin.get().isEmpty()) {
			return CompletableFuture.failedFuture(new IOException("no origin of weights is published"));
		}
		OpenRead<T> open = new OpenRead<>(subject, request, isValid);
		OpenRead<?> replaced = this.openReads.put(read, open);
		if (replaced != null) {
			// the digests of the version have been read again
			replaced.result.completeExceptionally(new IOException("the digests of the version have changed"));
		}
		this.reads.add(read);
		startReads();
		return open.result;
	}

	private static PieceRejectedException obsolete(OriginRead read) {
		return new PieceRejectedException(
				"version " + read.version() + " of " + read.model() + " is replaced by a newer one");
	}

	private void startReads() {
		for (OriginRead read : this.reads.removeObsolete()) {
			this.obsoleteReads.increment();
			this.openReads.remove(read).result.completeExceptionally(obsolete(read));
		}
		int readers = Math.max(1, this.originReaders.getAsInt());
		int share = (MAX_CONCURRENT_ORIGIN_READS + readers - 1) / readers;
		long now = this.clock.millis();
		for (OriginRead read : this.reads.start(share, now)) {
			startRead(read, this.openReads.get(read));
		}
		OptionalLong next = this.reads.nextStartMillis(now);
		if (next.isPresent() && next.getAsLong() < this.nextStartMillis) {
			this.nextStartMillis = next.getAsLong();
			this.thread.executeAfter(() -> {
				this.nextStartMillis = Long.MAX_VALUE;
				startReads();
			}, Math.max(1, next.getAsLong() - now), TimeUnit.MILLISECONDS);
		}
	}

	private <T> void startRead(OriginRead read, OpenRead<T> open) {
		this.origin.get()
			.map(open.request)
			.orElseGet(() -> CompletableFuture.failedFuture(new IOException("no origin of weights is published")))
			.whenCompleteAsync((response, failure) -> endRead(read, open, response, failure), this.thread);
	}

	private <T> void endRead(OriginRead read, OpenRead<T> open, T response, Throwable failure) {
		boolean valid = failure == null && open.isValid.test(response);
		OriginReadOutcome outcome = OriginReadOutcome.FAILED;
		if (failure == null) {
			outcome = valid ? OriginReadOutcome.SUCCEEDED : OriginReadOutcome.CORRUPT;
		}
		boolean replaced = this.openReads.get(read) != open;
		boolean wasAvailable = this.reads.isAvailable();
		long unavailableSinceMillis = this.reads.unavailableSinceMillis();
		boolean givenUp = this.reads.end(read, outcome, this.clock.millis());
		if (failure == null) {
			this.pieceClient.recordOriginRead();
		}
		if (wasAvailable != this.reads.isAvailable()) {
			logAvailability(read, failure, unavailableSinceMillis);
		}
		if (replaced) {
			this.reads.add(read);
		}
		else if (valid) {
			this.readPieces.add((read.index() != OriginRead.DIGESTS) ? 1 : 0);
			this.openReads.remove(read);
			open.result.complete(response);
		}
		else {
			this.failedReads.increment();
			if (failure == null || givenUp) {
				logUnusable(read, givenUp, failure);
			}
			if (givenUp) {
				this.openReads.remove(read);
				giveUp(read, open, failure);
			}
		}
		startReads();
	}

	private void giveUp(OriginRead read, OpenRead<?> open, Throwable failure) {
		if (failure == null) {
			// the digest itself may be wrong; the next request reads the digests again
			CompletableFuture<CachedVersion> version = this.versions.remove(key(read.model(), read.version()));
			if (version != null && version.isDone() && !version.isCompletedExceptionally()) {
				CachedVersion dropped = version.join();
				this.locations.values().removeIf((cached) -> cached.version() == dropped);
			}
		}
		open.result.completeExceptionally(new IOException("the origin sent no valid content", failure));
	}

	private static void logUnusable(OriginRead read, boolean givenUp, Throwable failure) {
		logger.atWarn()
			.addKeyValue("event", "piece-unusable")
			.addKeyValue("version", key(read.model(), read.version()))
			.addKeyValue("piece", read.index())
			.addKeyValue("given-up", givenUp)
			.addKeyValue("reason", (failure != null) ? failure.getMessage() : "the digest does not match")
			.log("piece from the origin is missing or corrupt");
	}

	private void logAvailability(OriginRead read, Throwable failure, long unavailableSinceMillis) {
		if (failure != null) {
			logger.atWarn()
				.addKeyValue("event", "origin-unavailable")
				.addKeyValue("version", key(read.model(), read.version()))
				.addKeyValue("open-reads", this.openReads.size())
				.addKeyValue("reason", failure.getMessage())
				.log("the origin of weights cannot be read; probing it until it responds");
			return;
		}
		logger.atInfo()
			.addKeyValue("event", "origin-available")
			.addKeyValue("version", key(read.model(), read.version()))
			.addKeyValue("open-reads", this.openReads.size())
			.addKeyValue("after-ms", this.clock.millis() - unavailableSinceMillis)
			.log("the origin of weights responds again; all waiting reads continue");
	}

	/**
	 * Returns whether the origin can be read, for a piece or digests that this gateway or
	 * one before it waits for.
	 * @param subject the digest of the piece, or the model and version
	 * @return whether it is available; empty if nothing shows that anybody waits for it
	 */
	Optional<Boolean> originStatement(String subject) {
		return this.openReads.values().stream().anyMatch((read) -> read.subject.equals(subject))
				? Optional.of(this.reads.isAvailable()) : this.pieceClient.originStatement(subject);
	}

	/**
	 * Returns the counters for operators. Safe for use by any thread.
	 * @return the pieces read from the origin, failed reads, and reads that became
	 * obsolete while they waited, by outcome
	 */
	Map<String, Long> originReadCounts() {
		return Map.of("read", this.readPieces.sum(), "failed", this.failedReads.sum(), "obsolete",
				this.obsoleteReads.sum());
	}

	/**
	 * A read from the origin that waits or is in progress.
	 *
	 * @param <T> the type of the response
	 */
	private static final class OpenRead<T> {

		private final CompletableFuture<T> result = new CompletableFuture<>();

		private final String subject;

		private final Function<PieceOrigin, CompletableFuture<T>> request;

		private final Predicate<T> isValid;

		private OpenRead(String subject, Function<PieceOrigin, CompletableFuture<T>> request, Predicate<T> isValid) {
			this.subject = subject;
			this.request = request;
			this.isValid = isValid;
		}

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
