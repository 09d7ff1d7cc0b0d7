package org.catkingate.decisions.retries;

import java.util.random.RandomGenerator;

/**
 * The policy that decides whether a failed attempt is retried: only if it is known not to
 * have run or the request is idempotent, and only while no part of a response has been
 * sent to the caller, time is left and the maximum number of attempts is not reached. The
 * {@link RetryBudget} is checked separately after that. Immutable and safe for use by any
 * thread.
 *
 * @param maxAttempts the maximum number of attempts per request
 * @param baseDelayMillis the maximum delay before the second attempt, in milliseconds;
 * doubled for each further attempt
 * @since 0.1
 */
public record RetryPolicy(int maxAttempts, long baseDelayMillis) {

	private static final RetryPolicy DEFAULTS = new RetryPolicy(3, 8);

	/**
	 * The time that must be left until the deadline for another attempt, in milliseconds.
	 */
	private static final long MIN_REMAINING_MILLIS = 20;

	/**
	 * Returns the default policy, used where the settings specify none.
	 * @return the policy, never null
	 */
	public static RetryPolicy defaults() {
		return DEFAULTS;
	}

	/**
	 * Returns whether a further attempt may be made, regardless of the budget.
	 * @param failed the failed attempt
	 * @return true if the attempt may be retried within the budget
	 */
	public boolean mayRetry(FailedAttempt failed) {
		boolean repeatable = failed.notRun() || failed.idempotent();
		return repeatable && !failed.responseStarted() && failed.attempts() < this.maxAttempts
				&& failed.remainingMillis() > MIN_REMAINING_MILLIS;
	}

	/**
	 * Returns a random delay before the next attempt, so that requests that failed
	 * together are not retried together.
	 * @param attempts the number of attempts so far
	 * @param random a seeded generator
	 * @return the delay in milliseconds
	 */
	public long delayMillis(int attempts, RandomGenerator random) {
		// at most 8 doublings
		long maxDelay = this.baseDelayMillis << Math.min(attempts - 1, Integer.SIZE / 4);
		return random.nextLong(maxDelay + 1);
	}

	/**
	 * An attempt that did not yield a complete response.
	 *
	 * @param notRun whether the request is known not to have run
	 * @param idempotent whether the request may run more than once
	 * @param responseStarted whether a part of the response has been sent to the caller
	 * @param attempts the number of attempts so far
	 * @param remainingMillis the time left until the deadline, in milliseconds
	 */
	public record FailedAttempt(boolean notRun, boolean idempotent, boolean responseStarted, int attempts,
			long remainingMillis) {

	}

}
