package org.catkingate.agent.idempotency;

import org.catkingate.decisions.idempotency.StoredResponse;

/**
 * Decision on a non-idempotent call. Immutable except for the permit.
 *
 * @since 0.1
 */
public sealed interface IdempotencyDecision {

	/**
	 * The call may run under the permit.
	 *
	 * @param permit receives the progress and the outcome of the call
	 */
	record Run(RunPermit permit) implements IdempotencyDecision {

	}

	/**
	 * The response is {@code NOT_RUN}: this attempt has not run. The outcome of an
	 * earlier attempt with the same key is unaffected.
	 *
	 * @param retryAfterMillis the time after which the caller may repeat the call with
	 * the same key, in milliseconds, 0 for never
	 * @param message the reason and the remedy
	 */
	record Reject(long retryAfterMillis, String message) implements IdempotencyDecision {

	}

	/**
	 * The response is {@code OUTCOME_UNKNOWN}: an earlier attempt may have run, and its
	 * response is not available. While that attempt is in progress, the caller may repeat
	 * the call with the same key.
	 *
	 * @param retryAfterMillis the time after which the caller may repeat the call with
	 * the same key, in milliseconds, 0 for never
	 * @param message the reason and the remedy
	 */
	record OutcomeUnknown(long retryAfterMillis, String message) implements IdempotencyDecision {

	}

	/**
	 * The complete response of the attempt that ran is sent again.
	 *
	 * @param response the stored response
	 */
	record Replay(StoredResponse response) implements IdempotencyDecision {

	}

}
