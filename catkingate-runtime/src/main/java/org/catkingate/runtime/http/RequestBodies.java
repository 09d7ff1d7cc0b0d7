package org.catkingate.runtime.http;

import java.util.HashMap;
import java.util.Map;

import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;

/**
 * The memory that the bodies of requests occupy, whose sum is bounded. A body is held
 * until its request has ended, since the request may be sent to another runner. Safe for
 * use by any thread.
 *
 * @since 0.1
 */
public final class RequestBodies {

	/**
	 * The part of the heap that all bodies together may occupy, also if more is
	 * configured.
	 */
	private static final int HEAP_DIVISOR = 4;

	private static final AttachmentKey<Boolean> RELEASED_ON_CLOSE = AttachmentKey.create(Boolean.class);

	private final Map<ServerConnection, Long> bytesByConnection = new HashMap<>();

	private final long maxBytes;

	private long totalBytes;

	/**
	 * Creates a record without any body.
	 * @param maxBytes the memory for all bodies together, in bytes
	 * @param heapBytes the maximum size of the heap of the process, in bytes
	 */
	public RequestBodies(long maxBytes, long heapBytes) {
		this.maxBytes = Math.min(maxBytes, heapBytes / HEAP_DIVISOR);
	}

	/**
	 * Reserves memory for the body of the request on a connection, or for a further part
	 * of it, until it is released or the connection closes. While nothing is held for
	 * others, a body of any length has room.
	 * @param connection the connection of the caller
	 * @param bytes the number of bytes
	 * @return whether there is room; if not, nothing is reserved
	 */
	public synchronized boolean reserve(ServerConnection connection, long bytes) {
		long own = this.bytesByConnection.getOrDefault(connection, 0L);
		if (this.totalBytes > own && this.totalBytes + bytes > this.maxBytes) {
			return false;
		}
		releaseOnClose(connection);
		this.bytesByConnection.put(connection, own + bytes);
		this.totalBytes += bytes;
		return true;
	}

	private void releaseOnClose(ServerConnection connection) {
		if (connection.getAttachment(RELEASED_ON_CLOSE) == null) {
			connection.putAttachment(RELEASED_ON_CLOSE, true);
			connection.addCloseListener(this::release);
		}
	}

	/**
	 * Reduces what is reserved for the request on a connection to the length of its body,
	 * which was not known before.
	 * @param connection the connection of the caller
	 * @param bytes the length of the body, not more than what is reserved
	 */
	public synchronized void reduce(ServerConnection connection, long bytes) {
		Long reserved = this.bytesByConnection.replace(connection, bytes);
		this.totalBytes -= (reserved != null) ? reserved - bytes : 0;
	}

	/**
	 * Releases what is reserved for the request on a connection.
	 * @param connection the connection, on which the request has ended
	 */
	public synchronized void release(ServerConnection connection) {
		Long bytes = this.bytesByConnection.remove(connection);
		this.totalBytes -= (bytes != null) ? bytes : 0;
	}

}
