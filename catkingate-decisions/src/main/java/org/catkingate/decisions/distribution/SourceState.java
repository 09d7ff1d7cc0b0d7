package org.catkingate.decisions.distribution;

/**
 * The state of a source: its recent failures and when it may be used. Immutable and safe
 * for use by any thread.
 *
 * @param failures the number of failures in a row
 * @param notBeforeMillis when the next request may be sent
 * @param suspended whether the source is not used because of a failure, rather than
 * because it is busy
 * @param window the limit on the bytes requested at the same time over shared links
 * @param bytes the bytes of verified chunks received from the source
 */
record SourceState(int failures, long notBeforeMillis, boolean suspended, CongestionWindow window, long bytes) {

	private static final int MAX_BACKOFF_SHIFT = 10;

	static SourceState initial() {
		return new SourceState(0, 0, false, CongestionWindow.initial(), 0);
	}

	boolean isUsable(long now) {
		return now >= this.notBeforeMillis;
	}

	boolean isSuspended(long now) {
		return this.suspended && now < this.notBeforeMillis;
	}

	SourceState withBusyUntil(long millis) {
		return new SourceState(this.failures, Math.max(this.notBeforeMillis, millis), false, this.window, this.bytes);
	}

	SourceState withFailure(long now, long minBackoffMillis) {
		long backoff = Limits.INITIAL_BACKOFF_MILLIS << Math.min(MAX_BACKOFF_SHIFT, this.failures);
		long wait = Math.max(minBackoffMillis, Math.min(Limits.MAX_BACKOFF_MILLIS, backoff));
		return new SourceState(this.failures + 1, now + wait, true, this.window, this.bytes);
	}

	SourceState withDelivery(int chunkBytes) {
		return new SourceState(0, this.notBeforeMillis, false, this.window, this.bytes + chunkBytes);
	}

	SourceState withWindow(CongestionWindow changed) {
		return new SourceState(this.failures, this.notBeforeMillis, this.suspended, changed, this.bytes);
	}

}
