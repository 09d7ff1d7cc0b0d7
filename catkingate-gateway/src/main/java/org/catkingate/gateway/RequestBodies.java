package org.catkingate.gateway;

import java.util.HashMap;
import java.util.Map;

import io.undertow.server.ServerConnection;

/**
 * The memory that the bodies of requests occupy, whose sum is bounded. A body is held
 * until its request has ended, since the request may be sent to another runner. Used by
 * the traffic thread only.
 */
final class RequestBodies {

	/**
	 * The part of the heap that all bodies together may occupy, also if more is
	 * configured.
	 */
	private static final int HEAP_DIVISOR = 4;

	private final Map<ServerConnection, Long> bytesByConnection = new HashMap<>();

	private final long maxBytes;

	private long totalBytes;

	/**
	 * Creates a record without any body.
	 * @param maxBytes the memory for all bodies together
	 * @param heapBytes the maximum size of the heap of the process
	 */
	RequestBodies(long maxBytes, long heapBytes) {
		this.maxBytes = Math.min(maxBytes, heapBytes / HEAP_DIVISOR);
	}

	/**
	 * Reserves memory for the body of the request on a connection, or for a further part
	 * of it. While nothing is held for others, a body of any length has room.
	 * @param connection the connection of the caller
	 * @param bytes the number of bytes
	 * @return whether there is room; if not, nothing is reserved
	 */
	boolean reserve(ServerConnection connection, long bytes) {
		long own = this.bytesByConnection.getOrDefault(connection, 0L);
		if (this.totalBytes > own && this.totalBytes + bytes > this.maxBytes) {
			return false;
		}
		this.bytesByConnection.put(connection, own + bytes);
		this.totalBytes += bytes;
		return true;
	}

	/**
	 * Releases what is reserved for the request on a connection.
	 * @param connection the connection, on which the request has ended
	 */
	void release(ServerConnection connection) {
		Long bytes = this.bytesByConnection.remove(connection);
		this.totalBytes -= (bytes != null) ? bytes : 0;
	}

}
