package org.catkingate.runtime.platform;

/**
 * The platform gave no usable answer. Its message names the remedy.
 *
 * @since 0.1
 */
public class PlatformException extends Exception {

	private static final long serialVersionUID = 1L;

	/** What went wrong. */
	private final Kind kind;

	public PlatformException(Kind kind, String message) {
		super(message);
		this.kind = kind;
	}

	public PlatformException(Kind kind, String message, Throwable cause) {
		super(message, cause);
		this.kind = kind;
	}

	/**
	 * Returns what went wrong.
	 * @return the kind, never null
	 */
	public Kind kind() {
		return this.kind;
	}

	/**
	 * The kinds of failure.
	 */
	public enum Kind {

		/** No whole answer in time. */
		UNREACHABLE,

		/** The key is not there. */
		ABSENT,

		/** An answer with an unexpected status. */
		REFUSED,

		/** It has forgotten the changes asked for. */
		HISTORY_GONE,

		/** An answer that cannot be understood. */
		MALFORMED

	}

}
