package org.catkingate.decisions.distribution;

/**
 * What is known of a source: how it has behaved and when it may be asked. Immutable and
 * safe for use by any thread.
 *
 * @param failures how many times in a row it has failed
 * @param notBeforeMillis when it may be asked again
 * @param setAside whether it is out of use for a failure, rather than busy
 * @param window how much may be asked for at a time over shared links
 * @param bytes the bytes of verified chunks that came from it
 */
record SourceState(int failures, long notBeforeMillis, boolean setAside, DelayWindow window, long bytes) {

	private static final int LARGEST_SHIFT = 10;

	static SourceState initial() {
		return new SourceState(0, 0, false, DelayWindow.initial(), 0);
	}

	boolean isUsable(long now) {
		return now >= this.notBeforeMillis;
	}

	boolean isSetAside(long now) {
		return this.setAside && now < this.notBeforeMillis;
	}

	SourceState busyUntil(long millis) {
		return new SourceState(this.failures, Math.max(this.notBeforeMillis, millis), false, this.window, this.bytes);
	}

	SourceState failed(long now, long leastMillis) {
		long backoff = Limits.FIRST_BACKOFF_MILLIS << Math.min(LARGEST_SHIFT, this.failures);
		long wait = Math.max(leastMillis, Math.min(Limits.LONGEST_BACKOFF_MILLIS, backoff));
		return new SourceState(this.failures + 1, now + wait, true, this.window, this.bytes);
	}

	SourceState delivered(int chunkBytes) {
		return new SourceState(0, this.notBeforeMillis, false, this.window, this.bytes + chunkBytes);
	}

	SourceState withWindow(DelayWindow changed) {
		return new SourceState(this.failures, this.notBeforeMillis, this.setAside, changed, this.bytes);
	}

}
