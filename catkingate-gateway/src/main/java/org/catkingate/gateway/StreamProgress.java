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
	 * @return whether the last event of the started stream has an id
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

	/**
	 * Returns whether a continuation has been accepted of which no event was placed yet.
	 * @return whether the current runner has added nothing to the stream
	 */
	boolean isContinuing() {
		return this.continuing;
	}

	private static String contentType(ClientResponse head) {
		HeaderMap headers = head.getResponseHeaders();
		String value = headers.getFirst(Headers.CONTENT_TYPE);
		return (value != null) ? value.split(";", 2)[0].strip() : "";
	}

	/**
	 * Places the next event with data of the current runner in the stream.
	 * @param id the id of the event, null if it has none
	 * @return what to do with the event
	 */
	Placement place(Long id) {
		if (id == null) {
			if (this.continuing) {
				return Placement.UNPLACEABLE;
			}
			this.positionKnown = false;
			return Placement.NEXT;
		}
		if (this.lastEventId != null && id <= this.lastEventId) {
			return Placement.REPEATED;
		}
		if (this.continuing && this.step > UNKNOWN_STEP && id != this.lastEventId + this.step) {
			return Placement.UNPLACEABLE;
		}
		if (this.lastEventId != null) {
			recordStep(id - this.lastEventId);
		}
		this.lastEventId = id;
		this.positionKnown = true;
		this.continuing = false;
		return Placement.NEXT;
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

	/**
	 * What to do with an event of a runner.
	 */
	enum Placement {

		/** The event is the next one; it is forwarded. */
		NEXT,

		/** The caller has received the event already; it is discarded. */
		REPEATED,

		/**
		 * The event cannot be the next one, so the runner does not continue the stream.
		 */
		UNPLACEABLE

	}

}
