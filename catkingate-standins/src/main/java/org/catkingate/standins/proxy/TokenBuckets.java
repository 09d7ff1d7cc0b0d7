package org.catkingate.standins.proxy;

import org.catkingate.standins.TokenBucket;

/**
 * The rate limits of both ways. Immutable; the buckets are safe for use by any thread.
 *
 * @param there towards the target
 * @param back towards the caller
 */
record TokenBuckets(TokenBucket there, TokenBucket back) {

	static TokenBuckets of(ProxyOptions options) {
		return new TokenBuckets(new TokenBucket(() -> options.bytesPerSecond),
				new TokenBucket(() -> options.bytesPerSecond));
	}

}
