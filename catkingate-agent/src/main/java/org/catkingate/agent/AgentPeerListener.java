package org.catkingate.agent;

import org.catkingate.agent.requests.AgentRequestHandler;
import org.catkingate.agent.weights.WeightsDistribution;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerListener;
import org.catkingate.wire.Message;
import org.catkingate.wire.WeightsMessage;

/**
 * Listener that passes events of peer connections on to the live requests and to the
 * distribution of weights. Immutable and safe for use by any thread.
 */
final class AgentPeerListener implements PeerListener {

	private final AgentRequestHandler requests;

	private final WeightsDistribution weights;

	private AgentPeerListener(AgentRequestHandler requests, WeightsDistribution weights) {
		this.requests = requests;
		this.weights = weights;
	}

	static AgentPeerListener of(AgentRequestHandler requests, WeightsDistribution weights) {
		return new AgentPeerListener(requests, weights);
	}

	@Override
	public void opened(PeerConnection connection) {
		this.requests.opened(connection);
		this.weights.opened(connection);
	}

	@Override
	public void received(PeerConnection connection, Message message) {
		if (message instanceof WeightsMessage weightsMessage) {
			this.weights.received(connection, weightsMessage);
		}
		else {
			this.requests.received(connection, message);
		}
	}

	@Override
	public void lost(PeerConnection connection) {
		this.requests.lost(connection);
		this.weights.lost(connection);
	}

	@Override
	public void drained(PeerConnection connection) {
		this.requests.drained(connection);
	}

}
