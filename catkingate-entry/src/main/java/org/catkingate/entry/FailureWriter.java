package org.catkingate.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

/**
 * A writer of failures as HTTP responses with a JSON body. Stateless.
 */
final class FailureWriter {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final HttpString OUTCOME_HEADER = new HttpString("X-Catkingate-Outcome");

	private FailureWriter() {
	}

	static void write(HttpServerExchange exchange, Failure failure) {
		exchange.setStatusCode(failure.kind().status());
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		if (failure.retryAfterMillis() > 0) {
			exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Long.toString(failure.retryAfterSeconds()));
		}
		if (failure.kind() == FailureKind.OUTCOME_UNKNOWN) {
			exchange.getResponseHeaders().put(OUTCOME_HEADER, "unknown");
		}
		if (!exchange.isRequestComplete() || failure.kind() == FailureKind.LEAVING) {
			exchange.setPersistent(false);
			exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
		}
		exchange.getResponseSender().send(body(failure));
	}

	static String body(Failure failure) {
		try {
			return MAPPER.writeValueAsString(new Body(new Problem(failure.kind().code(), failure.message())));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("the failure could not be written as JSON", ex);
		}
	}

	/**
	 * The body of a failure response.
	 *
	 * @param error the failure
	 */
	private record Body(Problem error) {

	}

	/**
	 * The failure in the body.
	 *
	 * @param kind the stable name of the kind
	 * @param message the cause and the remedy
	 */
	private record Problem(String kind, String message) {

	}

}
