package org.catkingate.decisions.permits;

import java.util.Objects;

import org.catkingate.model.prompts.RunnerStart;

/**
 * A change of the limit of one start of a runner, to be logged. Immutable.
 *
 * @param runner the start of the runner
 * @param previousPerSecond the limit before, {@link LimitStatement#NO_LIMIT} for none
 * @param statement the statement now in force
 * @param source the request whose response stated it, or the gateway that reported it
 * @since 0.1
 */
public record LimitChange(RunnerStart runner, double previousPerSecond, LimitStatement statement, String source) {

	public LimitChange {
		Objects.requireNonNull(runner, "runner must not be null");
		Objects.requireNonNull(statement, "statement must not be null");
		Objects.requireNonNull(source, "source must not be null");
	}

}
