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
	public void opened(PeerConnection connection) {
		this.delegate.opened(connection);
	}

	@Override
	public void received(PeerConnection connection, Message message) {
		if (message instanceof IdempotencyKeyMessage keyMessage) {
			this.keyHandler.received(connection, keyMessage);
		}
		else {
			this.delegate.received(connection, message);
		}
	}

	@Override
	public void lost(PeerConnection connection) {
		this.delegate.lost(connection);
	}

	@Override
	public void drained(PeerConnection connection) {
		this.delegate.drained(connection);
	}

}
