package org.catkingate.runtime.http;

import io.undertow.client.ClientConnection;
import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;

/**
 * The use of one connection by consecutive calls, attached to the connection. It refers
 * to the call in progress only, so that a connection that is kept for long holds nothing
 * of earlier calls. Used by the I/O thread of the connection only.
 */
final class ConnectionUse {

	private static final AttachmentKey<ConnectionUse> KEY = AttachmentKey.create(ConnectionUse.class);

	private static final Runnable NOTHING = () -> {
	};

	private Runnable closeHandler = NOTHING;

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
	 * @param closeHandler runs if the connection closes before {@link #endCall()}
	 * @return the use of the connection, never null
	 */
	static ConnectionUse startCall(ClientConnection connection, Runnable closeHandler) {
		ConnectionUse use = ((Attachable) connection).getAttachment(KEY);
		if (use == null) {
			ConnectionUse created = new ConnectionUse();
			((Attachable) connection).putAttachment(KEY, created);
			// added once, since a connection keeps its close listeners until it closes
			connection.addCloseListener((closed) -> created.closeHandler.run());
			use = created;
		}
		use.closeHandler = closeHandler;
		return use;
	}

	/**
	 * Records that the call in progress has ended.
	 */
	void endCall() {
		this.closeHandler = NOTHING;
	}

}
