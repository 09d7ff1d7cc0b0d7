package org.catkingate.decisions.idempotency;

import org.catkingate.model.InstanceId;

/**
 * The route of a call with a key.
 *
 * @since 0.1
 */
public sealed interface KeyRoute {

	/**
	 * The call may be sent to this agent only.
	 *
	 * @param agent the agent
	 */
	record ToAgent(InstanceId agent) implements KeyRoute {

	}

	/**
	 * The call cannot be sent to any agent now; respond with {@code NOT_RUN}.
	 *
	 * @param retryAfterMillis after how long the caller may repeat the call with the same
	 * key, in milliseconds; 0 for never
	 * @param message the cause and the remedy, for the caller
	 */
	record NotRun(long retryAfterMillis, String message) implements KeyRoute {

	}

	/**
	 * The call can never be sent to any agent; respond with {@code OUTCOME_UNKNOWN}.
	 *
	 * @param message the cause and the remedy, for the caller
	 */
	record OutcomeUnknown(String message) implements KeyRoute {

	}

}
