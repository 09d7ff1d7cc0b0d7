package org.catkingate.runtime.peers;

import java.util.Optional;

import org.catkingate.model.InstanceId;

/**
 * A lookup for the open connections to other processes. Safe for use by any thread.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface PeerConnections {

	/**
	 * Returns the connection to an instance: the newest that is still open.
	 * @param instance the instance
	 * @return the connection, empty if there is none
	 */
	Optional<PeerConnection> to(InstanceId instance);

}
