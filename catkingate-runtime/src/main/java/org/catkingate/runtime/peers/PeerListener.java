package org.catkingate.runtime.peers;

import org.catkingate.wire.Message;

/**
 * A listener to the connections to other processes and to the messages that the peers
 * package does not handle itself. Called by I/O threads; must not block.
 *
 * @since 0.1
 */
public interface PeerListener {

	/**
	 * Called when a connection is open; from now on it is the one to use for its
	 * instance.
	 * @param connection the connection
	 */
	void onOpened(PeerConnection connection);

	/**
	 * Called when a message has arrived that is neither a handshake nor a control
	 * message.
	 * @param connection the connection
	 * @param message the message
	 */
	void onReceived(PeerConnection connection, Message message);

	/**
	 * Called when a connection is closed, also because nothing was received over it for
	 * too long. Messages that were sent over it may not have arrived.
	 * @param connection the connection
	 */
	void onClosed(PeerConnection connection);

	/**
	 * Called when a congested connection can take more messages.
	 * @param connection the connection
	 */
	void onSendQueueEmptied(PeerConnection connection);

}
