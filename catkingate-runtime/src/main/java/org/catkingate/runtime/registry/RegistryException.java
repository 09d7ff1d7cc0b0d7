package org.catkingate.runtime.registry;

/**
 * A registry gave no usable answer. Its message names the remedy.
 *
 * @since 0.1
 */
public class RegistryException extends Exception {

	private static final long serialVersionUID = 1L;

	/** What went wrong. */
	private final Kind kind;

	public RegistryException(Kind kind, String message) {
		super(message);
		this.kind = kind;
	}

	public RegistryException(Kind kind, String message, Throwable cause) {
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

		/** It asks to come back later. */
		BUSY,

		/** It has forgotten the changes asked for. */
		HISTORY_GONE,

		/** An answer that cannot be understood. */
		MALFORMED

	}

}
