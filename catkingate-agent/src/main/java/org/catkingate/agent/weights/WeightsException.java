package org.catkingate.agent.weights;

import java.util.Objects;

/**
 * Failure to fetch, keep or load weights. The message names the remedy.
 *
 * @since 0.1
 */
public final class WeightsException extends Exception {

	private static final long serialVersionUID = 1L;

	private final Kind kind;

	private final long retryAfterMillis;

	WeightsException(Kind kind, String message) {
		this(kind, message, 0, null);
	}

	WeightsException(Kind kind, String message, Throwable cause) {
		this(kind, message, 0, cause);
	}

	WeightsException(Kind kind, String message, long retryAfterMillis, Throwable cause) {
		super(message, cause);
		this.kind = Objects.requireNonNull(kind, "kind must not be null");
		this.retryAfterMillis = retryAfterMillis;
	}

	/**
	 * Returns the kind of failure.
	 * @return the kind, never null
	 */
	public Kind kind() {
		return this.kind;
	}

	/**
	 * Returns the time after which to retry.
	 * @return the time in milliseconds, 0 if the source did not specify one
	 */
	public long retryAfterMillis() {
		return this.retryAfterMillis;
	}

	/**
	 * Kinds of failure.
	 */
	public enum Kind {

		/** The memory for chunks is full. */
		MEMORY_FULL,

		/** The digest of the bytes is not the expected one. */
		CORRUPT,

		/** The manifest is malformed or describes another version. */
		MANIFEST_INVALID,

		/** The source responded with status 429 or 503. */
		RATE_LIMITED,

		/** The requested data does not exist or is no longer held. */
		NOT_FOUND,

		/** No response, or an invalid or incomplete one. */
		UNAVAILABLE,

		/** The engine has accepted a higher fencing number. */
		FENCED

	}

}
