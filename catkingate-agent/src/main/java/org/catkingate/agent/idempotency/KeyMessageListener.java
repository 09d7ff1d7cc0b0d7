package org.catkingate.agent.idempotency;

import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerListener;
import org.catkingate.wire.Keys;
import org.catkingate.wire.Message;

/**
 * Takes the messages about keys out of the others. Immutable; as safe for use by several
 * threads as the other listener.
 *
 * @param keys takes messages about keys
 * @param others is told of everything else
 */
record KeyMessageListener(IdempotencyKeys keys, PeerListener others) implements PeerListener {

	@Override
	public void opened(PeerConnection connection) {
		this.others.opened(connection);
	}

	@Override
	public void received(PeerConnection connection, Message message) {
		if (message instanceof Keys about) {
			this.keys.received(connection, about);
		}
		else {
			this.others.received(connection, message);
		}
	}

	@Override
	public void lost(PeerConnection connection) {
		this.others.lost(connection);
	}

	@Override
	public void drained(PeerConnection connection) {
		this.others.drained(connection);
	}

}
