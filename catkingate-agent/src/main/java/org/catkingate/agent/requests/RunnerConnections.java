package org.catkingate.agent.requests;

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

/**
 * The HTTP connections to one runner. Idle ones are kept for reuse; how many are in use
 * is bounded by the {@link RunnerQueue}. Safe for use by any thread.
 */
final class RunnerConnections implements AutoCloseable {

	private static final int MAXIMUM_IDLE = 64;

	private static final OptionMap OPTIONS = OptionMap.builder()
		.set(Options.TCP_NODELAY, true)
		.set(Options.KEEP_ALIVE, true)
		.getMap();

	private final Deque<ClientConnection> idle = new ConcurrentLinkedDeque<>();

	private final URI uri;

	private final XnioWorker worker;

	private final ByteBufferPool buffers;

	RunnerConnections(InetSocketAddress address, XnioWorker worker, ByteBufferPool buffers) {
		this.uri = URI.create("http://" + address.getAddress().getHostAddress() + ":" + address.getPort());
		this.worker = worker;
		this.buffers = buffers;
	}

	String authority() {
		return this.uri.getAuthority();
	}

	/**
	 * Takes a connection; exactly one of the two is called.
	 * @param fresh whether the connection must be new, since one that was idle may be
	 * closed by the runner at the moment of use
	 * @param ready is given the connection, on its I/O thread
	 * @param failed is told that none could be made
	 */
	void acquire(boolean fresh, Consumer<ClientConnection> ready, Consumer<IOException> failed) {
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
		ClientConnection connection = this.idle.pollFirst();
		while (connection != null && !connection.isOpen()) {
			connection = this.idle.pollFirst();
		}
		return connection;
	}

	/**
	 * Gives a connection back after a whole answer.
	 * @param connection the connection
	 */
	void release(ClientConnection connection) {
		if (!connection.isOpen()) {
			return;
		}
		if (this.idle.size() >= MAXIMUM_IDLE) {
			IoUtils.safeClose(connection);
			return;
		}
		this.idle.addFirst(connection);
	}

	@Override
	public void close() {
		ClientConnection connection = this.idle.pollFirst();
		while (connection != null) {
			IoUtils.safeClose(connection);
			connection = this.idle.pollFirst();
		}
	}

}
