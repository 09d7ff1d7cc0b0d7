package org.catkingate.gateway;

import java.util.Locale;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

import org.catkingate.runtime.calls.CallFormat;

/**
 * Writes refusals as answers. Stateless.
 */
final class RejectionWriter {

	/** When to come back where nothing better is known, in milliseconds. */
	static final long DEFAULT_RETRY_AFTER_MILLIS = 300;

	private static final double MILLIS_PER_SECOND = 1000;

	private RejectionWriter() {
	}

	static void write(HttpServerExchange exchange, CallFormat format, String requestId, Rejection refusal) {
		if (exchange.isResponseStarted()) {
			return;
		}
		exchange.setStatusCode(refusal.kind().status());
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
		if (requestId != null) {
			format.identify(exchange.getResponseHeaders(), requestId);
		}
		if (refusal.retryAfterMillis() > 0) {
			exchange.getResponseHeaders()
				.put(Headers.RETRY_AFTER,
						String.format(Locale.ROOT, "%.2f", refusal.retryAfterMillis() / MILLIS_PER_SECOND));
		}
		if (refusal.kind().closesConnection()) {
			exchange.setPersistent(false);
			exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
		}
		exchange.getResponseSender().send(refusal.message() + "\n");
	}

}
