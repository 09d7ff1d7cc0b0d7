package org.catkingate.agent.weights;

import java.util.Set;

import org.catkingate.model.InstanceId;

/**
 * Takes note of the peers that the distribution wants to be connected to. Called by the
 * control thread and must not block.
 *
 * @since 0.1
 */
public interface PeerDemand {

	/**
	 * Keep connections to these peers, and to no others for the distribution's sake.
	 * @param peers the peers
	 */
	void neighbours(Set<InstanceId> peers);

	/**
	 * Make a connection to a peer, to be closed once it is idle.
	 * @param peer the peer
	 */
	void connect(InstanceId peer);

}
