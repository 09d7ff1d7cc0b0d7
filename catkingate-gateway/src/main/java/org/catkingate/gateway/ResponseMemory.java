package org.catkingate.gateway;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.memory.UnreadResponses;
import org.catkingate.runtime.MonotonicClock;

/**
 * The memory of responses that callers have not read yet or that are not complete, whose
 * sum is bounded. Once it is used up, the response that has been held for the longest is
 * forwarded as far as it has come, or cut if that frees nothing. Used by the traffic
 * thread only.
 */
final class ResponseMemory {

	/**
	 * The number of bytes that may be held for one response in any case, several times
	 * what a caller has on the way on a long link.
	 */
	static final long MIN_SHARE_BYTES = 256 * 1024;

	/**
	 * The part of the heap that all responses together may occupy, also if more is
	 * configured.
	 */
	private static final int HEAP_DIVISOR = 4;

	private static final Logger logger = LoggerFactory.getLogger(ResponseMemory.class);

	private final UnreadResponses<ResponseRelay> unread;

	private final MonotonicClock clock;

	private final GatewayMetrics metrics;

	private ResponseMemory(long maxBytes, MonotonicClock clock, GatewayMetrics metrics) {
		this.unread = new UnreadResponses<>(maxBytes);
		this.clock = clock;
		this.metrics = metrics;
	}

	/**
	 * Creates the record for a process.
	 * @param maxBytes the memory for all responses together
	 * @param heapBytes the maximum size of its heap
	 * @param clock the clock
	 * @param metrics counts the responses that are cut
	 * @return the record without any response, never null
	 */
	static ResponseMemory create(long maxBytes, long heapBytes, MonotonicClock clock, GatewayMetrics metrics) {
		return new ResponseMemory(Math.min(maxBytes, heapBytes / HEAP_DIVISOR), clock, metrics);
	}

	/**
	 * Records what is held for a response. Responses may be forwarded or cut, also this
	 * one.
	 * @param response the response
	 * @param heldBytes the bytes that are held for it
	 * @param readBytes the bytes that its caller has taken so far
	 */
	void record(ResponseRelay response, long heldBytes, long readBytes) {
		this.unread.record(response, heldBytes, readBytes, this.clock.millis()).forEach((cut) -> {
			if (!cut.response().forwardIncomplete()) {
				cut(cut);
			}
		});
	}

	private void cut(UnreadResponses.Cut<ResponseRelay> cut) {
		this.metrics.countSlowReader();
		logger.atWarn()
			.addKeyValue("event", "slow-reader-cut")
			.addKeyValue("held-bytes", cut.heldBytes())
			.addKeyValue("unread-ms", cut.unreadMillis())
			.addKeyValue("held-bytes-of-others", this.unread.totalBytes())
			.log("a caller that does not read, or whose runner does not complete an event, is disconnected; "
					+ "the memory for responses is used up");
		cut.response().cut();
	}

	/**
	 * Returns whether more may be held for a response.
	 * @param heldBytes the bytes that are held for it
	 * @return whether it holds less than its share
	 */
	boolean hasRoom(long heldBytes) {
		return heldBytes < this.unread.shareBytes(MIN_SHARE_BYTES);
	}

	void remove(ResponseRelay response) {
		this.unread.remove(response);
	}

}
