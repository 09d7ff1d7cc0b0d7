package org.catkingate.runtime.peers;

import org.catkingate.model.InstanceId;
import org.catkingate.wire.Control;
import org.catkingate.wire.Handshake;

/**
 * Is told of links and of the control messages that arrive over them, for the control
 * thread. Called by I/O threads and must not block.
 *
 * @since 0.1
 */
public interface ControlListener {

	/**
	 * A link is open.
	 * @param link its number; a higher one is newer
	 * @param dialled whether this process made the connection
	 * @param peer who is at the other side
	 */
	void opened(long link, boolean dialled, Handshake.PeerIdentity peer);

	/**
	 * A link is closed.
	 * @param link its number
	 */
	void closed(long link);

	/**
	 * A connection could not be made, or leads to another instance.
	 * @param instance the instance that was tried
	 */
	void dialFailed(InstanceId instance);

	/**
	 * A control message other than a heartbeat has arrived.
	 * @param link the link's number
	 * @param peer who has sent it
	 * @param message the message
	 */
	void received(long link, Handshake.PeerIdentity peer, Control message);

}
