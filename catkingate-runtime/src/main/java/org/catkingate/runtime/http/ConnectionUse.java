package org.catkingate.runtime.http;

import io.undertow.client.ClientConnection;
import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;

/**
 * The use of one connection by consecutive calls, attached to the connection. Used by the
 * I/O thread of the connection only.
 */
final class ConnectionUse {

	private static final AttachmentKey<ConnectionUse> KEY = AttachmentKey.create(ConnectionUse.class);

	private ConnectionUse() {
	}

	/**
	 * Returns whether no call has started on a connection.
	 * @param connection the connection
	 * @return whether the next call is the first one
	 */
	static boolean isUnused(ClientConnection connection) {
		return ((Attachable) connection).getAttachment(KEY) == null;
	}

	/**
	 * Records that a call starts on a connection.
	 * @param connection the connection
	 */
	static void startCall(ClientConnection connection) {
		((Attachable) connection).putAttachment(KEY, new ConnectionUse());
	}

}
