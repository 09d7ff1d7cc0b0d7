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
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.Weights;

/**
 * Asks other processes for pieces of weights. Every question ends, with a verified answer
 * or a failure. Used by one I/O thread, on which all connections live.
 *
 * @since 0.1
 */
public final class PieceExchange {

	/**
	 * The wait for an answer, in milliseconds: the time of a dozen pieces on a thin link.
	 */
	private static final long RESPONSE_TIMEOUT_MILLIS = 1500;

	private final Map<RequestKey, CompletableFuture<Object>> pending = new HashMap<>();

	private final XnioIoThread thread;

	private PieceExchange(XnioIoThread thread) {
		this.thread = thread;
	}

	/**
	 * Makes an exchange.
	 * @param thread the I/O thread
	 * @return the exchange, never null
	 */
	public static PieceExchange on(XnioIoThread thread) {
		return new PieceExchange(thread);
	}

	/**
	 * Asks for the digests of a version.
	 * @param link whom to ask
	 * @param model the model
	 * @param version the version
	 * @return the digests, not verified
	 */
	public CompletableFuture<PieceDigests> digests(FrameConnection link, ModelName model, long version) {
		return request(link, new RequestKey(link, model + "/" + version), new Weights.VersionQuestion(model, version))
			.thenApply(PieceDigests.class::cast);
	}

	/**
	 * Asks for a piece. A process that has started since the digests came knows nothing
	 * of the version until it is asked for them.
	 * @param link whom to ask
	 * @param version the version
	 * @param index the number of the piece
	 * @return the bytes, verified
	 */
	public CompletableFuture<byte[]> piece(FrameConnection link, PieceDigests version, int index) {
		return requestPiece(link, version, index).exceptionallyCompose(
				(failure) -> isUnknown(failure)
						? digests(link, version.model(), version.version())
							.thenCompose((known) -> requestPiece(link, version, index))
						: CompletableFuture.failedFuture(failure));
	}

	private CompletableFuture<byte[]> requestPiece(FrameConnection link, PieceDigests version, int index) {
		Digest digest = version.digests().get(index);
		return request(link, new RequestKey(link, digest.hex()),
				new Weights.ChunkRequest(digest, 0, version.pieceBytes()))
			.thenApply(byte[].class::cast);
	}

	private static boolean isUnknown(Throwable failure) {
		return failure instanceof UnknownPieceException || failure.getCause() instanceof UnknownPieceException;
	}

	private CompletableFuture<Object> request(FrameConnection link, RequestKey question, Weights message) {
		CompletableFuture<Object> answer = new CompletableFuture<>();
		CompletableFuture<Object> before = this.pending.putIfAbsent(question, answer);
		if (before != null) {
			return before;
		}
		this.thread.executeAfter(() -> fail(question, answer, "gave no answer in time"), RESPONSE_TIMEOUT_MILLIS,
				TimeUnit.MILLISECONDS);
		if (!link.send(message)) {
			fail(question, answer, "is closed");
		}
		return answer;
	}

	private void fail(RequestKey question, CompletableFuture<Object> answer, String what) {
		if (this.pending.remove(question, answer)) {
			answer.completeExceptionally(
					new IOException("the connection to " + question.connection().peer() + " " + what));
		}
	}

	/**
	 * Takes an answer.
	 * @param link who sent it
	 * @param message the message
	 */
	public void received(FrameConnection link, Weights message) {
		if (message instanceof Weights.VersionDigests digests) {
			CompletableFuture<Object> answer = this.pending
				.remove(new RequestKey(link, digests.model() + "/" + digests.version()));
			if (answer != null && digests.digests().isEmpty()) {
				answer.completeExceptionally(new IOException(link.peer().instance() + " does not have the digests"));
			}
			else if (answer != null) {
				answer.complete(
						new PieceDigests(digests.model(), digests.version(), digests.pieceBytes(), digests.digests()));
			}
		}
		else if (message instanceof Weights.ChunkSlice slice) {
			CompletableFuture<Object> answer = this.pending.remove(new RequestKey(link, slice.chunk().hex()));
			if (answer != null && Digest.of(slice.bytes()).equals(slice.chunk())) {
				answer.complete(slice.bytes());
			}
			else if (answer != null) {
				answer.completeExceptionally(new IOException(link.peer().instance() + " sent a spoilt piece"));
			}
		}
		else if (message instanceof Weights.ChunkRefusal refusal) {
			CompletableFuture<Object> answer = this.pending.remove(new RequestKey(link, refusal.chunk().hex()));
			if (answer != null) {
				answer.completeExceptionally((refusal.retryAfterMillis() == 0)
						? new UnknownPieceException(
								link.peer().instance() + " knows no version with the piece; ask for digests")
						: new IOException(link.peer().instance() + " cannot get the piece now; ask again"));
			}
		}
	}

	/**
	 * Ends all questions to a process that cannot answer any more.
	 * @param link the lost connection
	 */
	public void lost(FrameConnection link) {
		Map.copyOf(this.pending).forEach((question, answer) -> {
			if (question.connection() == link) {
				fail(question, answer, "is lost");
			}
		});
	}

	/**
	 * What was asked of whom.
	 *
	 * @param connection whom
	 * @param subject the version or the digest
	 */
	private record RequestKey(FrameConnection connection, String subject) {

	}

}
