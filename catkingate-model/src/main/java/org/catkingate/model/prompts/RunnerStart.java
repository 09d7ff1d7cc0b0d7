package org.catkingate.model.prompts;

import java.util.Objects;

import org.catkingate.model.RunnerId;

/**
 * One start of a runner. Immutable and safe for use by any thread.
 *
 * @param runner the runner's identifier, which may stay the same across restarts
 * @param startedAtEpochMillis the time of the start as the runner reports it, in
 * milliseconds since the epoch; 0 if it is unknown
 * @since 0.1
 */
public record RunnerStart(RunnerId runner, long startedAtEpochMillis) {

	public RunnerStart {
		Objects.requireNonNull(runner, "runner must not be null");
	}

	@Override
	public String toString() {
		return this.runner + "@" + this.startedAtEpochMillis;
	}

}
