package org.catkingate.runtime.http;

import java.util.function.Consumer;

import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;

/**
 * What runs when a connection closes, attached to the connection. A connection keeps its
 * close listeners until it closes, so that one listener is added, which refers to the
 * request in progress only; a connection that is kept for long holds nothing of earlier
 * requests. Used by the I/O thread of the connection only.
 *
 * @since 0.1
 */
public final class CloseHandler {

	private static final AttachmentKey<CloseHandler> KEY = AttachmentKey.create(CloseHandler.class);

	private static final Runnable NOTHING = () -> {
	};

	private Runnable action = NOTHING;

	private CloseHandler() {
	}

	/**
	 * Returns whether a connection has a handler.
	 * @param connection the connection
	 * @return whether {@link #of} has been called for it
	 */
	static boolean isPresent(Attachable connection) {
		return connection.getAttachment(KEY) != null;
	}

	/**
	 * Returns the handler of a connection, which does nothing at first.
	 * @param connection the connection
	 * @param registration adds a close listener to the connection; called for the first
	 * request on it only
	 * @return the handler, never null
	 */
	public static CloseHandler of(Attachable connection, Consumer<Runnable> registration) {
		CloseHandler present = connection.getAttachment(KEY);
		if (present != null) {
			return present;
		}
		CloseHandler created = new CloseHandler();
		connection.putAttachment(KEY, created);
		registration.accept(() -> created.action.run());
		return created;
	}

	/**
	 * Replaces what runs when the connection closes.
	 * @param next the action for the request in progress
	 */
	public void set(Runnable next) {
		this.action = next;
	}

	/**
	 * Lets nothing run when the connection closes, since no request is in progress.
	 */
	public void clear() {
		this.action = NOTHING;
	}

}
