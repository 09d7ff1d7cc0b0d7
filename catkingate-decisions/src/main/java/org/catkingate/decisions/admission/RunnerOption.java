package org.catkingate.decisions.admission;

import java.util.Objects;

import org.catkingate.decisions.routing.Distance;
import org.catkingate.model.RunnerId;

/**
 * A runner that could get a call, as far as this process knows it. Immutable.
 *
 * @param runner the runner
 * @param distance how far away it is
 * @param slots how many requests it works on at a time
 * @param answering how many requests have begun to be answered and go on
 * @param starting how many requests have been sent and not begun to be answered
 * @param startingPromptTokens the length of the prompts of those, in tokens
 * @param workMillis the usual time of one request without a queue, in milliseconds; used
 * where the service has no engine
 * @param suspect whether it failed lately, and gets work only if no other can
 * @param beginWithinMillis how much longer requests may begin there, in milliseconds;
 * {@link #WITHOUT_END} or about as long while its version is not replaced
 * @since 0.1
 */
public record RunnerOption(RunnerId runner, Distance distance, int slots, double answering, double starting,
		double startingPromptTokens, double workMillis, boolean suspect, long beginWithinMillis) {

	/** The time for requests to begin where nothing ends it, in milliseconds. */
	public static final long WITHOUT_END = Long.MAX_VALUE / 2;

	public RunnerOption {
		Objects.requireNonNull(runner, "runner must not be null");
		Objects.requireNonNull(distance, "distance must not be null");
	}

}
