package org.catkingate.entry;

import java.util.Set;

import io.undertow.util.Headers;
import io.undertow.util.HttpString;

/**
 * A filter that selects the headers of a caller's request that are not forwarded to the
 * runner: hop-by-hop headers, the caller's API key, and headers that the system evaluates
 * or sets itself. Stateless.
 */
final class RequestHeaderFilter {

	private static final Set<HttpString> REMOVED_HEADERS = Set.of(Headers.AUTHORIZATION, Headers.CONNECTION,
			Headers.KEEP_ALIVE, Headers.HOST, Headers.CONTENT_LENGTH, Headers.TRANSFER_ENCODING, Headers.TE,
			Headers.TRAILER, Headers.UPGRADE, Headers.EXPECT, Headers.PROXY_AUTHENTICATE, Headers.PROXY_AUTHORIZATION,
			new HttpString("Idempotency-Key"), new HttpString("X-Request-Id"), new HttpString("X-Request-Timeout-Ms"),
			new HttpString("X-Priority"));

	private RequestHeaderFilter() {
	}

	static boolean isRemoved(HttpString name) {
		return REMOVED_HEADERS.contains(name);
	}

}
