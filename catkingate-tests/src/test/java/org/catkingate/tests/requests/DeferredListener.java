package org.catkingate.tests.requests;

import org.catkingate.wire.ConnectionListener;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.Message;

/**
 * Hands on to a bridge that is made later than the listener, before anybody connects.
 *
 * @param adapter holds the bridge
 */
record DeferredListener(PeerListenerAdapter[] adapter) implements ConnectionListener {

	@Override
	public void opened(FrameConnection connection) {
		this.adapter[0].opened(connection);
	}

	@Override
	public void received(FrameConnection connection, Message message) {
		this.adapter[0].received(connection, message);
	}

	@Override
	public void closed(FrameConnection connection, String reason) {
		this.adapter[0].closed(connection, reason);
	}

	@Override
	public void drained(FrameConnection connection) {
		this.adapter[0].drained(connection);
	}

}
