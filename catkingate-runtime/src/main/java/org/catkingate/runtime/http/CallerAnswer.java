package org.catkingate.runtime.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
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
 * Writes one answer to its caller, as fast as the caller reads. It holds what has been
 * added and not yet taken. An answer that is given up in the middle is cut, so that the
 * caller sees that it is not whole. Used on the exchange's I/O thread only.
 *
 * @since 0.1
 */
public final class CallerAnswer {

	private static final int BUFFERS_PER_WRITE = 32;

	private static final Set<HttpString> CONNECTION_HEADERS = Set.of(Headers.CONNECTION, Headers.KEEP_ALIVE,
			Headers.TRANSFER_ENCODING, Headers.TE, Headers.TRAILER, Headers.UPGRADE, Headers.DATE, Headers.SERVER,
			Headers.PROXY_AUTHENTICATE);

	private final Deque<ByteBuffer> pending = new ArrayDeque<>();

	private final HttpServerExchange exchange;

	private final Runnable onWritable;

	private final Runnable onDisconnect;

	private StreamSinkChannel sink;

	private long written;

	private boolean ended;

	private boolean writesShutDown;

	/**
	 * Prepares an answer, of which nothing is written yet.
	 * @param exchange the caller's exchange
	 * @param writable is run when the caller takes more
	 * @param departed is run if the caller's connection turns out lost
	 */
	public CallerAnswer(HttpServerExchange exchange, Runnable writable, Runnable departed) {
		this.exchange = exchange;
		this.onWritable = writable;
		this.onDisconnect = departed;
	}

	/**
	 * Tells whether the caller may have seen something of the answer.
	 * @return whether the answer has begun
	 */
	public boolean isBegun() {
		return this.sink != null;
	}

	/**
	 * Counts what the caller's connection has taken.
	 * @return the bytes of the body
	 */
	public long written() {
		return this.written;
	}

	/**
	 * Begins the answer.
	 * @param status the HTTP status
	 * @param headers the headers; those of a connection are left out
	 */
	public void begin(int status, HeaderMap headers) {
		this.exchange.setStatusCode(status);
		for (HeaderValues values : headers) {
			if (!CONNECTION_HEADERS.contains(values.getHeaderName())) {
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
	 * Tells whether the body needs an end of its own. Without one the server would end it
	 * by closing the connection if the caller asked for that, and a cut would look like
	 * an end.
	 * @param status the HTTP status
	 * @return whether there is a body of unknown length
	 */
	private boolean mustBeChunked(int status) {
		return !this.exchange.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
				&& !this.exchange.getRequestMethod().equals(Methods.HEAD) && status != StatusCodes.NO_CONTENT
				&& status != StatusCodes.NOT_MODIFIED;
	}

	/**
	 * Counts what waits to be written.
	 * @return the bytes
	 */
	public long pendingBytes() {
		return this.pending.stream().mapToLong(ByteBuffer::remaining).sum();
	}

	/**
	 * Adds to the body.
	 * @param bytes the bytes, at least one, which must not change any more
	 */
	public void add(ByteBuffer bytes) {
		this.pending.add(bytes);
	}

	/**
	 * Drops what has been added, if nothing of the answer has been written.
	 */
	public void clear() {
		this.pending.clear();
	}

	/**
	 * Says that nothing more will be added.
	 */
	public void end() {
		this.ended = true;
	}

	/**
	 * Writes what the caller takes now; the rest follows when it takes more.
	 */
	public void proceed() {
		try {
			if (writePending() && finishWriting()) {
				this.sink.suspendWrites();
			}
			else {
				this.sink.resumeWrites();
			}
		}
		catch (IOException ex) {
			cut();
			this.onDisconnect.run();
		}
	}

	private boolean writePending() throws IOException {
		while (!this.pending.isEmpty()) {
			ByteBuffer[] buffers = this.pending.stream().limit(BUFFERS_PER_WRITE).toArray(ByteBuffer[]::new);
			long count = this.sink.write(buffers, 0, buffers.length);
			if (count == 0) {
				return false;
			}
			this.written += count;
			while (!this.pending.isEmpty() && !this.pending.peek().hasRemaining()) {
				this.pending.poll();
			}
		}
		return true;
	}

	private boolean finishWriting() throws IOException {
		if (this.ended && !this.writesShutDown) {
			this.writesShutDown = true;
			this.sink.shutdownWrites();
		}
		return this.sink.flush();
	}

	/**
	 * Closes the caller's connection without ending the answer.
	 */
	public void cut() {
		this.pending.clear();
		IoUtils.safeClose(this.exchange.getConnection());
	}

}
