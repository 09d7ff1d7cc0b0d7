package org.catkingate.decisions.idempotency;

import org.catkingate.model.InstanceId;

/**
 * Where an entry may send a call with a key.
 *
 * @since 0.1
 */
public sealed interface KeyRoute {

	/**
	 * To this agent and no other.
	 *
	 * @param agent the agent
	 */
	record OnlyAt(InstanceId agent) implements KeyRoute {

	}

	/**
	 * To nobody now: answer {@code NOT_RUN}.
	 *
	 * @param retryAfterMillis when to repeat with the same key, in milliseconds, 0 for
	 * never
	 * @param message what happened, and the remedy
	 */
	record NotRun(long retryAfterMillis, String message) implements KeyRoute {

	}

	/**
	 * To nobody ever: answer {@code OUTCOME_UNKNOWN}.
	 *
	 * @param message what happened, and the remedy
	 */
	record Unknown(String message) implements KeyRoute {

	}

}
