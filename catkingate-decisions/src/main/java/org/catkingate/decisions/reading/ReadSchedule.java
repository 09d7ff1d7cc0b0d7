package org.catkingate.decisions.reading;

import org.catkingate.decisions.RendezvousHashing;

/**
 * The schedule of the reads of one value of the platform. At most one read is in
 * progress, and a read without a response within its time limit counts as failed.
 * Immutable and safe for use by any thread.
 *
 * @param pace the rate of reads
 * @param fleetSize the number of processes in the platform's list
 * @param index the index of the last value received; 0 for none
 * @param dueAtMillis the time at which the next read is due, in milliseconds
 * @param responseDeadlineMillis the time at which the read in progress counts as failed,
 * in milliseconds; 0 if none is in progress
 * @param failures the number of failed reads since the last response
 * @param reads the number of reads started
 * @param seed the seed of the jitter
 * @since 0.1
 */
public record ReadSchedule(ReadPace pace, int fleetSize, long index, long dueAtMillis, long responseDeadlineMillis,
		int failures, long reads, long seed) {

	private static final long START_JITTER_MILLIS = 500;

	/**
	 * Creates a schedule whose first read is due within half a second.
	 * @param nowMillis the current monotonic time, in milliseconds
	 * @param seed the seed of the jitter
	 * @return the schedule, never null
	 */
	public static ReadSchedule create(long nowMillis, long seed) {
		long due = nowMillis + Math.round(START_JITTER_MILLIS * RendezvousHashing.uniform(seed));
		return new ReadSchedule(ReadPace.SLOW, 1, 0, due, 0, 0, 0, seed);
	}

	/**
	 * Returns whether a read is in progress.
	 * @return true if a response is expected
	 */
	public boolean isReading() {
		return this.responseDeadlineMillis > 0;
	}

	/**
	 * Returns whether to start a read.
	 * @param nowMillis the current monotonic time, in milliseconds
	 * @return true if a read is due and none is in progress
	 */
	public boolean isDue(long nowMillis) {
		return !isReading() && nowMillis >= this.dueAtMillis;
	}

	/**
	 * Returns whether the read in progress has exceeded its time limit.
	 * @param nowMillis the current monotonic time, in milliseconds
	 * @return true if a read is in progress and its response is overdue
	 */
	public boolean isOverdue(long nowMillis) {
		return isReading() && nowMillis >= this.responseDeadlineMillis;
	}

	/**
	 * Returns the time for which the next read waits for a change.
	 * @return the wait in milliseconds; 0 for the first read and after a failure, which
	 * must not wait
	 */
	public long waitMillis() {
		return (this.index == 0 || this.failures > 0) ? 0 : this.pace.waitMillis();
	}

	/**
	 * Records the start of a read.
	 * @param nowMillis the current monotonic time, in milliseconds
	 * @return the updated schedule, never null
	 */
	public ReadSchedule withReadStarted(long nowMillis) {
		long deadline = nowMillis + waitMillis() + ReadPace.RESPONSE_TIMEOUT_MILLIS;
		return new ReadSchedule(this.pace, this.fleetSize, this.index, this.dueAtMillis, deadline, this.failures,
				this.reads + 1, this.seed);
	}

	/**
	 * Records a response.
	 * @param nowMillis the current monotonic time, in milliseconds
	 * @param receivedIndex the index of the value in the response
	 * @return the updated schedule, never null
	 */
	public ReadSchedule withResponse(long nowMillis, long receivedIndex) {
		long due = nowMillis + this.pace.delayAfterResponseMillis(this.fleetSize, jitter());
		return new ReadSchedule(this.pace, this.fleetSize, receivedIndex, due, 0, 0, this.reads, this.seed);
	}

	/**
	 * Records that a read failed or returned an unusable value. The failure of a read
	 * that is no longer in progress changes nothing.
	 * @param nowMillis the current monotonic time, in milliseconds
	 * @return the updated schedule, never null
	 */
	public ReadSchedule withFailure(long nowMillis) {
		if (!isReading()) {
			return this;
		}
		long due = nowMillis + this.pace.delayAfterFailureMillis(this.failures, this.fleetSize, jitter());
		return new ReadSchedule(this.pace, this.fleetSize, this.index, due, 0, this.failures + 1, this.reads,
				this.seed);
	}

	/**
	 * Changes the pace. On a change to {@link ReadPace#CLOSE} without failures, the next
	 * read is due within half a second.
	 * @param nowMillis the current monotonic time, in milliseconds
	 * @param nextPace the new pace
	 * @param nextFleetSize the new number of processes in the platform's list
	 * @return the updated schedule, never null
	 */
	public ReadSchedule withPace(long nowMillis, ReadPace nextPace, int nextFleetSize) {
		long due = this.dueAtMillis;
		if (nextPace == ReadPace.CLOSE && this.pace != ReadPace.CLOSE && this.failures == 0) {
			due = Math.min(due, nowMillis + Math.round(START_JITTER_MILLIS * jitter()));
		}
		return new ReadSchedule(nextPace, nextFleetSize, this.index, due, this.responseDeadlineMillis, this.failures,
				this.reads, this.seed);
	}

	private double jitter() {
		return RendezvousHashing.uniform(this.seed + this.reads);
	}

}
