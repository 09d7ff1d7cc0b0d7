package org.catkingate.entry;

/**
 * The kinds of failures that are reported to callers. The names in responses are part of
 * the API and never change.
 *
 * @since 0.1
 */
public enum FailureKind {

	/** The request cannot be read. */
	BAD_REQUEST(400, "bad-request"),

	/** The API key is missing or belongs to no client account. */
	UNKNOWN_KEY(401, "unknown-key"),

	/** No routing rule applies to the request. */
	NO_RULE(404, "no-rule"),

	/** The body is too large. */
	BODY_TOO_LONG(413, "body-too-long"),

	/** The client account exceeds its limit of requests per second. */
	REQUEST_LIMIT(429, "request-limit"),

	/** The client account exceeds its limit of concurrent requests. */
	CONCURRENCY_LIMIT(429, "concurrency-limit"),

	/** The client account exceeds its limit of tokens per second. */
	TOKEN_LIMIT(429, "token-limit"),

	/** No runner has a free slot; the request was not run. */
	OVERLOADED(429, "overloaded"),

	/** No runner can serve the request; it was not run. */
	NOT_RUN(503, "not-run"),

	/** The entry is shutting down; the request was not run. */
	LEAVING(503, "leaving"),

	/** The runner failed; the request may safely be retried. */
	RUNNER_FAILED(502, "runner-failed"),

	/** The request may have run; its outcome is unknown. */
	OUTCOME_UNKNOWN(502, "outcome-unknown"),

	/** The deadline has passed; the request may safely be retried. */
	DEADLINE_PASSED(504, "deadline-passed"),

	/** The HTTP version has no way to show that a response is incomplete. */
	HTTP_VERSION(505, "http-version");

	private final int status;

	private final String code;

	FailureKind(int status, String code) {
		this.status = status;
		this.code = code;
	}

	/**
	 * Returns the HTTP status.
	 * @return the status
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the name of the kind in responses.
	 * @return the name, never null
	 */
	public String code() {
		return this.code;
	}

}
