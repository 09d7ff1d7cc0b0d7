package org.catkingate.wire;

/**
 * Size and time limits of frame connections. Sizes are checked before allocation.
 *
 * @since 0.1
 */
public final class FrameLimits {

	/** The maximum size of a message in a frame, in bytes. */
	public static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

	/** The maximum size of a message during the handshake, in bytes. */
	static final int MAX_HANDSHAKE_BYTES = 4 * 1024;

	/** The size of the send queue above which a connection is closed, in bytes. */
	static final int MAX_QUEUED_BYTES = 32 * 1024 * 1024;

	/** The size of the send queue above which a connection is congested, in bytes. */
	static final int CONGESTION_THRESHOLD_BYTES = 1024 * 1024;

	/** The size of the frame header (length and checksum), in bytes. */
	static final int HEADER_BYTES = 8;

	/** The time within which a peer must prove the shared key, in milliseconds. */
	static final int HANDSHAKE_TIMEOUT_MILLIS = 3000;

	private FrameLimits() {
	}

}
