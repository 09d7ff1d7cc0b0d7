package org.catkingate.agent.requests;

/**
 * What is to be done with a non-idempotent call. Immutable.
 *
 * @since 0.1
 */
public sealed interface Verdict {

	/**
	 * Run it.
	 */
	record Run() implements Verdict {

	}

	/**
	 * Refuse it: it is certain that this call has not run.
	 *
	 * @param retryAfterMillis when to come back, in milliseconds
	 * @param message why, and the remedy
	 */
	record RefuseNotRun(long retryAfterMillis, String message) implements Verdict {

	}

	/**
	 * Say that it may have run.
	 *
	 * @param message why, and the remedy
	 */
	record OutcomeUnknown(String message) implements Verdict {

	}

	/**
	 * Give the answer of its first run again.
	 *
	 * @param answer the answer
	 */
	record Replay(KeptAnswer answer) implements Verdict {

	}

}
