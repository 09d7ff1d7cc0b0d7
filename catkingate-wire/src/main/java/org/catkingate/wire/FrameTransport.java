package org.catkingate.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * A factory of client and server frame connections, which share the I/O threads of one
 * XNIO worker. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class FrameTransport implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(FrameTransport.class);

	private static final int BACKLOG = 1024;

	/** The pause after a connection could not be accepted, as without descriptors. */
	private static final long ACCEPT_RETRY_MILLIS = 250;

	private final XnioWorker worker;

	private final SharedKey key;

	private final HandshakeMessage.PeerIdentity ownIdentity;

	private final LongAdder sentBytes = new LongAdder();

	private final boolean ownsWorker;

	private FrameTransport(XnioWorker worker, SharedKey key, HandshakeMessage.PeerIdentity ownIdentity,
			boolean ownsWorker) {
		this.worker = worker;
		this.ownsWorker = ownsWorker;
		this.key = key;
		this.ownIdentity = ownIdentity;
	}

	/**
	 * Creates a transport with its own I/O threads.
	 * @param ioThreads the number of I/O threads
	 * @param key the shared key
	 * @param ownIdentity the identity of this process
	 * @return the transport, never null
	 * @throws IOException if the threads cannot be started
	 */
	public static FrameTransport create(int ioThreads, SharedKey key, HandshakeMessage.PeerIdentity ownIdentity)
			throws IOException {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(ownIdentity, "ownIdentity must not be null");
		OptionMap options = OptionMap.builder()
			.set(Options.WORKER_IO_THREADS, ioThreads)
			.set(Options.WORKER_TASK_CORE_THREADS, 1)
			.set(Options.WORKER_TASK_MAX_THREADS, 1)
			.set(Options.THREAD_DAEMON, true)
			.set(Options.WORKER_NAME, "peers")
			.getMap();
		return new FrameTransport(Xnio.getInstance().createWorker(options), key, ownIdentity, true);
	}

	/**
	 * Creates a transport on the I/O threads of an existing worker, which
	 * {@link #close()} does not shut down.
	 * @param worker the worker
	 * @param key the shared key
	 * @param ownIdentity the identity of this process
	 * @return the transport, never null
	 */
	public static FrameTransport createOn(XnioWorker worker, SharedKey key, HandshakeMessage.PeerIdentity ownIdentity) {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(ownIdentity, "ownIdentity must not be null");
		return new FrameTransport(worker, key, ownIdentity, false);
	}

	/**
	 * Accepts connections.
	 * @param address the address to listen on; port 0 selects a free port
	 * @param listener the listener of the accepted connections
	 * @return the local address, never null
	 * @throws IOException if the address cannot be used
	 */
	public InetSocketAddress listen(InetSocketAddress address, ConnectionListener listener) throws IOException {
		AcceptingChannel<StreamConnection> server = this.worker.createStreamConnectionServer(address,
				(channel) -> accept(channel, listener), socketOptions());
		server.resumeAccepts();
		return server.getLocalAddress(InetSocketAddress.class);
	}

	private void accept(AcceptingChannel<StreamConnection> channel, ConnectionListener listener) {
		try {
			StreamConnection stream = channel.accept();
			while (stream != null) {
				start(stream, listener);
				stream = channel.accept();
			}
		}
		catch (IOException ex) {
			channel.suspendAccepts();
			channel.getIoThread().executeAfter(channel::resumeAccepts, ACCEPT_RETRY_MILLIS, TimeUnit.MILLISECONDS);
			logger.atWarn()
				.addKeyValue("event", "peer-not-accepted")
				.addKeyValue("reason", ex.getMessage())
				.log("a connection of another process could not be accepted; trying again");
		}
	}

	private void start(StreamConnection stream, ConnectionListener listener) {
		stream.getIoThread()
			.execute(() -> FrameConnection.start(stream, this.key, this.ownIdentity, listener, this.sentBytes));
	}

	/**
	 * Opens a connection asynchronously.
	 * @param address the peer's address
	 * @param listener the listener of the connection
	 * @param onFailure a task that is run if the connection could not be established; the
	 * listener is not called then
	 */
	public void connect(InetSocketAddress address, ConnectionListener listener, Runnable onFailure) {
		IoFuture<StreamConnection> future = this.worker.openStreamConnection(address,
				(stream) -> FrameConnection.start(stream, this.key, this.ownIdentity, listener, this.sentBytes),
				socketOptions());
		future.addNotifier((result, ignored) -> {
			if (result.getStatus() != IoFuture.Status.DONE) {
				onFailure.run();
			}
		}, null);
	}

	/**
	 * Returns the number of bytes sent.
	 * @return the size of all frames sent over all connections so far, in bytes
	 */
	public long sentBytes() {
		return this.sentBytes.sum();
	}

	private static OptionMap socketOptions() {
		return OptionMap.builder()
			.set(Options.TCP_NODELAY, true)
			.set(Options.REUSE_ADDRESSES, true)
			.set(Options.BACKLOG, BACKLOG)
			.getMap();
	}

	/**
	 * Stops the I/O threads and closes all connections, if the transport has its own
	 * threads.
	 */
	@Override
	public void close() {
		if (this.ownsWorker) {
			this.worker.shutdownNow();
		}
	}

}
