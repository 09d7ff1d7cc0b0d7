package org.catkingate.decisions.retries;

/**
 * A retry budget: each first attempt earns a fraction of a retry, which is saved up to a
 * bound. Immutable; each operation returns the updated budget.
 *
 * @param balance the saved retries, in hundredths
 * @param sharePercent the number of retries earned by 100 first attempts
 * @param maxSavedRetries the maximum number of saved retries
 * @since 0.1
 */
public record RetryBudget(long balance, int sharePercent, int maxSavedRetries) {

	private static final int HUNDREDTHS_PER_RETRY = 100;

	private static final int DEFAULT_SHARE_PERCENT = 8;

	private static final int DEFAULT_MAX_SAVED_RETRIES = 10;

	public RetryBudget {
		if (sharePercent < 0) {
			throw new IllegalArgumentException("sharePercent must not be negative");
		}
	}

	/**
	 * Returns the budget at the start of a process: 10 saved retries, and 8 more for
	 * every 100 first attempts.
	 * @return the budget, never null
	 */
	public static RetryBudget initial() {
		return new RetryBudget(DEFAULT_MAX_SAVED_RETRIES * HUNDREDTHS_PER_RETRY, DEFAULT_SHARE_PERCENT,
				DEFAULT_MAX_SAVED_RETRIES);
	}

	/**
	 * Adds the fraction of a retry earned by one first attempt.
	 * @return the updated budget, never null
	 */
	public RetryBudget afterFirstAttempt() {
		long earned = Math.min((long) this.maxSavedRetries * HUNDREDTHS_PER_RETRY, this.balance + this.sharePercent);
		return new RetryBudget(earned, this.sharePercent, this.maxSavedRetries);
	}

	/**
	 * Returns whether a retry is allowed now.
	 * @return true if at least one full retry is saved
	 */
	public boolean allowsRetry() {
		return this.balance >= HUNDREDTHS_PER_RETRY;
	}

	/**
	 * Spends one retry.
	 * @return the updated budget, never null
	 */
	public RetryBudget afterRetry() {
		if (!allowsRetry()) {
			throw new IllegalStateException("no retry is left in the budget");
		}
		return new RetryBudget(this.balance - HUNDREDTHS_PER_RETRY, this.sharePercent, this.maxSavedRetries);
	}

}
