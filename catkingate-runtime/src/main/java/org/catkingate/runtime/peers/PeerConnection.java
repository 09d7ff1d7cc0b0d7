package org.catkingate.runtime.peers;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;

import org.catkingate.wire.FrameConnection;

/**
 * A connection to another process, which has proved in the handshake that it has the
 * shared key. Safe for use by any thread.
 *
 * @param frameConnection the connection that carries the messages
 * @param newestHeartbeat the highest heartbeat sequence number received over it
 * @since 0.1
 */
public record PeerConnection(FrameConnection frameConnection, AtomicLong newestHeartbeat) {

	public PeerConnection {
		Objects.requireNonNull(frameConnection, "frameConnection must not be null");
		Objects.requireNonNull(newestHeartbeat, "newestHeartbeat must not be null");
	}

	/**
	 * Wraps a connection that has just been opened.
	 * @param frameConnection the connection that carries the messages
	 * @return the peer connection, never null
	 */
	public static PeerConnection of(FrameConnection frameConnection) {
		return new PeerConnection(frameConnection, new AtomicLong());
	}

}
