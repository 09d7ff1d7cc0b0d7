package org.catkingate.gateway;

import java.util.Locale;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

import org.catkingate.runtime.calls.HeaderCodec;
import org.catkingate.runtime.http.CallerServer;

/**
 * A writer of rejections as HTTP responses. Stateless.
 */
final class RejectionWriter {

	/** The time after which to retry if no better estimate is available. */
	static final long DEFAULT_RETRY_AFTER_MILLIS = 300;

	private static final double MILLIS_PER_SECOND = 1000;

	private RejectionWriter() {
	}

	static void write(HttpServerExchange exchange, HeaderCodec codec, String requestId, Rejection rejection) {
		if (exchange.isResponseStarted()) {
			return;
		}
		exchange.setStatusCode(rejection.kind().status());
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
		if (requestId != null) {
			codec.writeRequestId(exchange.getResponseHeaders(), requestId);
		}
		if (rejection.retryAfterMillis() > 0) {
			exchange.getResponseHeaders()
				.put(Headers.RETRY_AFTER,
						String.format(Locale.ROOT, "%.2f", rejection.retryAfterMillis() / MILLIS_PER_SECOND));
		}
		if (rejection.kind().closesConnection()) {
			CallerServer.announceClose(exchange);
		}
		exchange.getResponseSender().send(rejection.message() + "\n");
	}

}
