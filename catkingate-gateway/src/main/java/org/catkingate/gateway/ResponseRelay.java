package org.catkingate.gateway;

import java.nio.ByteBuffer;
import java.util.Optional;

import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;

import org.catkingate.runtime.http.CallerResponseWriter;

/**
 * A relay that forwards the response of one or more runners to a caller. An event stream
 * is forwarded in complete events, each of them once, even if another runner continues
 * the stream; only a response that is provably its rest does. Any other response is
 * buffered until it is complete, exceeds {@link #MAX_BUFFERED_BYTES} or has to give up
 * its memory to others. Used by the traffic thread only.
 */
final class ResponseRelay {

	/** The maximum length of a response that is buffered until it is complete. */
	private static final int MAX_BUFFERED_BYTES = 256 * 1024;

	/**
	 * The maximum length of an event, of which nothing is forwarded until it is complete.
	 */
	private static final int MAX_EVENT_BYTES = 256 * 1024;

	/** The maximum length of a response that is not a stream of events. */
	private static final long MAX_PLAIN_RESPONSE_BYTES = 64L * 1024 * 1024;

	private final EventSplitter events = new EventSplitter();

	private final CallerResponseWriter callerResponse;

	private final ResponseMemory memory;

	private final Runnable disconnected;

	private ClientResponse runnerResponse;

	private boolean streaming;

	private final StreamProgress progress = new StreamProgress();

	private boolean unplaceableEvent;

	/** Whether an event of the current runner has been placed in the stream. */
	private boolean eventPlaced;

	/** The bytes received of a response that is not a stream of events. */
	private long plainBytes;

	/**
	 * Creates a relay that has not written anything yet.
	 * @param exchange the caller's exchange
	 * @param memory bounds what is held for all callers together
	 * @param writable run when the caller's connection becomes writable
	 * @param disconnected run if a write finds the caller's connection closed, or the
	 * caller is disconnected since it does not read
	 */
	ResponseRelay(HttpServerExchange exchange, ResponseMemory memory, Runnable writable, Runnable disconnected) {
		this.memory = memory;
		this.disconnected = disconnected;
		exchange.addExchangeCompleteListener((completed, next) -> {
			memory.remove(this);
			next.proceed();
		});
		this.callerResponse = new CallerResponseWriter(exchange, writable, disconnected);
	}

	/**
	 * Receives the head of a runner's response and discards what is buffered of a
	 * previous one. The head of a continuation is checked, but not forwarded.
	 * @param head the status and the headers
	 * @param eventStream whether the body is a stream of events
	 * @return whether the response can be forwarded; not so if the response to the caller
	 * has started and this one does not continue it
	 */
	boolean receiveHead(ClientResponse head, boolean eventStream) {
		discardBuffered();
		this.eventPlaced = false;
		if (isStarted()) {
			return this.streaming && eventStream && this.progress.acceptContinuation(head);
		}
		this.runnerResponse = head;
		this.streaming = eventStream;
		return true;
	}

	/**
	 * Discards the part of a runner's response that has not been forwarded.
	 */
	void discardBuffered() {
		this.events.clear();
		this.plainBytes = 0;
		this.unplaceableEvent = false;
		if (!isStarted()) {
			this.callerResponse.clear();
		}
		recordHeldBytes();
	}

	/**
	 * Returns whether the response to the caller has started.
	 * @return whether the caller may have received a part of it
	 */
	boolean isStarted() {
		return this.callerResponse.isStarted();
	}

	/**
	 * Returns whether another runner can respond in place of the one that failed.
	 * @return whether nothing has been forwarded, or a stream whose events have
	 * increasing ids
	 */
	boolean canBeContinued() {
		return !isStarted() || (this.streaming && this.progress.canBeResumed());
	}

	/**
	 * Returns whether more of the body can be accepted now.
	 * @return whether there is room for bytes that wait for the caller
	 */
	boolean canAccept() {
		return this.memory.hasRoom(this.callerResponse.heldBytes());
	}

	/**
	 * Returns the status of the runner's response.
	 * @return the HTTP status
	 */
	int status() {
		return this.runnerResponse.getResponseCode();
	}

	/**
	 * Returns the id of the last event that was forwarded.
	 * @return the id, null if no event with a numeric id was forwarded
	 */
	Long lastEventId() {
		return this.progress.lastEventId();
	}

	/**
	 * Returns whether the response contains an event that cannot follow those that were
	 * forwarded. Neither it nor what came after it has been forwarded.
	 * @return whether the response does not continue the stream
	 */
	boolean hasUnplaceableEvent() {
		return this.unplaceableEvent;
	}

	/**
	 * Returns whether the received part of a stream ends inside an event.
	 * @return whether the last event is incomplete
	 */
	boolean isInsideEvent() {
		return this.streaming && this.events.hasIncompleteEvent();
	}

	/**
	 * Returns whether the current runner has sent no event of the stream.
	 * @return whether the response is a stream to which this runner has added nothing
	 */
	boolean lacksEvents() {
		return this.streaming && !this.eventPlaced;
	}

	void receiveData(byte[] bytes) {
		if (this.streaming) {
			this.events.add(bytes, this::forward);
		}
		else {
			this.plainBytes += bytes.length;
			this.callerResponse.add(ByteBuffer.wrap(bytes));
			if (this.plainBytes > MAX_BUFFERED_BYTES || !canAccept()) {
				startIfNeeded();
			}
		}
		if (isStarted()) {
			flush();
		}
		else {
			recordHeldBytes();
		}
	}

	/**
	 * Forwards what has been buffered of a response that is not complete, so that it need
	 * not be held any more. If its runner fails from now on, no other one can respond.
	 * @return whether a response was buffered; not so if its caller does not read, or if
	 * it consists of an incomplete event
	 */
	boolean forwardIncomplete() {
		if (this.streaming || isStarted()) {
			return false;
		}
		startIfNeeded();
		flush();
		return true;
	}

	/**
	 * Returns why the received part of the response is too long.
	 * @return the limit that it exceeds, empty if it exceeds none
	 */
	Optional<String> exceededLimit() {
		if (this.events.incompleteBytes() > MAX_EVENT_BYTES) {
			return Optional.of("an event is longer than " + MAX_EVENT_BYTES + " bytes");
		}
		return (this.plainBytes > MAX_PLAIN_RESPONSE_BYTES)
				? Optional.of("the response is longer than " + MAX_PLAIN_RESPONSE_BYTES + " bytes") : Optional.empty();
	}

	private void forward(EventSplitter.Event event) {
		if (this.unplaceableEvent) {
			return;
		}
		if (event.hasPosition()) {
			this.unplaceableEvent = !this.progress.place(event.id());
			if (this.unplaceableEvent) {
				return;
			}
			this.eventPlaced = true;
		}
		startIfNeeded();
		this.callerResponse.add(ByteBuffer.wrap(event.bytes()));
	}

	private void startIfNeeded() {
		if (!this.callerResponse.isStarted()) {
			this.progress.start(this.runnerResponse);
			this.callerResponse.start(status(), headers());
		}
	}

	private HeaderMap headers() {
		HeaderMap headers = this.runnerResponse.getResponseHeaders();
		if (this.streaming) {
			// the length differs if another runner continues the stream
			headers.remove(Headers.CONTENT_LENGTH);
		}
		return headers;
	}

	/**
	 * Marks the response as complete; {@link #flush()} writes what is pending.
	 */
	void end() {
		HeaderMap headers = this.runnerResponse.getResponseHeaders();
		if (!this.callerResponse.isStarted() && !this.streaming && !headers.contains(Headers.CONTENT_LENGTH)) {
			headers.put(Headers.CONTENT_LENGTH, Long.toString(this.plainBytes));
			headers.remove(Headers.TRANSFER_ENCODING);
		}
		startIfNeeded();
		this.callerResponse.end();
	}

	/**
	 * Writes as much as the caller's connection accepts now.
	 */
	void flush() {
		this.callerResponse.writePendingBytes();
		recordHeldBytes();
	}

	private void recordHeldBytes() {
		this.memory.record(this, this.callerResponse.heldBytes() + this.events.incompleteBytes(),
				this.callerResponse.writtenBytes());
	}

	/**
	 * Disconnects the caller, which does not read or whose stream does not get on. The
	 * response is visibly incomplete.
	 */
	void cut() {
		abort();
		this.disconnected.run();
	}

	/**
	 * Closes the caller's connection without completing the response, so that the caller
	 * detects that it is incomplete.
	 */
	void abort() {
		this.events.clear();
		this.memory.remove(this);
		this.callerResponse.abort();
	}

}
