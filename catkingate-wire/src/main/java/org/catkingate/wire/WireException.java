package org.catkingate.wire;

import java.io.IOException;

/**
 * Thrown if a frame or message violates the protocol, or a peer has not proved the shared
 * key. The connection must then be closed. The message describes the remedy.
 *
 * @since 0.1
 */
public class WireException extends IOException {

	private static final long serialVersionUID = 1L;

	/** The kind of fault. */
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
	 * Returns the kind of fault.
	 * @return the kind, never null
	 */
	public Kind kind() {
		return this.kind;
	}

	/**
	 * The kind of a fault.
	 */
	public enum Kind {

		/** A length exceeds the limit. */
		TOO_LONG,

		/** The bytes are not a valid message. */
		MALFORMED,

		/** The peer uses a different version of the protocol. */
		PROTOCOL_VERSION,

		/** The peer has not proved the shared key. */
		NOT_AUTHENTICATED

	}

}
