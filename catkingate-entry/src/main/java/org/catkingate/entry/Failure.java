package org.catkingate.entry;

import java.util.Objects;

import org.catkingate.decisions.limits.LimitDecision;

/**
 * A failure that is reported to a caller in place of a response. Immutable.
 *
 * @param kind the kind of failure
 * @param retryAfterMillis the delay before a retry, in milliseconds; 0 if unspecified
 * @param message the cause and the remedy
 */
record Failure(FailureKind kind, long retryAfterMillis, String message) {

	private static final long MILLIS_PER_SECOND = 1000;

	private static final long DEFAULT_RETRY_AFTER_MILLIS = 1000;

	Failure {
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(message, "message must not be null");
	}

	static Failure of(FailureKind kind, String message) {
		return new Failure(kind, 0, message);
	}

	static Failure withDefaultRetryAfter(FailureKind kind, String message) {
		return new Failure(kind, DEFAULT_RETRY_AFTER_MILLIS, message);
	}

	static Failure notRun(long retryAfterMillis, String message) {
		return new Failure(FailureKind.NOT_RUN, Math.max(DEFAULT_RETRY_AFTER_MILLIS, retryAfterMillis), message);
	}

	static Failure of(LimitDecision decision) {
		FailureKind kind = switch (decision.limit()) {
			case REQUESTS -> FailureKind.REQUEST_LIMIT;
			case CONCURRENCY -> FailureKind.CONCURRENCY_LIMIT;
			case TOKENS -> FailureKind.TOKEN_LIMIT;
		};
		return new Failure(kind, decision.retryAfterMillis(),
				"the client account is over its limit; come back later or ask for a higher limit");
	}

	/**
	 * Returns the delay before a retry in seconds, the unit of the Retry-After header.
	 * @return the delay, rounded up
	 */
	long retryAfterSeconds() {
		return (this.retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
	}

}
