package org.catkingate.decisions.limits;

/**
 * The usage of a client account at one entry. Immutable; each operation returns the
 * updated usage.
 *
 * @param requests the token bucket of started requests
 * @param tokens the token bucket of generated tokens
 * @param inProgress the number of requests in progress
 * @since 0.1
 */
public record AccountUsage(TokenBucket requests, TokenBucket tokens, int inProgress) {

	/**
	 * Creates the initial usage, with full buckets.
	 * @param share the limits of the account at this entry
	 * @param nowMillis the current monotonic time, in milliseconds
	 * @return the usage, never null
	 */
	public static AccountUsage initial(AccountShare share, long nowMillis) {
		return new AccountUsage(TokenBucket.full(share.requestBurst(), nowMillis),
				TokenBucket.full(share.tokenBurst(), nowMillis), 0);
	}

	/**
	 * Refills the buckets for the time passed.
	 * @param share the limits of the account at this entry
	 * @param nowMillis the current monotonic time, in milliseconds
	 * @return the usage now, never null
	 */
	public AccountUsage refilled(AccountShare share, long nowMillis) {
		return new AccountUsage(this.requests.refilled(share.requestsPerSecond(), share.requestBurst(), nowMillis),
				this.tokens.refilled(share.tokensPerSecond(), share.tokenBurst(), nowMillis), this.inProgress);
	}

	/**
	 * Decides on one more request. The usage must have been refilled before.
	 * @param share the limits of the account at this entry
	 * @return the decision, with the exceeded limit if there is one
	 */
	public LimitDecision decide(AccountShare share) {
		if (this.inProgress >= share.concurrentRequests()) {
			return LimitDecision.rejected(LimitDecision.Limit.CONCURRENCY, 1);
		}
		long requestWait = this.requests.millisUntil(1, share.requestsPerSecond());
		if (requestWait > 0) {
			return LimitDecision.rejected(LimitDecision.Limit.REQUESTS, requestWait);
		}
		long tokenWait = this.tokens.millisUntil(0, share.tokensPerSecond());
		if (tokenWait > 0) {
			return LimitDecision.rejected(LimitDecision.Limit.TOKENS, tokenWait);
		}
		return LimitDecision.allowed();
	}

	/**
	 * Counts the start of a request.
	 * @return the updated usage, never null
	 */
	public AccountUsage withRequestStarted() {
		return new AccountUsage(this.requests.minus(1), this.tokens, this.inProgress + 1);
	}

	/**
	 * Counts the end of a request.
	 * @return the updated usage, never null
	 */
	public AccountUsage withRequestEnded() {
		if (this.inProgress <= 0) {
			throw new IllegalStateException("the account has no request in progress");
		}
		return new AccountUsage(this.requests, this.tokens, this.inProgress - 1);
	}

	/**
	 * Counts generated tokens.
	 * @param count the number of tokens
	 * @return the updated usage, never null
	 */
	public AccountUsage withTokensGenerated(long count) {
		return new AccountUsage(this.requests, this.tokens.minus(count), this.inProgress);
	}

}
