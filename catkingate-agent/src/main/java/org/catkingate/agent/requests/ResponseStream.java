package org.catkingate.agent.requests;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;

import org.catkingate.model.RequestId;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.wire.RequestMessage;

/**
 * Stream of one response to its entry. It keeps the part of the body that the entry has
 * not acknowledged, at most {@link #WINDOW_BYTES} and one buffer, so that the response
 * can resume over another connection. Safe for use by any thread.
 */
final class ResponseStream {

	/** The number of unacknowledged bytes at which the stream accepts no more data. */
	static final int WINDOW_BYTES = 128 * 1024;

	private final RequestId request;

	private final Deque<byte[]> unacknowledged = new ArrayDeque<>();

	private PeerConnection connection;

	private boolean connected = true;

	private long lostAtMillis = Long.MAX_VALUE;

	private RequestMessage.ResponseHead head;

	private long acknowledgedBytes;

	private long producedBytes;

	private RequestMessage finalMessage;

	private boolean fullyAcknowledged;

	ResponseStream(RequestId request, PeerConnection connection) {
		this.request = request;
		this.connection = connection;
	}

	synchronized void head(int status, List<RequestMessage.Header> headers) {
		this.head = new RequestMessage.ResponseHead(this.request, status, headers);
		send(this.head);
	}

	synchronized void data(byte[] bytes) {
		RequestMessage.ResponseData data = new RequestMessage.ResponseData(this.request, this.producedBytes, bytes);
		this.unacknowledged.add(bytes);
		this.producedBytes += bytes.length;
		send(data);
	}

	synchronized void end() {
		terminate(new RequestMessage.ResponseEnd(this.request, this.producedBytes));
	}

	synchronized void fail(RequestMessage.FailureReason reason, long retryAfterMillis, String message) {
		terminate(new RequestMessage.ResponseFailure(this.request, reason, retryAfterMillis, message));
	}

	private void terminate(RequestMessage message) {
		if (this.finalMessage == null) {
			this.finalMessage = message;
			send(message);
		}
	}

	private void send(RequestMessage message) {
		if (this.connected) {
			this.connected = this.connection.frameConnection().send(message);
		}
	}

	/**
	 * Records how much of the body the entry has received.
	 * @param offset the number of bytes of the body
	 * @return whether the stream accepts data now and did not before
	 */
	synchronized boolean acknowledge(long offset) {
		boolean full = !canAccept();
		if (offset <= this.producedBytes) {
			release(offset);
		}
		this.fullyAcknowledged = this.finalMessage instanceof RequestMessage.ResponseEnd
				&& offset == this.producedBytes;
		return full && canAccept();
	}

	private void release(long offset) {
		while (!this.unacknowledged.isEmpty() && this.acknowledgedBytes + this.unacknowledged.peek().length <= offset) {
			this.acknowledgedBytes += this.unacknowledged.poll().length;
		}
	}

	/**
	 * Resumes the response over another connection, after the part that the entry has
	 * received.
	 * @param next the connection
	 * @param headReceived whether the entry has received the head
	 * @param offset the number of bytes of the body that it has received
	 * @return whether the response can resume from there
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
		for (byte[] buffer : this.unacknowledged) {
			send(new RequestMessage.ResponseData(this.request, offset, buffer));
			offset += buffer.length;
		}
	}

	synchronized void connectionLost(PeerConnection closed, long nowMillis) {
		if (Objects.equals(this.connection, closed)) {
			this.connected = false;
			this.lostAtMillis = nowMillis;
		}
	}

	/**
	 * Returns how long there has been no connection to the entry.
	 * @param nowMillis the current time, in milliseconds
	 * @return the duration in milliseconds, 0 while connected
	 */
	synchronized long millisSinceLost(long nowMillis) {
		return (this.connected) ? 0 : nowMillis - this.lostAtMillis;
	}

	synchronized boolean canAccept() {
		return this.producedBytes - this.acknowledgedBytes < WINDOW_BYTES;
	}

	synchronized boolean isTerminated() {
		return this.finalMessage != null;
	}

	/**
	 * Returns whether the entry has acknowledged the complete response.
	 * @return whether nothing needs to be kept
	 */
	synchronized boolean isFullyAcknowledged() {
		return this.fullyAcknowledged;
	}

	/**
	 * Returns whether the entry has been notified of a failure.
	 * @return whether a failure has been sent over an open connection
	 */
	synchronized boolean isFailureSent() {
		return this.finalMessage instanceof RequestMessage.ResponseFailure && this.connected;
	}

}
