package org.catkingate.gateway;

import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;

/**
 * The progress of a stream of events towards a caller, which decides whether the response
 * of another runner continues the stream. A response that is not provably the rest of the
 * stream must not reach the caller, since it would make an incomplete stream look
 * complete. Not safe for use by several threads.
 */
final class StreamProgress {

	/** The difference between the ids of two consecutive events is not known. */
	private static final long UNKNOWN_STEP = 0;

	/** The ids of consecutive events differ by various amounts. */
	private static final long VARYING_STEP = -1;

	private ClientResponse firstHead;

	private Long lastEventId;

	private long step = UNKNOWN_STEP;

	/** Whether the last id tells which events were forwarded. */
	private boolean positionKnown = true;

	/** Whether a continuation has been accepted of which no event was placed yet. */
	private boolean continuing;

	/**
	 * Records the head with which the stream has started.
	 * @param head the status and the headers that the caller receives
	 */
	void start(ClientResponse head) {
		this.firstHead = head;
	}

	/**
	 * Returns whether another runner can be told where to continue the stream.
	 * @return whether all events of the started stream have increasing ids
	 */
	boolean canBeResumed() {
		return this.lastEventId != null && this.positionKnown;
	}

	/**
	 * Returns whether a response has the head of a continuation of the started stream,
	 * and records the start of the continuation if so.
	 * @param head the status and the headers of the response
	 * @return whether its status and content type are those of the started stream
	 */
	boolean acceptContinuation(ClientResponse head) {
		this.continuing = canBeResumed() && head.getResponseCode() == this.firstHead.getResponseCode()
				&& contentType(head).equalsIgnoreCase(contentType(this.firstHead));
		return this.continuing;
	}

	private static String contentType(ClientResponse head) {
		HeaderMap headers = head.getResponseHeaders();
		String value = headers.getFirst(Headers.CONTENT_TYPE);
		return (value != null) ? value.split(";", 2)[0].strip() : "";
	}

	/**
	 * Places the next event of the current runner in the stream.
	 * @param id the id of the event, null if it has none
	 * @return whether the event follows those that were forwarded; if not, the runner
	 * does not continue the stream
	 */
	boolean place(Long id) {
		if (this.continuing && (id == null || !follows(id))) {
			return false;
		}
		if (id == null || (this.lastEventId != null && id <= this.lastEventId)) {
			// one runner's events are forwarded in any case, but no other can resume them
			this.positionKnown = false;
			return true;
		}
		if (this.lastEventId != null) {
			recordStep(id - this.lastEventId);
		}
		this.lastEventId = id;
		this.continuing = false;
		return true;
	}

	/*
	 * Consecutive ids are assumed until two events have shown the step.
	 */
	private boolean follows(long id) {
		if (this.step == VARYING_STEP) {
			return id > this.lastEventId;
		}
		return id == this.lastEventId + ((this.step == UNKNOWN_STEP) ? 1 : this.step);
	}

	private void recordStep(long next) {
		this.step = (this.step == UNKNOWN_STEP || this.step == next) ? next : VARYING_STEP;
	}

	/**
	 * Returns the id of the last event that was forwarded.
	 * @return the id, null if no event with a numeric id was forwarded
	 */
	Long lastEventId() {
		return this.lastEventId;
	}

}
