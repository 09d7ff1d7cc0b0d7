package org.catkingate.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;

import org.catkingate.runtime.http.CallerAnswer;

/**
 * The way of an answer from runners to its caller. A stream is passed on in whole events,
 * each once, also where another runner goes on with it; any other answer is held until it
 * is whole or too long. Used by the traffic thread only.
 */
final class ResponseRelay {

	/** Answers up to this length are passed on only when they are whole, in bytes. */
	private static final int MAX_BUFFERED_BYTES = 256 * 1024;

	/** How much may wait for a slow caller before the runner is held up, in bytes. */
	private static final int MAX_PENDING_BYTES = 256 * 1024;

	private final EventSplitter events = new EventSplitter();

	private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();

	private final CallerAnswer callerResponse;

	private ClientResponse runnerResponse;

	private boolean streaming;

	private Long lastEventId;

	/**
	 * Prepares the way; nothing is written yet.
	 * @param exchange the caller's exchange
	 * @param writable is run when the caller takes more
	 * @param departed is run if the caller's connection turns out lost
	 */
	ResponseRelay(HttpServerExchange exchange, Runnable writable, Runnable departed) {
		this.callerResponse = new CallerAnswer(exchange, writable, departed);
	}

	/**
	 * Takes the head of a runner's answer.
	 * @param head the status and the headers
	 * @param inEvents whether the body is a stream of events
	 */
	void receiveHead(ClientResponse head, boolean inEvents) {
		this.runnerResponse = head;
		this.streaming = inEvents;
		discardBuffered();
	}

	/**
	 * Drops what has come of a runner's answer and has not been passed on.
	 */
	void discardBuffered() {
		this.events.clear();
		this.buffer.reset();
	}

	/**
	 * Tells whether the caller may have seen something of the answer.
	 * @return whether it has begun
	 */
	boolean isStarted() {
		return this.callerResponse.isBegun();
	}

	boolean isStreaming() {
		return this.streaming;
	}

	/**
	 * Tells whether more of the body is wanted now.
	 * @return whether the caller keeps up
	 */
	boolean hasRoom() {
		return this.callerResponse.pendingBytes() < MAX_PENDING_BYTES;
	}

	/**
	 * Returns the status of the runner's answer.
	 * @return the HTTP status
	 */
	int status() {
		return this.runnerResponse.getResponseCode();
	}

	/**
	 * Returns the last event that was passed on.
	 * @return its id, null if there was none
	 */
	Long lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Tells whether a stream would end inside an event.
	 * @return whether the last event has not come whole
	 */
	boolean isInsideEvent() {
		return this.streaming && this.events.hasIncompleteEvent();
	}

	void receiveData(byte[] bytes) {
		if (this.streaming) {
			this.events.add(bytes, this::forward);
			if (this.callerResponse.isBegun()) {
				this.callerResponse.proceed();
			}
			return;
		}
		this.buffer.writeBytes(bytes);
		if (this.buffer.size() > MAX_BUFFERED_BYTES) {
			forwardBuffered();
			this.callerResponse.proceed();
		}
	}

	private void forward(EventSplitter.Event event) {
		if (event.id() != null) {
			if (this.lastEventId != null && event.id() <= this.lastEventId) {
				return;
			}
			this.lastEventId = event.id();
		}
		startIfNeeded();
		this.callerResponse.add(ByteBuffer.wrap(event.bytes()));
	}

	private void forwardBuffered() {
		startIfNeeded();
		if (this.buffer.size() > 0) {
			this.callerResponse.add(ByteBuffer.wrap(this.buffer.toByteArray()));
			this.buffer.reset();
		}
	}

	private void startIfNeeded() {
		if (!this.callerResponse.isBegun()) {
			this.callerResponse.begin(status(), headers());
		}
	}

	private HeaderMap headers() {
		HeaderMap headers = this.runnerResponse.getResponseHeaders();
		if (this.streaming) {
			// a stream that goes on at another runner has another length
			headers.remove(Headers.CONTENT_LENGTH);
		}
		return headers;
	}

	/**
	 * Takes the proper end of the answer; what waits is written by {@link #flush()}.
	 */
	void end() {
		HeaderMap headers = this.runnerResponse.getResponseHeaders();
		if (!this.callerResponse.isBegun() && !this.streaming && !headers.contains(Headers.CONTENT_LENGTH)) {
			headers.put(Headers.CONTENT_LENGTH, Integer.toString(this.buffer.size()));
			headers.remove(Headers.TRANSFER_ENCODING);
		}
		forwardBuffered();
		this.callerResponse.end();
	}

	/**
	 * Writes what the caller takes now.
	 */
	void flush() {
		this.callerResponse.proceed();
	}

	/**
	 * Closes the caller's connection without ending the answer.
	 */
	void abort() {
		this.callerResponse.cut();
	}

}
