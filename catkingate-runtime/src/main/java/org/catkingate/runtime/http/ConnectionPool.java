package org.catkingate.runtime.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Deque;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.function.Consumer;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;

import org.catkingate.model.AddressFormatter;
import org.catkingate.runtime.MonotonicClock;

/**
 * A pool of HTTP connections to one runner, which keeps idle connections for reuse. It
 * does not limit the number of connections in use; its user does. Safe for use by any
 * thread.
 *
 * @since 0.1
 */
public final class ConnectionPool implements AutoCloseable {

	/** The default for the maximum number of idle connections. */
	public static final int DEFAULT_MAX_IDLE = 64;

	private static final OptionMap OPTIONS = OptionMap.builder()
		.set(Options.TCP_NODELAY, true)
		.set(Options.KEEP_ALIVE, true)
		.getMap();

	private final Deque<IdleConnection> idleConnections = new ConcurrentLinkedDeque<>();

	private final URI uri;

	private final XnioWorker worker;

	private final ByteBufferPool buffers;

	private final int maxIdle;

	private final MonotonicClock clock;

	private volatile boolean closed;

	private ConnectionPool(URI uri, XnioWorker worker, ByteBufferPool buffers, int maxIdle, MonotonicClock clock) {
		this.maxIdle = maxIdle;
		this.uri = uri;
		this.worker = worker;
		this.buffers = buffers;
		this.clock = clock;
	}

	/**
	 * Creates an empty pool.
	 * @param address the runner's address
	 * @param worker the I/O threads
	 * @param buffers the pool of I/O buffers
	 * @param maxIdle the maximum number of idle connections
	 * @param clock the clock by which idle connections expire
	 * @return the pool, never null
	 */
	public static ConnectionPool to(InetSocketAddress address, XnioWorker worker, ByteBufferPool buffers, int maxIdle,
			MonotonicClock clock) {
		URI uri = URI.create(AddressFormatter.formatUrl(address));
		return new ConnectionPool(uri, worker, buffers, maxIdle, clock);
	}

	/**
	 * Returns the value of the host header for requests to the runner.
	 * @return the runner's host and port
	 */
	public String authority() {
		return this.uri.getAuthority();
	}

	/**
	 * Acquires a connection, idle or new. Calls exactly one of the two consumers.
	 * @param requireNew whether the connection must be new, since the runner may close an
	 * idle one at the moment it is used
	 * @param ready receives the connection, on its I/O thread
	 * @param failed receives the cause if no connection could be opened
	 */
	public void acquire(boolean requireNew, Consumer<ClientConnection> ready, Consumer<IOException> failed) {
		ClientConnection reused = (requireNew) ? null : takeIdle();
		if (reused != null) {
			reused.getIoThread().execute(() -> ready.accept(reused));
			return;
		}
		LimitedConnections.open(this.uri, this.worker, this.buffers, OPTIONS, new ClientCallback<>() {

			@Override
			public void completed(ClientConnection connection) {
				connection.getIoThread().execute(() -> ready.accept(connection));
			}

			@Override
			public void failed(IOException ex) {
				failed.accept(ex);
			}

		});
	}

	private ClientConnection takeIdle() {
		IdleConnection next = this.idleConnections.pollFirst();
		while (next != null) {
			if (next.connection().isOpen() && ResponseBytes.of(next.connection()).isAtEnd()
					&& this.clock.millis() < next.usableUntilMillis()) {
				return next.connection();
			}
			IoUtils.safeClose(next.connection());
			next = this.idleConnections.pollFirst();
		}
		return null;
	}

	/**
	 * Returns a connection to the pool after a complete response, for use without a time
	 * limit.
	 * @param connection the connection
	 */
	public void release(ClientConnection connection) {
		// Half of the maximum, so that adding it to the current time does not overflow.
		release(connection, Long.MAX_VALUE / 2);
	}

	/**
	 * Returns a connection to the pool after a complete response.
	 * @param connection the connection
	 * @param usableMillis how long the runner keeps it open, in milliseconds
	 */
	public void release(ClientConnection connection, long usableMillis) {
		if (!connection.isOpen()) {
			return;
		}
		if (this.closed || this.idleConnections.size() >= this.maxIdle) {
			IoUtils.safeClose(connection);
			return;
		}
		long now = this.clock.millis();
		this.idleConnections.addFirst(new IdleConnection(connection, now, now + usableMillis));
	}

	/**
	 * Closes the idle connections whose last response ended at a given time or before.
	 * @param endedAtMillis the time, in milliseconds of the monotonic clock
	 * @return the number of connections closed
	 */
	public int closeIdleSince(long endedAtMillis) {
		int closedConnections = 0;
		for (IdleConnection idle : this.idleConnections) {
			if (idle.idleSinceMillis() <= endedAtMillis && this.idleConnections.remove(idle)) {
				IoUtils.safeClose(idle.connection());
				closedConnections++;
			}
		}
		return closedConnections;
	}

	/**
	 * Closes the idle connections, and from now on those that are returned.
	 */
	@Override
	public void close() {
		this.closed = true;
		IdleConnection next = this.idleConnections.pollFirst();
		while (next != null) {
			IoUtils.safeClose(next.connection());
			next = this.idleConnections.pollFirst();
		}
	}

	/**
	 * An idle connection.
	 *
	 * @param connection the connection
	 * @param idleSinceMillis when the last response on it ended, in milliseconds of the
	 * monotonic clock
	 * @param usableUntilMillis the time until which it may be reused, in milliseconds of
	 * the monotonic clock
	 */
	private record IdleConnection(ClientConnection connection, long idleSinceMillis, long usableUntilMillis) {

	}

}
