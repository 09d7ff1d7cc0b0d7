package org.catkingate.bench.requests;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.catkingate.model.InstanceId;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerConnections;
import org.catkingate.runtime.peers.PeerListener;
import org.catkingate.wire.ConnectionListener;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.Message;

/**
 * Connections between the entry and the agents that send no heartbeats, so that a run
 * measures only requests. Safe for use by any thread.
 */
final class BenchConnections implements ConnectionListener, PeerConnections {

	private final Map<FrameConnection, PeerConnection> openConnections = new ConcurrentHashMap<>();

	private final Map<InstanceId, PeerConnection> byInstance = new ConcurrentHashMap<>();

	private final PeerListener listener;

	BenchConnections(PeerListener listener) {
		this.listener = listener;
	}

	@Override
	public Optional<PeerConnection> to(InstanceId instance) {
		return Optional.ofNullable(this.byInstance.get(instance));
	}

	int count() {
		return this.byInstance.size();
	}

	@Override
	public void onOpened(FrameConnection connection) {
		PeerConnection peer = PeerConnection.of(connection);
		peer.newestHeartbeat().set(1);
		this.openConnections.put(connection, peer);
		this.byInstance.put(connection.peer().instance(), peer);
		this.listener.onOpened(peer);
	}

	@Override
	public void onReceived(FrameConnection connection, Message message) {
		this.listener.onReceived(this.openConnections.get(connection), message);
	}

	@Override
	public void onClosed(FrameConnection connection, String reason) {
		PeerConnection peer = this.openConnections.remove(connection);
		if (peer != null) {
			this.byInstance.remove(connection.peer().instance(), peer);
			this.listener.onClosed(peer);
		}
	}

}
