package org.catkingate.runtime.platform;

/**
 * Signals that the platform returned no usable response. The message names the remedy.
 *
 * @since 0.1
 */
public class PlatformException extends Exception {

	private static final long serialVersionUID = 1L;

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
	 * Returns the kind of failure.
	 * @return the kind, never null
	 */
	public Kind kind() {
		return this.kind;
	}

	/**
	 * The kinds of failure.
	 */
	public enum Kind {

		/** No complete response was received in time. */
		UNREACHABLE,

		/** The key does not exist. */
		ABSENT,

		/** The response had an unexpected status. */
		REFUSED,

		/** The platform no longer retains the requested changes. */
		HISTORY_GONE,

		/** The response could not be parsed. */
		MALFORMED

	}

}
