package org.catkingate.agent;

import org.catkingate.agent.requests.AgentRequestHandler;
import org.catkingate.agent.weights.WeightsDistribution;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerListener;
import org.catkingate.wire.Message;
import org.catkingate.wire.WeightsMessage;

/**
 * Listener that passes events of peer connections on to the request handler and to the
 * distribution of weights. Immutable and safe for use by any thread.
 */
final class AgentPeerListener implements PeerListener {

	private final AgentRequestHandler requestHandler;

	private final WeightsDistribution weights;

	private AgentPeerListener(AgentRequestHandler requestHandler, WeightsDistribution weights) {
		this.requestHandler = requestHandler;
		this.weights = weights;
	}

	static AgentPeerListener of(AgentRequestHandler requestHandler, WeightsDistribution weights) {
		return new AgentPeerListener(requestHandler, weights);
	}

	@Override
	public void onOpened(PeerConnection connection) {
		this.requestHandler.onOpened(connection);
		this.weights.onOpened(connection);
	}

	@Override
	public void onReceived(PeerConnection connection, Message message) {
		if (message instanceof WeightsMessage weightsMessage) {
			this.weights.onReceived(connection, weightsMessage);
		}
		else {
			this.requestHandler.onReceived(connection, message);
		}
	}

	@Override
	public void onClosed(PeerConnection connection) {
		this.requestHandler.onClosed(connection);
		this.weights.onClosed(connection);
	}

	@Override
	public void onSendQueueEmptied(PeerConnection connection) {
		this.requestHandler.onSendQueueEmptied(connection);
	}

}
