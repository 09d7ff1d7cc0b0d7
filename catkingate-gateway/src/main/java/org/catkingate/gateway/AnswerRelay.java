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
final class AnswerRelay {

	/** Answers up to this length are passed on only when they are whole, in bytes. */
	private static final int HELD_BYTES = 256 * 1024;

	/** How much may wait for a slow caller before the runner is held up, in bytes. */
	private static final int PENDING_BYTES = 256 * 1024;

	private final EventSplitter events = new EventSplitter();

	private final ByteArrayOutputStream held = new ByteArrayOutputStream();

	private final CallerAnswer answer;

	private ClientResponse response;

	private boolean streaming;

	private Long lastEvent;

	/**
	 * Prepares the way; nothing is written yet.
	 * @param exchange the caller's exchange
	 * @param writable is run when the caller takes more
	 * @param departed is run if the caller's connection turns out lost
	 */
	AnswerRelay(HttpServerExchange exchange, Runnable writable, Runnable departed) {
		this.answer = new CallerAnswer(exchange, writable, departed);
	}

	/**
	 * Takes the head of a runner's answer.
	 * @param head the status and the headers
	 * @param inEvents whether the body is a stream of events
	 */
	void head(ClientResponse head, boolean inEvents) {
		this.response = head;
		this.streaming = inEvents;
		forget();
	}

	/**
	 * Drops what has come of a runner's answer and has not been passed on.
	 */
	void forget() {
		this.events.clear();
		this.held.reset();
	}

	/**
	 * Tells whether the caller may have seen something of the answer.
	 * @return whether it has begun
	 */
	boolean isBegun() {
		return this.answer.isBegun();
	}

	boolean isStreaming() {
		return this.streaming;
	}

	/**
	 * Tells whether more of the body is wanted now.
	 * @return whether the caller keeps up
	 */
	boolean hasRoom() {
		return this.answer.pendingBytes() < PENDING_BYTES;
	}

	/**
	 * Returns the status of the runner's answer.
	 * @return the HTTP status
	 */
	int status() {
		return this.response.getResponseCode();
	}

	/**
	 * Returns the last event that was passed on.
	 * @return its id, null if there was none
	 */
	Long lastEvent() {
		return this.lastEvent;
	}

	/**
	 * Tells whether a stream would end inside an event.
	 * @return whether the last event has not come whole
	 */
	boolean isInsideEvent() {
		return this.streaming && this.events.hasRest();
	}

	void data(byte[] bytes) {
		if (this.streaming) {
			this.events.add(bytes, this::passOn);
			if (this.answer.isBegun()) {
				this.answer.proceed();
			}
			return;
		}
		this.held.writeBytes(bytes);
		if (this.held.size() > HELD_BYTES) {
			passHeld();
			this.answer.proceed();
		}
	}

	private void passOn(EventSplitter.Event event) {
		if (event.id() != null) {
			if (this.lastEvent != null && event.id() <= this.lastEvent) {
				return;
			}
			this.lastEvent = event.id();
		}
		begin();
		this.answer.add(ByteBuffer.wrap(event.bytes()));
	}

	private void passHeld() {
		begin();
		if (this.held.size() > 0) {
			this.answer.add(ByteBuffer.wrap(this.held.toByteArray()));
			this.held.reset();
		}
	}

	private void begin() {
		if (!this.answer.isBegun()) {
			this.answer.begin(status(), headers());
		}
	}

	private HeaderMap headers() {
		HeaderMap headers = this.response.getResponseHeaders();
		if (this.streaming) {
			// a stream that goes on at another runner has another length
			headers.remove(Headers.CONTENT_LENGTH);
		}
		return headers;
	}

	/**
	 * Takes the proper end of the answer; what waits is written by {@link #proceed()}.
	 */
	void end() {
		HeaderMap headers = this.response.getResponseHeaders();
		if (!this.answer.isBegun() && !this.streaming && !headers.contains(Headers.CONTENT_LENGTH)) {
			headers.put(Headers.CONTENT_LENGTH, Integer.toString(this.held.size()));
			headers.remove(Headers.TRANSFER_ENCODING);
		}
		passHeld();
		this.answer.end();
	}

	/**
	 * Writes what the caller takes now.
	 */
	void proceed() {
		this.answer.proceed();
	}

	/**
	 * Closes the caller's connection without ending the answer.
	 */
	void cut() {
		this.answer.cut();
	}

}
