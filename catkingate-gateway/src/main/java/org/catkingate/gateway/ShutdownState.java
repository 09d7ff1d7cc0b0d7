package org.catkingate.gateway;

import java.util.Optional;
import java.util.OptionalLong;

import org.catkingate.decisions.shutdown.ShutdownSchedule;

/**
 * The shutdown of this process as requests see it. Used by the traffic thread only.
 */
final class ShutdownState {

	private Optional<ShutdownSchedule> schedule = Optional.empty();

	/**
	 * Records that the shutdown has begun.
	 * @param startedSchedule its schedule
	 */
	void start(ShutdownSchedule startedSchedule) {
		this.schedule = Optional.of(startedSchedule);
	}

	/**
	 * Returns the schedule of the shutdown.
	 * @return the schedule, empty before the shutdown has begun
	 */
	Optional<ShutdownSchedule> schedule() {
		return this.schedule;
	}

	/**
	 * Returns the time until which a response can be awaited.
	 * @param deadlineMillis the deadline of the request, in monotonic milliseconds
	 * @return the deadline, or the earlier time at which requests in progress are ended
	 */
	long deadlineMillis(long deadlineMillis) {
		return this.schedule.map((times) -> Math.min(deadlineMillis, times.requestsEndMillis())).orElse(deadlineMillis);
	}

	/**
	 * Returns how long after the beginning of the shutdown a moment was.
	 * @param atMillis the moment, in monotonic milliseconds
	 * @return the time in milliseconds, empty if it was before
	 */
	OptionalLong sinceStartMillis(long atMillis) {
		return this.schedule.filter((times) -> atMillis >= times.startMillis())
			.map((times) -> OptionalLong.of(atMillis - times.startMillis()))
			.orElse(OptionalLong.empty());
	}

}
