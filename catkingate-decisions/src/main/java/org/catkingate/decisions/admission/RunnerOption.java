package org.catkingate.decisions.admission;

import java.util.Objects;
import java.util.Optional;

import org.catkingate.decisions.cost.RunnerBacklog;
import org.catkingate.decisions.routing.Distance;
import org.catkingate.model.RunnerId;

/**
 * A runner that could serve a call, with its state as known to this process. Immutable.
 *
 * @param runner the runner
 * @param distance its distance from this process
 * @param slots the maximum number of requests it runs at the same time
 * @param responding the number of requests in progress whose response has started
 * @param pending the number of requests sent whose response has not started
 * @param pendingPromptTokens the total length of the prompts of those requests, in tokens
 * @param responseStartMillis the usual time of one request without queueing, in
 * milliseconds; used for services without an engine
 * @param suspect whether it failed recently; a suspect runner gets calls only if there is
 * no other
 * @param startWithinMillis the time left in which responses may start there, in
 * milliseconds; {@link #NO_START_LIMIT_MILLIS} or a value close to it unless its version
 * is being replaced
 * @param backlog the work that is left there, empty if the choice does not depend on the
 * cost of requests
 * @since 0.1
 */
public record RunnerOption(RunnerId runner, Distance distance, int slots, double responding, double pending,
		double pendingPromptTokens, double responseStartMillis, boolean suspect, long startWithinMillis,
		Optional<RunnerBacklog> backlog) {

	/**
	 * The value of {@code startWithinMillis} of a runner without such a limit, in
	 * milliseconds.
	 */
	public static final long NO_START_LIMIT_MILLIS = Long.MAX_VALUE / 2;

	public RunnerOption {
		Objects.requireNonNull(runner, "runner must not be null");
		Objects.requireNonNull(distance, "distance must not be null");
		Objects.requireNonNull(backlog, "backlog must not be null");
	}

	public RunnerOption(RunnerId runner, Distance distance, int slots, double responding, double pending,
			double pendingPromptTokens, double responseStartMillis, boolean suspect, long startWithinMillis) {
		this(runner, distance, slots, responding, pending, pendingPromptTokens, responseStartMillis, suspect,
				startWithinMillis, Optional.empty());
	}

}
