package org.catkingate.decisions.limits;

/**
 * The decision on whether a request is within the limits of its client account.
 * Immutable.
 *
 * @param limit the limit that is exceeded, null if none
 * @param retryAfterMillis the delay after which the caller should retry, in milliseconds
 * @since 0.1
 */
public record LimitDecision(Limit limit, long retryAfterMillis) {

	private static final LimitDecision ALLOWED = new LimitDecision(null, 0);

	static LimitDecision allowed() {
		return ALLOWED;
	}

	static LimitDecision rejected(Limit limit, long retryAfterMillis) {
		return new LimitDecision(limit, retryAfterMillis);
	}

	/**
	 * Returns whether the request is within all limits.
	 * @return true if no limit is exceeded
	 */
	public boolean isAllowed() {
		return this.limit == null;
	}

	/**
	 * The limits of a client account.
	 */
	public enum Limit {

		/** Requests started per second. */
		REQUESTS,

		/** Requests in progress. */
		CONCURRENCY,

		/** Tokens generated per second. */
		TOKENS

	}

}
