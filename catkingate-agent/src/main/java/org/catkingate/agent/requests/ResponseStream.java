package org.catkingate.agent.requests;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;

import org.catkingate.model.RequestId;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.wire.Traffic;

/**
 * The way of one answer to its entry. Keeps what the entry has not acknowledged, never
 * more than {@link #WINDOW_BYTES} and one piece, so that the answer can go on over
 * another connection. Safe for use by any thread.
 */
final class ResponseStream {

	/** How far the answer may run ahead of the entry's acknowledgement, in bytes. */
	static final int WINDOW_BYTES = 128 * 1024;

	private final RequestId request;

	private final Deque<byte[]> unacknowledged = new ArrayDeque<>();

	private PeerConnection connection;

	private boolean connected = true;

	private long lostAtMillis = Long.MAX_VALUE;

	private Traffic.AnswerHead head;

	private long acknowledgedBytes;

	private long producedBytes;

	private Traffic finalMessage;

	private boolean fullyAcknowledged;

	ResponseStream(RequestId request, PeerConnection connection) {
		this.request = request;
		this.connection = connection;
	}

	synchronized void head(int status, List<Traffic.Header> headers) {
		this.head = new Traffic.AnswerHead(this.request, status, headers);
		send(this.head);
	}

	synchronized void data(byte[] bytes) {
		Traffic.AnswerData data = new Traffic.AnswerData(this.request, this.producedBytes, bytes);
		this.unacknowledged.add(bytes);
		this.producedBytes += bytes.length;
		send(data);
	}

	synchronized void end() {
		terminate(new Traffic.AnswerEnd(this.request, this.producedBytes));
	}

	synchronized void fail(Traffic.FailureReason reason, long retryAfterMillis, String message) {
		terminate(new Traffic.AnswerFailure(this.request, reason, retryAfterMillis, message));
	}

	private void terminate(Traffic message) {
		if (this.finalMessage == null) {
			this.finalMessage = message;
			send(message);
		}
	}

	private void send(Traffic message) {
		if (this.connected) {
			this.connected = this.connection.frames().send(message);
		}
	}

	/**
	 * Takes note of what the entry has.
	 * @param offset how many bytes of the body
	 * @return whether there is room now and was none before
	 */
	synchronized boolean acknowledge(long offset) {
		boolean full = !hasRoom();
		if (offset <= this.producedBytes) {
			release(offset);
		}
		this.fullyAcknowledged = this.finalMessage instanceof Traffic.AnswerEnd && offset == this.producedBytes;
		return full && hasRoom();
	}

	private void release(long offset) {
		while (!this.unacknowledged.isEmpty() && this.acknowledgedBytes + this.unacknowledged.peek().length <= offset) {
			this.acknowledgedBytes += this.unacknowledged.poll().length;
		}
	}

	/**
	 * Goes on over another connection, from where the entry is.
	 * @param next the connection
	 * @param headReceived whether the entry has the head
	 * @param offset how many bytes of the body it has
	 * @return whether the answer can go on from there
	 */
	synchronized boolean attach(PeerConnection next, boolean headReceived, long offset) {
		if (offset < this.acknowledgedBytes || offset > this.producedBytes) {
			return false;
		}
		this.connection = next;
		this.connected = true;
		this.lostAtMillis = Long.MAX_VALUE;
		release(offset);
		if (this.head != null && !headReceived) {
			send(this.head);
		}
		sendUnacknowledged();
		if (this.finalMessage != null) {
			send(this.finalMessage);
		}
		return true;
	}

	private void sendUnacknowledged() {
		long offset = this.acknowledgedBytes;
		for (byte[] piece : this.unacknowledged) {
			send(new Traffic.AnswerData(this.request, offset, piece));
			offset += piece.length;
		}
	}

	synchronized void connectionLost(PeerConnection gone, long nowMillis) {
		if (Objects.equals(this.connection, gone)) {
			this.connected = false;
			this.lostAtMillis = nowMillis;
		}
	}

	/**
	 * Tells how long nobody has been there to take the answer.
	 * @param nowMillis the time now
	 * @return how many milliseconds, 0 while connected
	 */
	synchronized long millisSinceLost(long nowMillis) {
		return (this.connected) ? 0 : nowMillis - this.lostAtMillis;
	}

	synchronized boolean hasRoom() {
		return this.producedBytes - this.acknowledgedBytes < WINDOW_BYTES;
	}

	synchronized boolean isTerminated() {
		return this.finalMessage != null;
	}

	/**
	 * Tells whether the entry has acknowledged the whole answer.
	 * @return whether nothing needs to be kept
	 */
	synchronized boolean isFullyAcknowledged() {
		return this.fullyAcknowledged;
	}

	/**
	 * Tells whether the entry has been told that there is no answer.
	 * @return whether a failure has been sent over an open connection
	 */
	synchronized boolean isFailureSent() {
		return this.finalMessage instanceof Traffic.AnswerFailure && this.connected;
	}

}
