package org.catkingate.runtime.peers;

import org.catkingate.model.InstanceId;
import org.catkingate.wire.ControlMessage;
import org.catkingate.wire.HandshakeMessage;

/**
 * A listener to the connections to other processes and to the control messages that
 * arrive over them. Called by I/O threads; must not block.
 *
 * @since 0.1
 */
public interface ControlListener {

	/**
	 * Called when a connection is open.
	 * @param connectionNumber the number of the connection; a newer connection has a
	 * higher number
	 * @param dialled whether this process opened the connection
	 * @param peer the process at the other end
	 */
	void onOpened(long connectionNumber, boolean dialled, HandshakeMessage.PeerIdentity peer);

	/**
	 * Called when a connection is closed.
	 * @param connectionNumber the number of the connection
	 */
	void onClosed(long connectionNumber);

	/**
	 * Called when a connection could not be opened or leads to another instance.
	 * @param instance the instance that was to be reached
	 */
	void onDialFailed(InstanceId instance);

	/**
	 * Called when a control message other than a heartbeat has arrived.
	 * @param connectionNumber the number of the connection
	 * @param peer the sender
	 * @param message the message
	 */
	void onReceived(long connectionNumber, HandshakeMessage.PeerIdentity peer, ControlMessage message);

}
