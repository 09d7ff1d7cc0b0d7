package org.catkingate.wire;

import java.io.IOException;

/**
 * A frame or message that breaks the protocol, or a peer that has not proved the shared
 * key. The connection that it came from is of no further use. Its message names the
 * remedy.
 *
 * @since 0.1
 */
public class WireException extends IOException {

	private static final long serialVersionUID = 1L;

	/** What is wrong. */
	private final Kind kind;

	public WireException(Kind kind, String message) {
		super(message);
		this.kind = kind;
	}

	public WireException(Kind kind, String message, Throwable cause) {
		super(message, cause);
		this.kind = kind;
	}

	/**
	 * Returns what is wrong.
	 * @return the kind, never null
	 */
	public Kind kind() {
		return this.kind;
	}

	/**
	 * The kinds of fault.
	 */
	public enum Kind {

		/** A length beyond the limit. */
		TOO_LONG,

		/** Bytes that are no message. */
		MALFORMED,

		/** A peer of another version of the protocol. */
		PROTOCOL_VERSION,

		/** A peer that does not know the shared key. */
		NOT_AUTHENTICATED

	}

}
