package org.catkingate.runtime.peers;

import java.util.Optional;

import org.catkingate.model.InstanceId;

/**
 * The connections that are open now. Safe for use by any thread.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface PeerConnections {

	/**
	 * Looks up the connection to an instance: the newest that has not gone silent.
	 * @param instance the instance
	 * @return its connection, or empty
	 */
	Optional<PeerConnection> to(InstanceId instance);

}
