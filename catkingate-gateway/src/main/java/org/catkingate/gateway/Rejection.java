package org.catkingate.gateway;

import java.util.Objects;

/**
 * What a caller is told in place of a runner's answer. Immutable.
 *
 * @param kind what is wrong
 * @param retryAfterMillis when to come back, in milliseconds; 0 to say nothing
 * @param message what happened, and the remedy
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
	 * The kinds of refusal, each with its HTTP status.
	 */
	enum Kind {

		/** The request cannot be understood; its connection is closed. */
		MALFORMED(400),

		/** No client account has the key. */
		UNKNOWN_KEY(401),

		/** No route leads anywhere. */
		NO_ROUTE(404),

		/** The body is longer than allowed; its connection is closed. */
		BODY_TOO_LONG(413),

		/** The request has not run and will not run. */
		NOT_RUN(503),

		/** The request may have run, and no answer is known. */
		OUTCOME_UNKNOWN(502),

		/** The time for the answer is over; the request may have run. */
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
