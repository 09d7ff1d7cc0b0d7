package org.catkingate.runtime.peers;

import org.catkingate.wire.Message;

/**
 * Is told of connections and of the messages that the peers package does not handle
 * itself. Called by I/O threads and must not block.
 *
 * @since 0.1
 */
public interface PeerListener {

	/**
	 * A connection is open and is now the one to use for its instance.
	 * @param connection the connection
	 */
	void opened(PeerConnection connection);

	/**
	 * A message has arrived that is neither handshake nor control.
	 * @param connection the connection
	 * @param message the message
	 */
	void received(PeerConnection connection, Message message);

	/**
	 * A connection is closed or has gone silent; nothing sent over it is sure to arrive.
	 * @param connection the connection
	 */
	void lost(PeerConnection connection);

	/**
	 * A congested connection can take more.
	 * @param connection the connection
	 */
	void drained(PeerConnection connection);

}
