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
	public void onOpened(FrameConnection connection) {
		this.adapterHolder[0].onOpened(connection);
	}

	@Override
	public void onReceived(FrameConnection connection, Message message) {
		this.adapterHolder[0].onReceived(connection, message);
	}

	@Override
	public void onClosed(FrameConnection connection, String reason) {
		this.adapterHolder[0].onClosed(connection, reason);
	}

	@Override
	public void onSendQueueEmptied(FrameConnection connection) {
		this.adapterHolder[0].onSendQueueEmptied(connection);
	}

}
