package org.catkingate.standins.proxy;

import org.catkingate.standins.TokenBucket;

/**
 * The rate limits of both ways. Immutable; the buckets are safe for use by any thread.
 *
 * @param toTarget towards the target
 * @param toCaller towards the caller
 */
record DirectionRates(TokenBucket toTarget, TokenBucket toCaller) {

	static DirectionRates of(ProxyOptions options) {
		return new DirectionRates(new TokenBucket(() -> options.bytesPerSecond),
				new TokenBucket(() -> options.bytesPerSecond));
	}

}
