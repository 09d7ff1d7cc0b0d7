package org.catkingate.runtime.staging;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
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
 * A client that requests pieces of weights from other processes. Every request completes,
 * with a response or a failure; pieces are verified. For use by one I/O thread, on which
 * all connections run.
 *
 * @since 0.1
 */
public final class PeerPieceClient {

	/**
	 * The timeout for a response, in milliseconds: the time to transfer a dozen pieces
	 * over a slow network link.
	 */
	private static final long RESPONSE_TIMEOUT_MILLIS = 1500;

	/**
	 * The time for which a process that has not responded in time counts as unresponsive.
	 * A process that is cut off closes no connection.
	 */
	private static final long UNRESPONSIVE_MILLIS = 4000;

	private final Map<FrameConnection, Long> unresponsiveUntilMillis = new HashMap<>();

	private final Map<RequestKey, CompletableFuture<Object>> pending = new HashMap<>();

	private final XnioIoThread thread;

	private final MonotonicClock clock;

	private final long timeoutMillis;

	private PeerPieceClient(XnioIoThread thread, MonotonicClock clock, long timeoutMillis) {
		this.thread = thread;
		this.clock = clock;
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Creates a client.
	 * @param thread the I/O thread
	 * @param clock the clock
	 * @return the client, never null
	 */
	public static PeerPieceClient create(XnioIoThread thread, MonotonicClock clock) {
		return create(thread, clock, RESPONSE_TIMEOUT_MILLIS);
	}

	/**
	 * Creates a client with a timeout.
	 * @param thread the I/O thread
	 * @param clock the clock
	 * @param timeoutMillis the timeout for a response, in milliseconds
	 * @return the client, never null
	 */
	public static PeerPieceClient create(XnioIoThread thread, MonotonicClock clock, long timeoutMillis) {
		return new PeerPieceClient(thread, clock, timeoutMillis);
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
		return request(connection, new RequestKey(connection, model + "/" + version),
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
		CompletableFuture<Object> response = new CompletableFuture<>();
		CompletableFuture<Object> existing = this.pending.putIfAbsent(key, response);
		if (existing != null) {
			return existing;
		}
		this.thread.executeAfter(() -> timeOut(key, response), this.timeoutMillis, TimeUnit.MILLISECONDS);
		if (!connection.send(message)) {
			fail(key, response, "is closed");
		}
		return response;
	}

	private void timeOut(RequestKey key, CompletableFuture<Object> response) {
		if (this.pending.get(key) == response) {
			this.unresponsiveUntilMillis.put(key.connection(), this.clock.millis() + UNRESPONSIVE_MILLIS);
			fail(key, response, "timed out waiting for a response");
		}
	}

	private void fail(RequestKey key, CompletableFuture<Object> response, String problem) {
		if (this.pending.remove(key, response)) {
			response
				.completeExceptionally(new IOException("the connection to " + key.connection().peer() + " " + problem));
		}
	}

	/**
	 * Handles a response.
	 * @param connection the connection over which it was received
	 * @param message the message
	 */
	public void onReceived(FrameConnection connection, WeightsMessage message) {
		this.unresponsiveUntilMillis.remove(connection);
		if (message instanceof WeightsMessage.VersionDigests digests) {
			CompletableFuture<Object> response = this.pending
				.remove(new RequestKey(connection, digests.model() + "/" + digests.version()));
			if (response != null && digests.digests().isEmpty()) {
				response.completeExceptionally(
						new IOException(connection.peer().instance() + " does not have the digests of the version"));
			}
			else if (response != null) {
				response.complete(
						new PieceDigests(digests.model(), digests.version(), digests.pieceBytes(), digests.digests()));
			}
		}
		else if (message instanceof WeightsMessage.ChunkSlice slice) {
			CompletableFuture<Object> response = this.pending.remove(new RequestKey(connection, slice.chunk().hex()));
			if (response != null && Digest.of(slice.bytes()).equals(slice.chunk())) {
				response.complete(slice.bytes());
			}
			else if (response != null) {
				response.completeExceptionally(new IOException(connection.peer().instance() + " sent a corrupt piece"));
			}
		}
		else if (message instanceof WeightsMessage.ChunkRejection rejection) {
			CompletableFuture<Object> response = this.pending
				.remove(new RequestKey(connection, rejection.chunk().hex()));
			if (response != null) {
				response.completeExceptionally((rejection.retryAfterMillis() == 0)
						? new UnknownPieceException(connection.peer().instance()
								+ " has no version with the piece; request the digests first")
						: new IOException(connection.peer().instance() + " cannot provide the piece now; retry later"));
			}
		}
	}

	/**
	 * Fails all requests over a connection that was lost.
	 * @param connection the connection
	 */
	public void connectionLost(FrameConnection connection) {
		this.unresponsiveUntilMillis.remove(connection);
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

}
