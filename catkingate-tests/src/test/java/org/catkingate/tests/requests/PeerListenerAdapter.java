package org.catkingate.tests.requests;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.catkingate.model.InstanceId;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerListener;
import org.catkingate.wire.ConnectionListener;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.Message;

/**
 * An adapter that forwards the events of connections to a {@link PeerListener} and keeps
 * the newest connection to each instance. Safe for use by any thread.
 */
final class PeerListenerAdapter implements ConnectionListener {

	private final Map<FrameConnection, PeerConnection> openConnections = new ConcurrentHashMap<>();

	private final Map<InstanceId, PeerConnection> newestConnection = new ConcurrentHashMap<>();

	private final AtomicLong receivedMessageCount = new AtomicLong();

	private final PeerListener listener;

	PeerListenerAdapter(PeerListener listener) {
		this.listener = listener;
	}

	PeerConnection newestConnection(InstanceId instance) {
		return this.newestConnection.get(instance);
	}

	@Override
	public void onOpened(FrameConnection connection) {
		PeerConnection peer = PeerConnection.of(connection);
		peer.newestHeartbeat().set(1);
		this.openConnections.put(connection, peer);
		this.newestConnection.put(connection.peer().instance(), peer);
		this.listener.onOpened(peer);
	}

	@Override
	public void onReceived(FrameConnection connection, Message message) {
		this.listener.onReceived(this.openConnections.get(connection), message);
		this.receivedMessageCount.incrementAndGet();
	}

	/**
	 * Returns the number of messages from all instances that have been forwarded.
	 */
	long receivedMessageCount() {
		return this.receivedMessageCount.get();
	}

	@Override
	public void onClosed(FrameConnection connection, String reason) {
		PeerConnection peer = this.openConnections.remove(connection);
		if (peer != null) {
			this.newestConnection.remove(connection.peer().instance(), peer);
			this.listener.onClosed(peer);
		}
	}

	@Override
	public void onSendQueueEmptied(FrameConnection connection) {
		this.listener.onSendQueueEmptied(this.openConnections.get(connection));
	}

	/**
	 * Reports the newest connection to an instance as lost, as if it had gone silent, and
	 * removes it.
	 * @param instance the instance at the other end
	 */
	void declareLost(InstanceId instance) {
		PeerConnection peer = this.newestConnection.remove(instance);
		if (peer != null) {
			this.listener.onClosed(peer);
		}
	}

}
