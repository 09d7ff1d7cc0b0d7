package org.catkingate.agent.idempotency;

import org.catkingate.decisions.idempotency.KeptAnswer;

/**
 * What is to be done with a non-idempotent call. Immutable but for the permit.
 *
 * @since 0.1
 */
public sealed interface Admission {

	/**
	 * Run it, under the permit.
	 *
	 * @param permit is to be told what becomes of the call
	 */
	record Run(RunPermit permit) implements Admission {

	}

	/**
	 * Answer {@code NOT_RUN}: this attempt has not run. An earlier attempt with the same
	 * key keeps the outcome that it had.
	 *
	 * @param retryAfterMillis when to repeat with the same key, in milliseconds, 0 for
	 * never
	 * @param message what happened, and the remedy
	 */
	record Refuse(long retryAfterMillis, String message) implements Admission {

	}

	/**
	 * Answer {@code OUTCOME_UNKNOWN}: an earlier attempt may have run, and its answer is
	 * not to be had. While it is in progress the caller may come back with the same key.
	 *
	 * @param retryAfterMillis when to repeat with the same key, in milliseconds, 0 for
	 * never
	 * @param message what happened, and the remedy
	 */
	record Unknown(long retryAfterMillis, String message) implements Admission {

	}

	/**
	 * Send the whole answer of the attempt that ran.
	 *
	 * @param response the answer
	 */
	record Replay(KeptAnswer response) implements Admission {

	}

}
