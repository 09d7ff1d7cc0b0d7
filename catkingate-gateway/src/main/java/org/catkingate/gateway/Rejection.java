package org.catkingate.gateway;

import java.util.Objects;

/**
 * A response by which the gateway rejects a request, in place of the response of a
 * runner. Immutable.
 *
 * @param kind the kind of rejection
 * @param retryAfterMillis the time after which to retry, in milliseconds; 0 to send none
 * @param message the cause, and the remedy if there is one
 */
record Rejection(Kind kind, long retryAfterMillis, String message) {

	Rejection {
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(message, "message must not be null");
	}

	static Rejection of(Kind kind, String message) {
		return new Rejection(kind, 0, message);
	}

	static Rejection notRun(long retryAfterMillis, String message) {
		return new Rejection(Kind.NOT_RUN, retryAfterMillis, message);
	}

	/**
	 * The kinds of rejection, each with its HTTP status.
	 */
	enum Kind {

		/** The request is malformed; its connection is closed. */
		MALFORMED(400),

		/** No client account has the key. */
		UNKNOWN_KEY(401),

		/** No route matches the request. */
		NO_ROUTE(404),

		/** The body is longer than allowed; its connection is closed. */
		BODY_TOO_LONG(413),

		/** The request has not run and will not run. */
		NOT_RUN(503),

		/** The request may have run, and its response is lost. */
		OUTCOME_UNKNOWN(502),

		/** The deadline for the response has passed; the request may have run. */
		TIMED_OUT(504);

		private final int status;

		Kind(int status) {
			this.status = status;
		}

		int status() {
			return this.status;
		}

		boolean closesConnection() {
			return this == MALFORMED || this == BODY_TOO_LONG;
		}

	}

}
