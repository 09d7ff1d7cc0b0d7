package org.catkingate.agent.weights;

import java.util.Objects;

/**
 * Something that keeps weights from being fetched, kept or loaded. The message names the
 * remedy.
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
	 * Returns what went wrong.
	 * @return the kind, never null
	 */
	public Kind kind() {
		return this.kind;
	}

	/**
	 * Returns when to try again.
	 * @return the time in milliseconds, 0 if the other side named none
	 */
	public long retryAfterMillis() {
		return this.retryAfterMillis;
	}

	/**
	 * The kinds of failure.
	 */
	public enum Kind {

		/** The memory for chunks is full. */
		MEMORY_FULL,

		/** Bytes whose digest is not the expected one. */
		CORRUPT,

		/** A manifest of another form. */
		MANIFEST_INVALID,

		/** The other side answers 429. */
		RATE_LIMITED,

		/** The other side does not know what was asked for. */
		NOT_FOUND,

		/** No answer, or a broken one. */
		UNAVAILABLE,

		/** The engine has seen a higher fencing number. */
		FENCED

	}

}
