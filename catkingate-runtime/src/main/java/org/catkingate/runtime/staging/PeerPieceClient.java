package org.catkingate.runtime.staging;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.xnio.XnioIoThread;

import org.catkingate.model.Digest;
import org.catkingate.model.ModelName;
import org.catkingate.model.registry.PieceDigests;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.WeightsMessage;

/**
 * A client that requests pieces of weights from other processes. A request stays open for
 * as long as the process states that it waits for its own source. It fails if the process
 * is silent, or waits for an origin that others have been able to read for a while.
 * Pieces are verified. For use by one I/O thread, on which all connections run.
 *
 * @since 0.1
 */
public final class PeerPieceClient {

	/**
	 * The time without any message about weights after which a process counts as silent,
	 * in milliseconds. Processes state every 250 ms that requests are pending. A source
	 * that fails must be replaced within a second.
	 */
	private static final long RESPONSE_TIMEOUT_MILLIS = 900;

	/**
	 * The time for which a process that has not responded in time counts as unresponsive.
	 * A process that is cut off closes no connection.
	 */
	private static final long UNRESPONSIVE_MILLIS = 4000;

	/**
	 * The time for which a process may wait for an origin that it cannot read although
	 * others can. Processes detect the return of the origin within a fraction of it.
	 */
	private static final long ORIGIN_UNAVAILABLE_MILLIS = 1000;

	/**
	 * The time after which reads by others no longer show that the origin is available.
	 * When an outage begins, some processes still receive what they have requested.
	 */
	private static final long ORIGIN_READ_VALID_MILLIS = 400;

	/** The time for which a statement that a request is pending is valid. */
	private static final long STATEMENT_VALID_MILLIS = 900;

	private final Map<FrameConnection, Long> unresponsiveUntilMillis = new HashMap<>();

	private final Map<FrameConnection, Long> lastReceivedMillis = new HashMap<>();

	private final Map<RequestKey, OpenRequest> pending = new HashMap<>();

	private long lastOriginReadMillis = Long.MIN_VALUE / 2;

	private final XnioIoThread thread;

	private final MonotonicClock clock;

	private PeerPieceClient(XnioIoThread thread, MonotonicClock clock) {
		this.thread = thread;
		this.clock = clock;
	}

	/**
	 * Creates a client.
	 * @param thread the I/O thread
	 * @param clock the clock
	 * @return the client, never null
	 */
	public static PeerPieceClient create(XnioIoThread thread, MonotonicClock clock) {
		return new PeerPieceClient(thread, clock);
	}

	/**
	 * Returns whether a process has not responded in time and not since.
	 * @param connection the connection to the process
	 * @return whether others should be preferred
	 */
	public boolean isUnresponsive(FrameConnection connection) {
		return this.clock.millis() < this.unresponsiveUntilMillis.getOrDefault(connection, Long.MIN_VALUE);
	}

	/**
	 * Requests the digests of a version.
	 * @param connection the connection to the process
	 * @param model the model
	 * @param version the version
	 * @return the digests, not verified
	 */
	public CompletableFuture<PieceDigests> requestDigests(FrameConnection connection, ModelName model, long version) {
		return request(connection, new RequestKey(connection, WeightsMessage.RequestsPending.subject(model, version)),
				new WeightsMessage.VersionDigestsRequest(model, version))
			.thenApply(PieceDigests.class::cast);
	}

	/**
	 * Requests a piece. A process that was started after the digests were received does
	 * not have the version until the digests are requested from it; if it responds so,
	 * requests the digests and then the piece again.
	 * @param connection the connection to the process
	 * @param version the digests of the version
	 * @param index the index of the piece
	 * @return the bytes, verified
	 */
	public CompletableFuture<byte[]> requestPiece(FrameConnection connection, PieceDigests version, int index) {
		return requestPieceOnce(connection, version, index).exceptionallyCompose((failure) -> isUnknown(failure)
				? requestDigests(connection, version.model(), version.version())
					.thenCompose((known) -> requestPieceOnce(connection, version, index))
				: CompletableFuture.failedFuture(failure));
	}

	private CompletableFuture<byte[]> requestPieceOnce(FrameConnection connection, PieceDigests version, int index) {
		Digest digest = version.digests().get(index);
		return request(connection, new RequestKey(connection, digest.hex()),
				new WeightsMessage.ChunkRequest(digest, 0, version.pieceBytes()))
			.thenApply(byte[].class::cast);
	}

	private static boolean isUnknown(Throwable failure) {
		return failure instanceof UnknownPieceException || failure.getCause() instanceof UnknownPieceException;
	}

	private CompletableFuture<Object> request(FrameConnection connection, RequestKey key, WeightsMessage message) {
		OpenRequest existing = this.pending.get(key);
		if (existing != null) {
			return existing.response;
		}
		OpenRequest request = new OpenRequest(this.clock.millis());
		this.pending.put(key, request);
		this.thread.executeAfter(() -> timeOut(key, request), RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		if (!connection.send(message)) {
			fail(key, request, "is closed");
		}
		return request.response;
	}

	private void timeOut(RequestKey key, OpenRequest request) {
		if (this.pending.get(key) != request) {
			return;
		}
		long lastReceived = Math.max(request.lastHeardMillis,
				this.lastReceivedMillis.getOrDefault(key.connection(), Long.MIN_VALUE));
		long leftMillis = lastReceived + RESPONSE_TIMEOUT_MILLIS - this.clock.millis();
		if (leftMillis > 0) {
			this.thread.executeAfter(() -> timeOut(key, request), leftMillis, TimeUnit.MILLISECONDS);
			return;
		}
		this.unresponsiveUntilMillis.put(key.connection(), this.clock.millis() + UNRESPONSIVE_MILLIS);
		fail(key, request, "timed out waiting for a response");
	}

	private void fail(RequestKey key, OpenRequest request, String problem) {
		if (this.pending.remove(key, request)) {
			request.response
				.completeExceptionally(new IOException("the connection to " + key.connection().peer() + " " + problem));
		}
	}

	/**
	 * Records that a piece that this process or another one waited for has just been read
	 * from the origin, so that a process that still cannot read it has a fault of its
	 * own.
	 */
	public void recordOriginRead() {
		long now = this.clock.millis();
		boolean first = now - this.lastOriginReadMillis > ORIGIN_READ_VALID_MILLIS;
		this.lastOriginReadMillis = now;
		this.pending.values().forEach((request) -> {
			if (request.unavailable && (first || request.othersReadSinceMillis == Long.MAX_VALUE)) {
				request.othersReadSinceMillis = now;
			}
		});
	}

	/**
	 * Returns what the asked process has recently stated about a pending request.
	 * @param subject the subject of the request
	 * @return whether its origin is available, empty without a recent statement
	 */
	public Optional<Boolean> originStatement(String subject) {
		long validFrom = this.clock.millis() - STATEMENT_VALID_MILLIS;
		return this.pending.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().subject().equals(subject) && entry.getValue().stated
					&& entry.getValue().lastHeardMillis >= validFrom)
			.findFirst()
			.map((entry) -> !entry.getValue().unavailable);
	}

	private void recordStatement(FrameConnection connection, WeightsMessage.RequestsPending message) {
		long now = this.clock.millis();
		for (String subject : message.subjects()) {
			RequestKey key = new RequestKey(connection, subject);
			OpenRequest request = this.pending.get(key);
			if (request == null) {
				continue;
			}
			request.stated = true;
			request.lastHeardMillis = now;
			request.unavailable = message.unavailable().contains(subject);
			if (!request.unavailable) {
				request.othersReadSinceMillis = Long.MAX_VALUE;
			}
			else if (request.othersReadSinceMillis <= now - ORIGIN_UNAVAILABLE_MILLIS
					&& now - this.lastOriginReadMillis <= ORIGIN_READ_VALID_MILLIS) {
				this.unresponsiveUntilMillis.put(connection, now + UNRESPONSIVE_MILLIS);
				fail(key, request, "leads to a process that cannot read the origin, although others can");
			}
		}
	}

	/**
	 * Handles a response.
	 * @param connection the connection over which it was received
	 * @param message the message
	 */
	public void onReceived(FrameConnection connection, WeightsMessage message) {
		if (message instanceof WeightsMessage.RequestsPending statement) {
			recordStatement(connection, statement);
			return;
		}
		this.unresponsiveUntilMillis.remove(connection);
		this.lastReceivedMillis.put(connection, this.clock.millis());
		if (message instanceof WeightsMessage.VersionDigests digests) {
			CompletableFuture<Object> response = removePending(connection,
					WeightsMessage.RequestsPending.subject(digests.model(), digests.version()),
					!digests.digests().isEmpty());
			if (response != null && digests.digests().isEmpty()) {
				response.completeExceptionally(new PieceRejectedException(
						connection.peer().instance() + " does not have the digests of the version"));
			}
			else if (response != null) {
				response.complete(
						new PieceDigests(digests.model(), digests.version(), digests.pieceBytes(), digests.digests()));
			}
		}
		else if (message instanceof WeightsMessage.ChunkSlice slice) {
			CompletableFuture<Object> response = removePending(connection, slice.chunk().hex(), true);
			if (response != null && Digest.of(slice.bytes()).equals(slice.chunk())) {
				response.complete(slice.bytes());
			}
			else if (response != null) {
				response.completeExceptionally(new IOException(connection.peer().instance() + " sent a corrupt piece"));
			}
		}
		else if (message instanceof WeightsMessage.ChunkRejection rejection) {
			CompletableFuture<Object> response = removePending(connection, rejection.chunk().hex(), false);
			if (response != null) {
				response.completeExceptionally((rejection.retryAfterMillis() == 0)
						? new UnknownPieceException(connection.peer().instance()
								+ " has no version with the piece; request the digests first")
						: new PieceRejectedException(
								connection.peer().instance() + " cannot provide the piece now; retry later"));
			}
		}
	}

	private CompletableFuture<Object> removePending(FrameConnection connection, String subject, boolean provided) {
		OpenRequest request = this.pending.remove(new RequestKey(connection, subject));
		if (request == null) {
			return null;
		}
		if (provided && request.unavailable) {
			recordOriginRead();
		}
		return request.response;
	}

	/**
	 * Fails all requests over a connection that was lost.
	 * @param connection the connection
	 */
	public void connectionLost(FrameConnection connection) {
		this.unresponsiveUntilMillis.remove(connection);
		this.lastReceivedMillis.remove(connection);
		Map.copyOf(this.pending).forEach((key, response) -> {
			if (key.connection() == connection) {
				fail(key, response, "is lost");
			}
		});
	}

	/**
	 * The key of a pending request.
	 *
	 * @param connection the connection over which it was sent
	 * @param subject the version or the digest
	 */
	private record RequestKey(FrameConnection connection, String subject) {

	}

	/**
	 * A request without a response.
	 */
	private static final class OpenRequest {

		private final CompletableFuture<Object> response = new CompletableFuture<>();

		private long lastHeardMillis;

		private boolean stated;

		private boolean unavailable;

		private long othersReadSinceMillis = Long.MAX_VALUE;

		private OpenRequest(long sentAtMillis) {
			this.lastHeardMillis = sentAtMillis;
		}

	}

}
