package org.catkingate.decisions.shutdown;

/**
 * The schedule of a graceful shutdown, and which requests may still be taken under it. In
 * the notice period, load balancers learn of the shutdown and requests still arrive.
 * Later ones belong to callers that have not learned of it. Immutable. All times are in
 * monotonic milliseconds.
 *
 * @param startMillis when the shutdown begins
 * @param noticeEndMillis when the notice period ends
 * @param requestsEndMillis when requests in progress are ended
 * @param processEndMillis when the process ends at the latest
 * @since 0.1
 */
public record ShutdownSchedule(long startMillis, long noticeEndMillis, long requestsEndMillis, long processEndMillis) {

	public ShutdownSchedule {
		if (startMillis > noticeEndMillis || noticeEndMillis > requestsEndMillis
				|| requestsEndMillis > processEndMillis) {
			throw new IllegalArgumentException("the times of a shutdown must follow each other");
		}
	}

	/**
	 * Returns whether a request may be sent to a runner, or has to be rejected since the
	 * process may be gone before its response is complete. In the notice period a request
	 * may be sent if it is likely to end in time. After it, only those may whose own
	 * deadline comes first, since an estimate can be wrong, and another process can serve
	 * the caller at once.
	 * @param deadlineMillis the deadline of the request
	 * @param likelyMillis the time that the request is likely to take, in milliseconds
	 * @param nowMillis the time now
	 * @return whether the request may be sent
	 */
	public boolean allows(long deadlineMillis, long likelyMillis, long nowMillis) {
		if (deadlineMillis <= this.requestsEndMillis) {
			return true;
		}
		return nowMillis < this.noticeEndMillis && likelyMillis <= this.requestsEndMillis - nowMillis;
	}

}
