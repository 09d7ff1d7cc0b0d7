package org.catkingate.tests.requests;

import org.catkingate.wire.ConnectionListener;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.Message;

/**
 * A listener that forwards to an adapter that is created after the listener, but before
 * any peer connects.
 *
 * @param adapterHolder an array of length one that holds the adapter
 */
record DeferredListener(PeerListenerAdapter[] adapterHolder) implements ConnectionListener {

	@Override
	public void opened(FrameConnection connection) {
		this.adapterHolder[0].opened(connection);
	}

	@Override
	public void received(FrameConnection connection, Message message) {
		this.adapterHolder[0].received(connection, message);
	}

	@Override
	public void closed(FrameConnection connection, String reason) {
		this.adapterHolder[0].closed(connection, reason);
	}

	@Override
	public void drained(FrameConnection connection) {
		this.adapterHolder[0].drained(connection);
	}

}
