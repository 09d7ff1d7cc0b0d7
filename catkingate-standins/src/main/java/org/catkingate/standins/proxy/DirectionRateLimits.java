package org.catkingate.standins.proxy;

import org.catkingate.standins.TokenBucket;

/**
 * The rate limits of both directions of a proxy. Immutable; the buckets are safe for use
 * by any thread.
 *
 * @param toTarget the limit from the callers to the target
 * @param toCaller the limit from the target to the callers
 */
record DirectionRateLimits(TokenBucket toTarget, TokenBucket toCaller) {

	static DirectionRateLimits of(ProxyOptions options) {
		return new DirectionRateLimits(new TokenBucket(() -> options.bytesPerSecond),
				new TokenBucket(() -> options.bytesPerSecond));
	}

}
