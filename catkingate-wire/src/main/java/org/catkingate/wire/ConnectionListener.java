package org.catkingate.wire;

/**
 * A listener for events of connections. Its methods are called in order by the I/O thread
 * of the connection and must not block. {@link #onClosed} is the last call for a
 * connection.
 *
 * @since 0.1
 */
public interface ConnectionListener {

	/**
	 * Called when both sides have proved the shared key. From now on
	 * {@link FrameConnection#peer()} is not null.
	 * @param connection the connection
	 */
	void onOpened(FrameConnection connection);

	/**
	 * Called when a message has been received.
	 * @param connection the connection
	 * @param message the message
	 */
	void onReceived(FrameConnection connection, Message message);

	/**
	 * Called when the connection has been closed, whether or not {@link #onOpened} was
	 * called before.
	 * @param connection the connection
	 * @param reason the reason, for the log
	 */
	void onClosed(FrameConnection connection, String reason);

	/**
	 * Called when the send queue has become empty after the connection was congested.
	 * @param connection the connection
	 */
	default void onSendQueueEmptied(FrameConnection connection) {
	}

}
