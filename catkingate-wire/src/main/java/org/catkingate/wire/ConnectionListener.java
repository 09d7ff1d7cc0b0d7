package org.catkingate.wire;

/**
 * Is told what happens on connections. Called by the connection's I/O thread, in order,
 * and must not block. After {@code closed} nothing more is told of a connection.
 *
 * @since 0.1
 */
public interface ConnectionListener {

	/**
	 * Both sides have proved the shared key; {@link FrameConnection#peer()} is known.
	 * @param connection the connection
	 */
	void opened(FrameConnection connection);

	/**
	 * A message has arrived.
	 * @param connection the connection
	 * @param message the message
	 */
	void received(FrameConnection connection, Message message);

	/**
	 * The connection is closed, whether or not it was ever opened.
	 * @param connection the connection
	 * @param reason why, for the log
	 */
	void closed(FrameConnection connection, String reason);

	/**
	 * The queue has become empty after the connection was congested.
	 * @param connection the connection
	 */
	default void drained(FrameConnection connection) {
	}

}
