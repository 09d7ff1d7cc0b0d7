package org.catkingate.agent.idempotency;

import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerListener;
import org.catkingate.wire.IdempotencyKeyMessage;
import org.catkingate.wire.Message;

/**
 * Listener that handles the messages about keys and passes all other events on.
 * Immutable; as safe for use by several threads as the other listener.
 *
 * @param keyHandler handles the messages about keys
 * @param delegate receives all other events
 */
record KeyMessageListener(IdempotencyKeyHandler keyHandler, PeerListener delegate) implements PeerListener {

	@Override
	public void onOpened(PeerConnection connection) {
		this.delegate.onOpened(connection);
	}

	@Override
	public void onReceived(PeerConnection connection, Message message) {
		if (message instanceof IdempotencyKeyMessage keyMessage) {
			this.keyHandler.onReceived(connection, keyMessage);
		}
		else {
			this.delegate.onReceived(connection, message);
		}
	}

	@Override
	public void onClosed(PeerConnection connection) {
		this.delegate.onClosed(connection);
	}

	@Override
	public void onSendQueueEmptied(PeerConnection connection) {
		this.delegate.onSendQueueEmptied(connection);
	}

}
