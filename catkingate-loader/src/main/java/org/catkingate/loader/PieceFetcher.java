package org.catkingate.loader;

import java.io.IOException;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;

import org.catkingate.model.Digest;
import org.catkingate.model.ModelName;
import org.catkingate.model.registry.PieceDigests;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.staging.PeerPieceClient;
import org.catkingate.runtime.staging.PieceOrigin;
import org.catkingate.runtime.staging.PieceRejectedException;
import org.catkingate.wire.FrameConnection;

/**
 * A fetcher of digests and pieces, from the gateways, the nearest first, and from the
 * origin if no gateway has responded for a while. A gateway that rejects a request, or
 * that states that it waits for its source, has responded: it reads from the origin for
 * all loaders. Used by the I/O thread only.
 */
final class PieceFetcher {

	/**
	 * The time without a response of any gateway after which the origin is used: longer
	 * than gateways take to start or to reconnect to the origin.
	 */
	private static final long ORIGIN_FALLBACK_MILLIS = 2000;

	/** The number of gateways whose rejection of a request is final. */
	private static final int MAX_REJECTIONS = 2;

	private final MonotonicClock clock;

	private long noGatewaySinceMillis = Long.MAX_VALUE;

	private final PeerPieceClient pieceClient;

	private final Function<String, List<FrameConnection>> gateways;

	private final Supplier<Optional<PieceOrigin>> origin;

	/**
	 * Creates a fetcher.
	 * @param pieceClient requests pieces from gateways
	 * @param gateways the gateways to request a piece from, in the order in which to try
	 * them
	 * @param origin the origin, empty while none is known
	 * @param clock the clock
	 */
	PieceFetcher(PeerPieceClient pieceClient, Function<String, List<FrameConnection>> gateways,
			Supplier<Optional<PieceOrigin>> origin, MonotonicClock clock) {
		this.pieceClient = pieceClient;
		this.gateways = gateways;
		this.origin = origin;
		this.clock = clock;
	}

	CompletableFuture<PieceDigests> digests(ModelName model, long version) {
		return fetch(model + "/" + version, (gateway) -> this.pieceClient.requestDigests(gateway, model, version),
				(source) -> source.readDigests(model, version));
	}

	CompletableFuture<byte[]> piece(PieceDigests pieceDigests, int index) {
		return fetch(pieceDigests.version() + "/" + index,
				(gateway) -> this.pieceClient.requestPiece(gateway, pieceDigests, index),
				(source) -> readVerified(source, pieceDigests, index));
	}

	private static CompletableFuture<byte[]> readVerified(PieceOrigin source, PieceDigests pieceDigests, int index) {
		return source.readPiece(pieceDigests.model(), pieceDigests.version(), index)
			.thenCompose((bytes) -> Digest.of(bytes).equals(pieceDigests.digests().get(index))
					? CompletableFuture.completedFuture(bytes)
					: CompletableFuture.failedFuture(new IOException("piece " + index + " does not match its digest")));
	}

	/*
	 * Transfers from the origin are expensive, and its network link has capacity for one
	 * copy for each gateway, not for each runner.
	 */
	private boolean canUseOrigin() {
		long now = this.clock.millis();
		this.noGatewaySinceMillis = Math.min(this.noGatewaySinceMillis, now);
		return now - this.noGatewaySinceMillis >= ORIGIN_FALLBACK_MILLIS;
	}

	private <T> CompletableFuture<T> fetch(String subject, Function<FrameConnection, CompletableFuture<T>> fromGateway,
			Function<PieceOrigin, CompletableFuture<T>> fromOrigin) {
		return fetchFromNext(this.gateways.apply(subject).iterator(), MAX_REJECTIONS, fromGateway, fromOrigin);
	}

	private <T> CompletableFuture<T> fetchFromNext(Iterator<FrameConnection> gateways, int rejectionsLeft,
			Function<FrameConnection, CompletableFuture<T>> fromGateway,
			Function<PieceOrigin, CompletableFuture<T>> fromOrigin) {
		if (!gateways.hasNext() && !canUseOrigin()) {
			return CompletableFuture.failedFuture(
					new IOException("no gateway has served the request, and it is too early to use the origin"));
		}
		if (!gateways.hasNext()) {
			return this.origin.get()
				.map(fromOrigin)
				.orElseGet(() -> CompletableFuture.failedFuture(new IOException("no origin of weights is known")));
		}
		return fromGateway.apply(gateways.next()).handle((response, failure) -> {
			boolean rejected = failure != null && PieceRejectedException.isCauseOf(failure);
			if (failure == null || rejected) {
				this.noGatewaySinceMillis = Long.MAX_VALUE;
			}
			if (rejected && rejectionsLeft == 1) {
				return CompletableFuture.<T>failedFuture(failure);
			}
			if (failure != null) {
				return fetchFromNext(gateways, rejected ? rejectionsLeft - 1 : rejectionsLeft, fromGateway, fromOrigin);
			}
			return CompletableFuture.completedFuture(response);
		}).thenCompose((response) -> response);
	}

}
