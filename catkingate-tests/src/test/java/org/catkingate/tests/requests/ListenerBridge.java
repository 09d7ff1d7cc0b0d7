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
 * Hands what happens on connections to a {@link PeerListener}, and keeps the newest
 * connection to each instance. Safe for use by any thread.
 */
final class ListenerBridge implements ConnectionListener {

	private final Map<FrameConnection, PeerConnection> open = new ConcurrentHashMap<>();

	private final Map<InstanceId, PeerConnection> newest = new ConcurrentHashMap<>();

	private final AtomicLong handed = new AtomicLong();

	private final PeerListener listener;

	ListenerBridge(PeerListener listener) {
		this.listener = listener;
	}

	PeerConnection newest(InstanceId instance) {
		return this.newest.get(instance);
	}

	@Override
	public void opened(FrameConnection connection) {
		PeerConnection peer = PeerConnection.of(connection);
		peer.newestHeartbeat().set(1);
		this.open.put(connection, peer);
		this.newest.put(connection.peer().instance(), peer);
		this.listener.opened(peer);
	}

	@Override
	public void received(FrameConnection connection, Message message) {
		this.listener.received(this.open.get(connection), message);
		this.handed.incrementAndGet();
	}

	/**
	 * Counts what has come from all instances.
	 * @return how many messages have been handed on
	 */
	long handed() {
		return this.handed.get();
	}

	@Override
	public void closed(FrameConnection connection, String reason) {
		PeerConnection peer = this.open.remove(connection);
		if (peer != null) {
			this.newest.remove(connection.peer().instance(), peer);
			this.listener.lost(peer);
		}
	}

	@Override
	public void drained(FrameConnection connection) {
		this.listener.drained(this.open.get(connection));
	}

	/**
	 * Says that a connection has gone silent, and forgets it.
	 * @param instance the instance at its other end
	 */
	void declareLost(InstanceId instance) {
		PeerConnection peer = this.newest.remove(instance);
		if (peer != null) {
			this.listener.lost(peer);
		}
	}

}
