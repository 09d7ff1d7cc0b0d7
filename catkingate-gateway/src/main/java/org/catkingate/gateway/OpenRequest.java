package org.catkingate.gateway;

import java.util.Locale;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;

/**
 * A request from the arrival of its head until its response is handed over to the
 * operating system. It is changed by the traffic thread only; any thread may read it and
 * record that it is cut off.
 */
final class OpenRequest {

	private static final AttachmentKey<OpenRequest> KEY = AttachmentKey.create(OpenRequest.class);

	private static final String CONNECTION_CLOSED = "connection-closed";

	private final HttpServerExchange exchange;

	private final long arrivedAtMillis;

	private final OptionalLong inShutdownMillis;

	private final BiConsumer<OpenRequest, String> cutOffListener;

	private final Consumer<OpenRequest> endListener;

	private volatile String requestId;

	private volatile Phase phase = Phase.BODY;

	private volatile String outcome;

	private boolean ended;

	/**
	 * Creates a request, and attaches it to its exchange.
	 * @param exchange the exchange of the request
	 * @param arrivedAtMillis when its head arrived, in monotonic milliseconds
	 * @param inShutdownMillis the time between the beginning of the shutdown and the
	 * arrival, in milliseconds, empty if it arrived before
	 * @param cutOffListener receives the request and the reason if it is cut off
	 * @param endListener receives the request when nothing more can be recorded of it
	 */
	OpenRequest(HttpServerExchange exchange, long arrivedAtMillis, OptionalLong inShutdownMillis,
			BiConsumer<OpenRequest, String> cutOffListener, Consumer<OpenRequest> endListener) {
		this.exchange = exchange;
		this.arrivedAtMillis = arrivedAtMillis;
		this.inShutdownMillis = inShutdownMillis;
		this.cutOffListener = cutOffListener;
		this.endListener = endListener;
		exchange.putAttachment(KEY, this);
	}

	/**
	 * Returns the request of an exchange.
	 * @param exchange the exchange, which is tracked
	 * @return the request, never null
	 */
	static OpenRequest of(HttpServerExchange exchange) {
		return exchange.getAttachment(KEY);
	}

	/**
	 * Records the id that the head states.
	 * @param id the id of the request
	 */
	void recordId(String id) {
		this.requestId = id;
	}

	/**
	 * Records how far the request has got.
	 * @param reached the phase
	 */
	void recordPhase(Phase reached) {
		this.phase = reached;
	}

	/**
	 * Records that the outcome has been logged and that a response follows.
	 * @param loggedOutcome the outcome
	 */
	void recordResponse(String loggedOutcome) {
		this.outcome = loggedOutcome;
		this.phase = Phase.UNDELIVERED;
		if (!this.exchange.getConnection().isOpen()) {
			cutOff(CONNECTION_CLOSED);
		}
	}

	/**
	 * Records that the outcome has been logged and that the caller gets no response, or
	 * an incomplete one.
	 */
	void recordLoss() {
		end();
	}

	/**
	 * Records that the exchange has ended, which it also does when its connection closes.
	 */
	void handleExchangeEnd() {
		if (this.outcome == null) {
			cutOff("failed");
		}
		else if (!isDelivered()) {
			cutOff(CONNECTION_CLOSED);
		}
		end();
	}

	private boolean isDelivered() {
		long length = this.exchange.getResponseContentLength();
		return this.exchange.getConnection().isOpen() || (length >= 0 && sentBytes() >= length);
	}

	/**
	 * Records that the connection has been closed. What happens to a request that has
	 * been admitted is recorded when the attempts to serve it end.
	 */
	void handleClose() {
		if (this.outcome == null && this.phase != Phase.BODY) {
			return;
		}
		if (!this.exchange.isResponseComplete()) {
			cutOff(CONNECTION_CLOSED);
		}
		end();
	}

	/**
	 * Records that the request is cut off, unless it has ended.
	 * @param reason the reason
	 */
	void cutOff(String reason) {
		if (end()) {
			this.cutOffListener.accept(this, reason);
		}
	}

	private boolean end() {
		synchronized (this) {
			if (this.ended) {
				return false;
			}
			this.ended = true;
		}
		this.endListener.accept(this);
		return true;
	}

	/**
	 * Returns the id of the request.
	 * @return the id, null if its head has not been read or states none
	 */
	String requestId() {
		return this.requestId;
	}

	Phase phase() {
		return this.phase;
	}

	/**
	 * Returns the outcome that has been logged.
	 * @return the outcome, null if none has been
	 */
	String outcome() {
		return this.outcome;
	}

	long arrivedAtMillis() {
		return this.arrivedAtMillis;
	}

	OptionalLong inShutdownMillis() {
		return this.inShutdownMillis;
	}

	/**
	 * Returns how much of the body of the response the connection has taken.
	 * @return the number of bytes
	 */
	long sentBytes() {
		return this.exchange.getResponseBytesSent();
	}

	/**
	 * How far a request has got.
	 */
	enum Phase {

		/** Its body is incomplete. */
		BODY,

		/** It waits for a runner. */
		WAITING,

		/** It has been sent to a runner, whose response has not started. */
		SENT,

		/** A part of the response has been forwarded. */
		RESPONDING,

		/**
		 * Its outcome has been logged, and the caller's connection has not taken the
		 * whole response.
		 */
		UNDELIVERED;

		/**
		 * Returns the name for logs and metrics.
		 * @return the name, never null
		 */
		String text() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

}
