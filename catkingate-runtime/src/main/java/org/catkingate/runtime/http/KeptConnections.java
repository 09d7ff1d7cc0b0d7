package org.catkingate.runtime.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Deque;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.function.Consumer;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;

import org.catkingate.model.WrittenAddress;
import org.catkingate.runtime.MonotonicClock;

/**
 * The HTTP connections to one runner. Idle ones are kept for reuse; how many are in use
 * is bounded by the caller. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class KeptConnections implements AutoCloseable {

	/** How many idle connections are usually kept. */
	public static final int USUAL_IDLE = 64;

	private static final OptionMap OPTIONS = OptionMap.builder()
		.set(Options.TCP_NODELAY, true)
		.set(Options.KEEP_ALIVE, true)
		.getMap();

	private final Deque<IdleConnection> idle = new ConcurrentLinkedDeque<>();

	private final URI uri;

	private final XnioWorker worker;

	private final ByteBufferPool buffers;

	private final int maxIdle;

	private final MonotonicClock clock;

	private volatile boolean closed;

	private KeptConnections(URI uri, XnioWorker worker, ByteBufferPool buffers, int maximumIdle, MonotonicClock clock) {
		this.maxIdle = maximumIdle;
		this.uri = uri;
		this.worker = worker;
		this.buffers = buffers;
		this.clock = clock;
	}

	/**
	 * Makes the connections of one runner; none is opened yet.
	 * @param address the runner's address
	 * @param worker the I/O threads
	 * @param buffers the buffers
	 * @param maximumIdle how many idle connections are kept
	 * @param clock the clock by which idle connections age
	 * @return the connections, never null
	 */
	public static KeptConnections to(InetSocketAddress address, XnioWorker worker, ByteBufferPool buffers,
			int maximumIdle, MonotonicClock clock) {
		URI uri = URI.create(WrittenAddress.url(address));
		return new KeptConnections(uri, worker, buffers, maximumIdle, clock);
	}

	/**
	 * Returns what stands in the host header.
	 * @return the runner's host and port
	 */
	public String authority() {
		return this.uri.getAuthority();
	}

	/**
	 * Takes a connection; exactly one of the two is called.
	 * @param fresh whether the connection must be new, since one that was idle may be
	 * closed by the runner at the moment of use
	 * @param ready is given the connection, on its I/O thread
	 * @param failed is told that none could be made
	 */
	public void acquire(boolean fresh, Consumer<ClientConnection> ready, Consumer<IOException> failed) {
		ClientConnection reused = (fresh) ? null : idleConnection();
		if (reused != null) {
			reused.getIoThread().execute(() -> ready.accept(reused));
			return;
		}
		UndertowClient.getInstance().connect(new ClientCallback<>() {

			@Override
			public void completed(ClientConnection connection) {
				connection.getIoThread().execute(() -> ready.accept(connection));
			}

			@Override
			public void failed(IOException ex) {
				failed.accept(ex);
			}

		}, this.uri, this.worker, this.buffers, OPTIONS);
	}

	private ClientConnection idleConnection() {
		IdleConnection next = this.idle.pollFirst();
		while (next != null) {
			if (next.connection().isOpen() && this.clock.millis() < next.usableUntilMillis()) {
				return next.connection();
			}
			IoUtils.safeClose(next.connection());
			next = this.idle.pollFirst();
		}
		return null;
	}

	/**
	 * Gives a connection back after a whole answer.
	 * @param connection the connection
	 */
	public void release(ClientConnection connection) {
		release(connection, Long.MAX_VALUE / 2);
	}

	/**
	 * Gives a connection back after a whole answer.
	 * @param connection the connection
	 * @param usableMillis how long the runner keeps it open, in milliseconds
	 */
	public void release(ClientConnection connection, long usableMillis) {
		if (!connection.isOpen()) {
			return;
		}
		if (this.closed || this.idle.size() >= this.maxIdle) {
			IoUtils.safeClose(connection);
			return;
		}
		this.idle.addFirst(new IdleConnection(connection, this.clock.millis() + usableMillis));
	}

	/**
	 * Closes the idle connections, and those given back from now on.
	 */
	@Override
	public void close() {
		this.closed = true;
		IdleConnection next = this.idle.pollFirst();
		while (next != null) {
			IoUtils.safeClose(next.connection());
			next = this.idle.pollFirst();
		}
	}

	/**
	 * A connection that waits for use.
	 *
	 * @param connection the connection
	 * @param usableUntilMillis until when it may be used, in monotonic milliseconds
	 */
	private record IdleConnection(ClientConnection connection, long usableUntilMillis) {

	}

}
