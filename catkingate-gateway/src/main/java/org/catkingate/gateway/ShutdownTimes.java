package org.catkingate.gateway;

import java.util.OptionalLong;

/**
 * When the shutdown of this process began, and when it ends the requests in progress.
 * Before the shutdown both lie in the indefinite future. Used by the traffic thread only.
 */
final class ShutdownTimes {

	private long startedAtMillis = Long.MAX_VALUE;

	private long requestsEndAtMillis = Long.MAX_VALUE;

	/**
	 * Records that the shutdown has begun.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @param endAtMillis when requests in progress are ended, in monotonic milliseconds
	 */
	void start(long nowMillis, long endAtMillis) {
		this.startedAtMillis = nowMillis;
		this.requestsEndAtMillis = endAtMillis;
	}

	boolean isStarted() {
		return this.startedAtMillis != Long.MAX_VALUE;
	}

	/**
	 * Returns when requests in progress are ended.
	 * @return the time in monotonic milliseconds, {@link Long#MAX_VALUE} before the
	 * shutdown
	 */
	long requestsEndAtMillis() {
		return this.requestsEndAtMillis;
	}

	/**
	 * Returns how long after the beginning of the shutdown a moment was.
	 * @param atMillis the moment, in monotonic milliseconds
	 * @return the time in milliseconds, empty if it was before
	 */
	OptionalLong sinceStartMillis(long atMillis) {
		return (atMillis < this.startedAtMillis) ? OptionalLong.empty()
				: OptionalLong.of(atMillis - this.startedAtMillis);
	}

}
