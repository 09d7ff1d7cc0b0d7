package org.catkingate.decisions.reading;

import org.catkingate.decisions.Rendezvous;

/**
 * When one value of the platform is read next. At most one read is in progress; one whose
 * answer never comes counts as failed. Immutable and safe for use by any thread.
 *
 * @param pace how often
 * @param fleetSize how many processes the platform's list has
 * @param index the index of the value seen last; 0 for none
 * @param dueAtMillis when the next read is due, in milliseconds
 * @param responseDeadlineMillis when the read in progress has failed, in milliseconds; 0
 * while none is
 * @param failures how many reads have failed since the last answer
 * @param reads how many reads have been started
 * @param seed what jitter is made from
 * @since 0.1
 */
public record ReadSchedule(ReadPace pace, int fleetSize, long index, long dueAtMillis, long responseDeadlineMillis,
		int failures, long reads, long seed) {

	private static final long START_JITTER_MILLIS = 500;

	/**
	 * Starts with one read within half a second.
	 * @param nowMillis the time
	 * @param seed what jitter is made from
	 * @return the schedule, never null
	 */
	public static ReadSchedule startingAt(long nowMillis, long seed) {
		long due = nowMillis + Math.round(START_JITTER_MILLIS * Rendezvous.unit(seed));
		return new ReadSchedule(ReadPace.SLOW, 1, 0, due, 0, 0, 0, seed);
	}

	/**
	 * Tells whether a read is in progress.
	 * @return whether its answer is awaited
	 */
	public boolean isReading() {
		return this.responseDeadlineMillis > 0;
	}

	/**
	 * Tells whether to start a read.
	 * @param nowMillis the time
	 * @return whether one is due and none is in progress
	 */
	public boolean isDue(long nowMillis) {
		return !isReading() && nowMillis >= this.dueAtMillis;
	}

	/**
	 * Tells whether the read in progress has been given up.
	 * @param nowMillis the time
	 * @return whether its answer is overdue
	 */
	public boolean isOverdue(long nowMillis) {
		return isReading() && nowMillis >= this.responseDeadlineMillis;
	}

	/**
	 * Tells how long the next read waits for a change.
	 * @return the wait in milliseconds; 0 for the first read, which must not wait
	 */
	public long waitMillis() {
		return (this.index == 0 || this.failures > 0) ? 0 : this.pace.waitMillis();
	}

	/**
	 * Takes note that a read is in progress.
	 * @param nowMillis the time
	 * @return the next schedule, never null
	 */
	public ReadSchedule started(long nowMillis) {
		long answerBy = nowMillis + waitMillis() + ReadPace.RESPONSE_TIMEOUT_MILLIS;
		return new ReadSchedule(this.pace, this.fleetSize, this.index, this.dueAtMillis, answerBy, this.failures,
				this.reads + 1, this.seed);
	}

	/**
	 * Takes note of an answer.
	 * @param nowMillis the time
	 * @param seen the index of the answer
	 * @return the next schedule, never null
	 */
	public ReadSchedule answered(long nowMillis, long seen) {
		long due = nowMillis + this.pace.delayAfterResponseMillis(this.fleetSize, jitter());
		return new ReadSchedule(this.pace, this.fleetSize, seen, due, 0, 0, this.reads, this.seed);
	}

	/**
	 * Takes note that a read failed, or gave what cannot be used. The failure of a read
	 * that has been given up changes nothing.
	 * @param nowMillis the time
	 * @return the next schedule, never null
	 */
	public ReadSchedule failed(long nowMillis) {
		if (!isReading()) {
			return this;
		}
		long due = nowMillis + this.pace.delayAfterFailureMillis(this.failures, this.fleetSize, jitter());
		return new ReadSchedule(this.pace, this.fleetSize, this.index, due, 0, this.failures + 1, this.reads,
				this.seed);
	}

	/**
	 * Changes the pace. A process that begins to watch closely does so soon.
	 * @param nowMillis the time
	 * @param next the pace
	 * @param processes how many processes the platform's list has
	 * @return the next schedule, never null
	 */
	public ReadSchedule at(long nowMillis, ReadPace next, int processes) {
		long due = this.dueAtMillis;
		if (next == ReadPace.CLOSE && this.pace != ReadPace.CLOSE && this.failures == 0) {
			due = Math.min(due, nowMillis + Math.round(START_JITTER_MILLIS * jitter()));
		}
		return new ReadSchedule(next, processes, this.index, due, this.responseDeadlineMillis, this.failures,
				this.reads, this.seed);
	}

	private double jitter() {
		return Rendezvous.unit(this.seed + this.reads);
	}

}
