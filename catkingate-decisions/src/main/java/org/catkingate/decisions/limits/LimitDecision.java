package org.catkingate.decisions.limits;

/**
 * Whether a client account is within its limits. Immutable.
 *
 * @param limit the limit that is exceeded; null if none is
 * @param retryAfterMillis when to come back, in milliseconds
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
	 * Tells whether the request may go on.
	 * @return whether no limit is exceeded
	 */
	public boolean isAllowed() {
		return this.limit == null;
	}

	/**
	 * The limits.
	 */
	public enum Limit {

		/** Requests started a second. */
		REQUESTS,

		/** Requests in progress. */
		CONCURRENCY,

		/** Tokens generated a second. */
		TOKENS

	}

}
