package org.catkingate.decisions.distribution;

/**
 * What is known of a source: how it has behaved and when it may be asked. Immutable and
 * safe for use by any thread.
 *
 * @param failures how many times in a row it has failed
 * @param notBeforeMillis when it may be asked again
 * @param suspended whether it is out of use for a failure, rather than busy
 * @param window how much may be asked for at a time over shared links
 * @param bytes the bytes of verified chunks that came from it
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

	SourceState withFailure(long now, long leastMillis) {
		long backoff = Limits.INITIAL_BACKOFF_MILLIS << Math.min(MAX_BACKOFF_SHIFT, this.failures);
		long wait = Math.max(leastMillis, Math.min(Limits.MAX_BACKOFF_MILLIS, backoff));
		return new SourceState(this.failures + 1, now + wait, true, this.window, this.bytes);
	}

	SourceState withDelivery(int chunkBytes) {
		return new SourceState(0, this.notBeforeMillis, false, this.window, this.bytes + chunkBytes);
	}

	SourceState withWindow(CongestionWindow changed) {
		return new SourceState(this.failures, this.notBeforeMillis, this.suspended, changed, this.bytes);
	}

}
