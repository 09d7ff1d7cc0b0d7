package org.catkingate.wire;

/**
 * The limits of frames, checked before anything is allocated.
 *
 * @since 0.1
 */
public final class FrameLimits {

	/** The longest frame, in bytes. */
	public static final int MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024;

	/** The longest frame before the peer has proved the shared key, in bytes. */
	static final int MAX_HANDSHAKE_BYTES = 4 * 1024;

	/** How much may wait to be sent on one connection before it is closed, in bytes. */
	static final int MAX_QUEUED_BYTES = 32 * 1024 * 1024;

	/** The queue above which a connection counts as congested, in bytes. */
	static final int CONGESTION_THRESHOLD_BYTES = 1024 * 1024;

	/** The size of length and checksum in front of each message, in bytes. */
	static final int HEADER_BYTES = 8;

	/** The time that a peer has to prove the shared key, in milliseconds. */
	static final int HANDSHAKE_TIMEOUT_MILLIS = 3000;

	private FrameLimits() {
	}

}
