package org.catkingate.decisions.limits;

/**
 * What a client account uses at one entry. Immutable; each operation returns the use
 * after it.
 *
 * @param requests the bucket of requests
 * @param tokens the bucket of generated tokens
 * @param inProgress its requests in progress
 * @since 0.1
 */
public record AccountUse(TokenBucket requests, TokenBucket tokens, int inProgress) {

	/**
	 * Starts with full buckets.
	 * @param share what the account may use here
	 * @param nowMillis the time now, in milliseconds
	 * @return the use, never null
	 */
	public static AccountUse none(AccountShare share, long nowMillis) {
		return new AccountUse(TokenBucket.full(share.requestBurst(), nowMillis),
				TokenBucket.full(share.tokenBurst(), nowMillis), 0);
	}

	/**
	 * Fills the buckets for the time passed.
	 * @param share what the account may use here
	 * @param nowMillis the time now, in milliseconds
	 * @return the use now, never null
	 */
	public AccountUse refilled(AccountShare share, long nowMillis) {
		return new AccountUse(this.requests.refilled(share.requestsPerSecond(), share.requestBurst(), nowMillis),
				this.tokens.refilled(share.tokensPerSecond(), share.tokenBurst(), nowMillis), this.inProgress);
	}

	/**
	 * Decides about one more request. The use must have been refilled.
	 * @param share what the account may use here
	 * @return whether it is within the limits, and else which is not
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
	 * Takes a request in.
	 * @return the use afterwards, never null
	 */
	public AccountUse started() {
		return new AccountUse(this.requests.minus(1), this.tokens, this.inProgress + 1);
	}

	/**
	 * Takes note that a request has ended.
	 * @return the use afterwards, never null
	 */
	public AccountUse ended() {
		if (this.inProgress <= 0) {
			throw new IllegalStateException("the account has no request in progress");
		}
		return new AccountUse(this.requests, this.tokens, this.inProgress - 1);
	}

	/**
	 * Takes note of tokens that were generated.
	 * @param count how many
	 * @return the use afterwards, never null
	 */
	public AccountUse generated(long count) {
		return new AccountUse(this.requests, this.tokens.minus(count), this.inProgress);
	}

}
