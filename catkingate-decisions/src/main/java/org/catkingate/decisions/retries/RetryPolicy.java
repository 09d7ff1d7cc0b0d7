package org.catkingate.decisions.retries;

import java.util.random.RandomGenerator;

/**
 * Decides whether a failed attempt is followed by another: only if it was refused as not
 * run, or a second run does no harm; only while nothing of an answer has been sent, time
 * is left and the number of attempts is not used up. The budget is asked after that.
 * Immutable and safe for use by any thread.
 *
 * @param maxAttempts how many attempts one request may have
 * @param baseDelayMillis the longest wait before the second attempt, in milliseconds;
 * doubled for each further one
 * @since 0.1
 */
public record RetryPolicy(int maxAttempts, long baseDelayMillis) {

	private static final RetryPolicy DEFAULTS = new RetryPolicy(3, 8);

	/** The least time that must be left for another attempt, in milliseconds. */
	private static final long MIN_REMAINING_MILLIS = 20;

	/**
	 * Returns the policy in use where the settings name none.
	 * @return the policy, never null
	 */
	public static RetryPolicy defaults() {
		return DEFAULTS;
	}

	/**
	 * Tells whether a further attempt may be made, the budget aside.
	 * @param failed what is known of the failed attempt
	 * @return whether to ask the budget and try again
	 */
	public boolean mayRetry(FailedAttempt failed) {
		boolean harmless = failed.notRun() || failed.idempotent();
		return harmless && !failed.responseStarted() && failed.attempts() < this.maxAttempts
				&& failed.remainingMillis() > MIN_REMAINING_MILLIS;
	}

	/**
	 * Draws the wait before the next attempt, so that those who failed together do not
	 * come back together.
	 * @param attempts how many attempts there have been
	 * @param random a seeded generator
	 * @return the wait in milliseconds
	 */
	public long delayMillis(int attempts, RandomGenerator random) {
		long longest = this.baseDelayMillis << Math.min(attempts - 1, Integer.SIZE / 4);
		return random.nextLong(longest + 1);
	}

	/**
	 * An attempt that brought no whole answer.
	 *
	 * @param notRun whether it is certain that it was not run
	 * @param idempotent whether a second run does no harm
	 * @param responseStarted whether the caller has some of an answer
	 * @param attempts how many attempts there have been
	 * @param remainingMillis the time left until the deadline, in milliseconds
	 */
	public record FailedAttempt(boolean notRun, boolean idempotent, boolean responseStarted, int attempts,
			long remainingMillis) {

	}

}
