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
final class AnswerStream {

	/** How far the answer may run ahead of the entry's acknowledgement, in bytes. */
	static final int WINDOW_BYTES = 128 * 1024;

	private final RequestId request;

	private final Deque<byte[]> tail = new ArrayDeque<>();

	private PeerConnection connection;

	private boolean connected = true;

	private long lostMillis = Long.MAX_VALUE;

	private Traffic.AnswerHead head;

	private long acknowledged;

	private long produced;

	private Traffic terminal;

	private boolean taken;

	AnswerStream(RequestId request, PeerConnection connection) {
		this.request = request;
		this.connection = connection;
	}

	synchronized void head(int status, List<Traffic.Header> headers) {
		this.head = new Traffic.AnswerHead(this.request, status, headers);
		send(this.head);
	}

	synchronized void data(byte[] bytes) {
		Traffic.AnswerData data = new Traffic.AnswerData(this.request, this.produced, bytes);
		this.tail.add(bytes);
		this.produced += bytes.length;
		send(data);
	}

	synchronized void end() {
		terminate(new Traffic.AnswerEnd(this.request, this.produced));
	}

	synchronized void fail(Traffic.FailureReason reason, long retryAfterMillis, String message) {
		terminate(new Traffic.AnswerFailure(this.request, reason, retryAfterMillis, message));
	}

	private void terminate(Traffic message) {
		if (this.terminal == null) {
			this.terminal = message;
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
		if (offset <= this.produced) {
			release(offset);
		}
		this.taken = this.terminal instanceof Traffic.AnswerEnd && offset == this.produced;
		return full && hasRoom();
	}

	private void release(long offset) {
		while (!this.tail.isEmpty() && this.acknowledged + this.tail.peek().length <= offset) {
			this.acknowledged += this.tail.poll().length;
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
		if (offset < this.acknowledged || offset > this.produced) {
			return false;
		}
		this.connection = next;
		this.connected = true;
		this.lostMillis = Long.MAX_VALUE;
		release(offset);
		if (this.head != null && !headReceived) {
			send(this.head);
		}
		sendTail();
		if (this.terminal != null) {
			send(this.terminal);
		}
		return true;
	}

	private void sendTail() {
		long offset = this.acknowledged;
		for (byte[] piece : this.tail) {
			send(new Traffic.AnswerData(this.request, offset, piece));
			offset += piece.length;
		}
	}

	synchronized void lost(PeerConnection gone, long nowMillis) {
		if (Objects.equals(this.connection, gone)) {
			this.connected = false;
			this.lostMillis = nowMillis;
		}
	}

	/**
	 * Tells how long nobody has been there to take the answer.
	 * @param nowMillis the time now
	 * @return how many milliseconds, 0 while connected
	 */
	synchronized long millisSinceLost(long nowMillis) {
		return (this.connected) ? 0 : nowMillis - this.lostMillis;
	}

	synchronized boolean hasRoom() {
		return this.produced - this.acknowledged < WINDOW_BYTES;
	}

	synchronized boolean isTerminated() {
		return this.terminal != null;
	}

	/**
	 * Tells whether the entry has acknowledged the whole answer.
	 * @return whether nothing needs to be kept
	 */
	synchronized boolean isTaken() {
		return this.taken;
	}

	/**
	 * Tells whether the entry has been told that there is no answer.
	 * @return whether a failure has been sent over an open connection
	 */
	synchronized boolean isFailed() {
		return this.terminal instanceof Traffic.AnswerFailure && this.connected;
	}

}
