package org.catkingate.model.prompts;

import java.util.List;
import java.util.Objects;

/**
 * What a gateway knows of one part of prompts under which runners have ended. Reports on
 * the same part merge in any order, and repeated ones change nothing. Immutable and safe
 * for use by any thread.
 *
 * @param part the identifier of the part, at most {@link #MAX_PART_LENGTH} characters
 * @param clearedBefore whether a runner has ever continued to write on this part
 * @param ends the ends of runners, at most {@link #MAX_ENDS}
 * @since 0.1
 */
public record PartReport(String part, boolean clearedBefore, List<RunnerEndReport> ends) {

	/** The maximum length of the identifier of a part, in characters. */
	public static final int MAX_PART_LENGTH = 64;

	/** The maximum number of ends of runners in a report. */
	public static final int MAX_ENDS = 12;

	public PartReport {
		Objects.requireNonNull(part, "part must not be null");
		if (part.isEmpty() || part.length() > MAX_PART_LENGTH) {
			throw new IllegalArgumentException("a part must have 1 to " + MAX_PART_LENGTH + " characters");
		}
		ends = List.copyOf(ends);
		if (ends.size() > MAX_ENDS) {
			throw new IllegalArgumentException("a report must not have more than " + MAX_ENDS + " ends");
		}
	}

	/**
	 * The end of a runner that had received a request with the part.
	 *
	 * @param runner the start of the runner that ended
	 * @param ageMillis the time since it ended, in milliseconds
	 * @param weight how likely the request ended the runner: 1 if others may have, 2 if
	 * it is the only one of its gateway that may have, 3 if it had just begun to run
	 * @param cleared whether a runner has continued to write on the part since
	 */
	public record RunnerEndReport(RunnerStart runner, long ageMillis, int weight, boolean cleared) {

		/** The weight of an end of which the request is the likely cause. */
		public static final int MAX_WEIGHT = 3;

		/** The maximum length of a runner's identifier, in characters. */
		private static final int MAX_RUNNER_LENGTH = 200;

		public RunnerEndReport {
			Objects.requireNonNull(runner, "runner must not be null");
			if (runner.runner().value().length() > MAX_RUNNER_LENGTH) {
				throw new IllegalArgumentException("the identifier of the runner is too long");
			}
			if (ageMillis < 0 || weight < 1 || weight > MAX_WEIGHT) {
				throw new IllegalArgumentException("age or weight out of range");
			}
		}

	}

}
