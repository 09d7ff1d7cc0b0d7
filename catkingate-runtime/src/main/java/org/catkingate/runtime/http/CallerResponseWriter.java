package org.catkingate.runtime.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * A writer of one response to a caller, which writes as fast as the caller reads and
 * buffers the rest. If a response is aborted, the connection is closed without the end of
 * the response, so that the caller detects that it is incomplete. For use on the
 * exchange's I/O thread only.
 *
 * @since 0.1
 */
public final class CallerResponseWriter {

	private static final int MAX_BUFFERS_PER_WRITE = 32;

	/**
	 * The maximum number of bytes of the write that sends the head, unless its first
	 * buffer is longer. The server refers to its buffers until the response ends.
	 */
	private static final int MAX_FIRST_WRITE_BYTES = 16 * 1024;

	/**
	 * The memory that a buffer occupies beside its bytes, in bytes: the buffer, its array
	 * and its place in the queue.
	 */
	private static final int BUFFER_OVERHEAD_BYTES = 80;

	/**
	 * The headers of a runner's response that are not forwarded, since they concern only
	 * one connection or the HTTP server that sent them.
	 */
	private static final Set<HttpString> HEADERS_NOT_FORWARDED = Set.of(Headers.CONNECTION, Headers.KEEP_ALIVE,
			Headers.TRANSFER_ENCODING, Headers.TE, Headers.TRAILER, Headers.UPGRADE, Headers.DATE, Headers.SERVER,
			Headers.PROXY_AUTHENTICATE);

	private final Deque<ByteBuffer> pending = new ArrayDeque<>();

	private final HttpServerExchange exchange;

	private final Runnable onWritable;

	private final Runnable onDisconnect;

	private StreamSinkChannel sink;

	private long pendingBytes;

	private long writtenBytes;

	private boolean ended;

	private boolean writesShutDown;

	/**
	 * Creates a writer, without writing anything.
	 * @param exchange the caller's exchange
	 * @param onWritable runs when the connection can take more bytes
	 * @param onDisconnect runs if writing shows that the caller's connection is lost
	 */
	public CallerResponseWriter(HttpServerExchange exchange, Runnable onWritable, Runnable onDisconnect) {
		this.exchange = exchange;
		this.onWritable = onWritable;
		this.onDisconnect = onDisconnect;
	}

	/**
	 * Returns whether the caller may have received a part of the response.
	 * @return whether the response has started
	 */
	public boolean isStarted() {
		return this.sink != null;
	}

	/**
	 * Returns the number of bytes of the body that the caller's connection has taken.
	 * @return the number of bytes
	 */
	public long writtenBytes() {
		return this.writtenBytes;
	}

	/**
	 * Starts the response.
	 * @param status the HTTP status
	 * @param headers the headers; those that concern only one connection are left out
	 */
	public void start(int status, HeaderMap headers) {
		this.exchange.setStatusCode(status);
		for (HeaderValues values : headers) {
			if (!HEADERS_NOT_FORWARDED.contains(values.getHeaderName())) {
				this.exchange.getResponseHeaders().putAll(values.getHeaderName(), values);
			}
		}
		if (mustBeChunked(status)) {
			this.exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
		}
		this.sink = this.exchange.getResponseChannel();
		this.sink.getWriteSetter().set((channel) -> this.onWritable.run());
	}

	/**
	 * Returns whether the body must be sent with chunked encoding. Without it, the server
	 * would end the body by closing the connection if the caller requested that, and the
	 * caller could not distinguish an aborted response from a complete one.
	 * @param status the HTTP status
	 * @return whether there is a body of unknown length
	 */
	private boolean mustBeChunked(int status) {
		return !this.exchange.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
				&& !this.exchange.getRequestMethod().equals(Methods.HEAD) && status != StatusCodes.NO_CONTENT
				&& status != StatusCodes.NOT_MODIFIED;
	}

	/**
	 * Returns the memory that the waiting bytes occupy.
	 * @return the number of bytes, with what the buffers themselves need
	 */
	public long heldBytes() {
		return this.pendingBytes + (long) BUFFER_OVERHEAD_BYTES * this.pending.size();
	}

	/**
	 * Appends bytes to the body, to be written by {@link #writePendingBytes()}.
	 * @param bytes the bytes, at least one, which must not be modified afterwards
	 */
	public void add(ByteBuffer bytes) {
		this.pending.add(bytes);
		this.pendingBytes += bytes.remaining();
	}

	/**
	 * Discards the bytes that have been added but not written. Only for use while no part
	 * of the response has been written.
	 */
	public void clear() {
		this.pending.clear();
		this.pendingBytes = 0;
	}

	/**
	 * Marks the body as complete; no more bytes may be added.
	 */
	public void end() {
		this.ended = true;
	}

	/**
	 * Writes as many bytes as the caller's connection takes now. The rest must be written
	 * when the connection can take more.
	 */
	public void writePendingBytes() {
		try {
			if (writePending() && finishWriting()) {
				this.sink.suspendWrites();
			}
			else {
				this.sink.resumeWrites();
			}
		}
		catch (IOException ex) {
			abort();
			this.onDisconnect.run();
		}
	}

	private boolean writePending() throws IOException {
		while (!this.pending.isEmpty()) {
			ByteBuffer[] buffers = nextBuffers();
			long written = this.sink.write(buffers, 0, buffers.length);
			if (written == 0) {
				return false;
			}
			this.writtenBytes += written;
			this.pendingBytes -= written;
			while (!this.pending.isEmpty() && !this.pending.peek().hasRemaining()) {
				this.pending.poll();
			}
		}
		return true;
	}

	private ByteBuffer[] nextBuffers() {
		long maxBytes = (this.writtenBytes == 0) ? MAX_FIRST_WRITE_BYTES : Long.MAX_VALUE;
		List<ByteBuffer> buffers = new ArrayList<>();
		long bytes = 0;
		for (ByteBuffer buffer : this.pending) {
			bytes += buffer.remaining();
			if (buffers.size() == MAX_BUFFERS_PER_WRITE || (bytes > maxBytes && !buffers.isEmpty())) {
				break;
			}
			buffers.add(buffer);
		}
		return buffers.toArray(ByteBuffer[]::new);
	}

	private boolean finishWriting() throws IOException {
		if (this.ended && !this.writesShutDown) {
			this.writesShutDown = true;
			this.sink.shutdownWrites();
		}
		return this.sink.flush();
	}

	/**
	 * Closes the caller's connection without ending the response.
	 */
	public void abort() {
		this.pending.clear();
		this.pendingBytes = 0;
		IoUtils.safeClose(this.exchange.getConnection());
	}

}
