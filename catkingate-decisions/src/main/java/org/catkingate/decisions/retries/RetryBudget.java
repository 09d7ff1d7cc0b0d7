package org.catkingate.decisions.retries;

/**
 * How many retries are allowed: a share of first tries, saved up to a bound. Immutable;
 * each operation returns the budget after it.
 *
 * @param balance the retries saved, in hundredths
 * @param sharePercent the retries earned by 100 first tries
 * @param maxSavedRetries the most that is saved, in retries
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
	 * Returns the budget at the start of a process: a few retries, and 8 more for every
	 * 100 first tries.
	 * @return the budget, never null
	 */
	public static RetryBudget initial() {
		return new RetryBudget(DEFAULT_MAX_SAVED_RETRIES * HUNDREDTHS_PER_RETRY, DEFAULT_SHARE_PERCENT,
				DEFAULT_MAX_SAVED_RETRIES);
	}

	/**
	 * Earns the share of one first try.
	 * @return the budget afterwards, never null
	 */
	public RetryBudget afterFirstTry() {
		long earned = Math.min((long) this.maxSavedRetries * HUNDREDTHS_PER_RETRY, this.balance + this.sharePercent);
		return new RetryBudget(earned, this.sharePercent, this.maxSavedRetries);
	}

	/**
	 * Tells whether a retry is allowed now.
	 * @return whether a whole one is saved
	 */
	public boolean allowsRetry() {
		return this.balance >= HUNDREDTHS_PER_RETRY;
	}

	/**
	 * Spends one retry.
	 * @return the budget afterwards, never null
	 */
	public RetryBudget afterRetry() {
		if (!allowsRetry()) {
			throw new IllegalStateException("no retry is left in the budget");
		}
		return new RetryBudget(this.balance - HUNDREDTHS_PER_RETRY, this.sharePercent, this.maxSavedRetries);
	}

}
