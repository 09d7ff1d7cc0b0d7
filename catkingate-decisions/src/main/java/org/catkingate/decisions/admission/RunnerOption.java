package org.catkingate.decisions.admission;

import java.util.Objects;

import org.catkingate.decisions.routing.Distance;
import org.catkingate.model.RunnerId;

/**
 * A runner that could serve a call, with its state as known to this process. Immutable.
 *
 * @param runner the runner
 * @param distance its distance from this process
 * @param slots the maximum number of requests it runs at the same time
 * @param answering the number of requests in progress whose response has started
 * @param starting the number of requests sent whose response has not started
 * @param startingPromptTokens the total length of the prompts of those requests, in
 * tokens
 * @param workMillis the usual time of one request without queueing, in milliseconds; used
 * for services without an engine
 * @param suspect whether it failed recently; a suspect runner gets calls only if there is
 * no other
 * @param beginWithinMillis the time left in which responses may start there, in
 * milliseconds; {@link #WITHOUT_END} or a value close to it unless its version is being
 * replaced
 * @since 0.1
 */
public record RunnerOption(RunnerId runner, Distance distance, int slots, double answering, double starting,
		double startingPromptTokens, double workMillis, boolean suspect, long beginWithinMillis) {

	/**
	 * The value of {@code beginWithinMillis} of a runner without such a limit, in
	 * milliseconds.
	 */
	public static final long WITHOUT_END = Long.MAX_VALUE / 2;

	public RunnerOption {
		Objects.requireNonNull(runner, "runner must not be null");
		Objects.requireNonNull(distance, "distance must not be null");
	}

}
