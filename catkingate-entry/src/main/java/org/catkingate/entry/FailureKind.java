package org.catkingate.entry;

/**
 * The failures that callers are told of. The name in the answer never changes.
 *
 * @since 0.1
 */
public enum FailureKind {

	/** The request cannot be read. */
	BAD_REQUEST(400, "bad-request"),

	/** The key is missing or belongs to no client account. */
	UNKNOWN_KEY(401, "unknown-key"),

	/** No rule says where the call goes. */
	NO_RULE(404, "no-rule"),

	/** The body is too long. */
	BODY_TOO_LONG(413, "body-too-long"),

	/** The client account is over its requests a second. */
	REQUEST_LIMIT(429, "request-limit"),

	/** The client account has too many requests in progress. */
	CONCURRENCY_LIMIT(429, "concurrency-limit"),

	/** The client account is over its tokens a second. */
	TOKEN_LIMIT(429, "token-limit"),

	/** The runners have no place free; not run. */
	OVERLOADED(429, "overloaded"),

	/** No runner can take the request; not run. */
	NOT_RUN(503, "not-run"),

	/** The entry is leaving; not run. */
	LEAVING(503, "leaving"),

	/** The runner failed; running the call again does no harm. */
	RUNNER_FAILED(502, "runner-failed"),

	/** The call may have run; nobody can tell. */
	OUTCOME_UNKNOWN(502, "outcome-unknown"),

	/** The deadline has passed; running the call again does no harm. */
	DEADLINE_PASSED(504, "deadline-passed"),

	/** The version of HTTP cannot show a broken answer. */
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
	 * Returns the name in the answer.
	 * @return the name, never null
	 */
	public String code() {
		return this.code;
	}

}
