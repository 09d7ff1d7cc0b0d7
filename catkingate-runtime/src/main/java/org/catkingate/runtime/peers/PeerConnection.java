package org.catkingate.runtime.peers;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;

import org.catkingate.wire.FrameConnection;

/**
 * A connection whose peer has proved the shared key. Safe for use by any thread.
 *
 * @param frames the connection
 * @param newestHeartbeat the highest heartbeat sequence received over it
 * @since 0.1
 */
public record PeerConnection(FrameConnection frames, AtomicLong newestHeartbeat) {

	public PeerConnection {
		Objects.requireNonNull(frames, "frames must not be null");
		Objects.requireNonNull(newestHeartbeat, "newestHeartbeat must not be null");
	}

	/**
	 * Starts the record of a connection that has just opened.
	 * @param frames the connection
	 * @return the record, never null
	 */
	public static PeerConnection of(FrameConnection frames) {
		return new PeerConnection(frames, new AtomicLong());
	}

}
