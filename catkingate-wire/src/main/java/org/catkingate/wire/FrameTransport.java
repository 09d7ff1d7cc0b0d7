package org.catkingate.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.atomic.LongAdder;

import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Makes framed connections, as client and as server, on the I/O threads of one worker.
 * Safe for use by any thread.
 *
 * @since 0.1
 */
public final class FrameTransport implements AutoCloseable {

	private static final int BACKLOG = 1024;

	private final XnioWorker worker;

	private final SharedKey key;

	private final Handshake.PeerIdentity ownIdentity;

	private final LongAdder sentBytes = new LongAdder();

	private final boolean ownsWorker;

	private FrameTransport(XnioWorker worker, SharedKey key, Handshake.PeerIdentity own, boolean ownsWorker) {
		this.worker = worker;
		this.ownsWorker = ownsWorker;
		this.key = key;
		this.ownIdentity = own;
	}

	/**
	 * Starts the I/O threads.
	 * @param ioThreads how many
	 * @param key the shared key
	 * @param own the identity to prove
	 * @return the transport, never null
	 * @throws IOException if the threads cannot be started
	 */
	public static FrameTransport create(int ioThreads, SharedKey key, Handshake.PeerIdentity own) throws IOException {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(own, "own must not be null");
		OptionMap options = OptionMap.builder()
			.set(Options.WORKER_IO_THREADS, ioThreads)
			.set(Options.WORKER_TASK_CORE_THREADS, 1)
			.set(Options.WORKER_TASK_MAX_THREADS, 1)
			.set(Options.THREAD_DAEMON, true)
			.set(Options.WORKER_NAME, "peers")
			.getMap();
		return new FrameTransport(Xnio.getInstance().createWorker(options), key, own, true);
	}

	/**
	 * Uses I/O threads that are there already.
	 * @param worker the threads
	 * @param key the shared key
	 * @param own the identity to prove
	 * @return the transport, never null
	 */
	public static FrameTransport on(XnioWorker worker, SharedKey key, Handshake.PeerIdentity own) {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(own, "own must not be null");
		return new FrameTransport(worker, key, own, false);
	}

	/**
	 * Accepts connections.
	 * @param address where to listen; port 0 for any free one
	 * @param listener is told what happens on the connections
	 * @return the address that is listened on, never null
	 * @throws IOException if the address cannot be used
	 */
	public InetSocketAddress listen(InetSocketAddress address, ConnectionListener listener) throws IOException {
		AcceptingChannel<StreamConnection> server = this.worker.createStreamConnectionServer(address,
				(channel) -> accept(channel, listener), options());
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
			channel.getIoThread().execute(channel::resumeAccepts);
		}
	}

	private void start(StreamConnection stream, ConnectionListener listener) {
		stream.getIoThread()
			.execute(() -> FrameConnection.start(stream, this.key, this.ownIdentity, listener, this.sentBytes));
	}

	/**
	 * Makes a connection, without waiting for it.
	 * @param address the peer's address
	 * @param listener is told what happens on the connection
	 * @param failed is run if no connection could be made; the listener is then told
	 * nothing
	 */
	public void connect(InetSocketAddress address, ConnectionListener listener, Runnable failed) {
		IoFuture<StreamConnection> future = this.worker.openStreamConnection(address,
				(stream) -> FrameConnection.start(stream, this.key, this.ownIdentity, listener, this.sentBytes),
				options());
		future.addNotifier((result, ignored) -> {
			if (result.getStatus() != IoFuture.Status.DONE) {
				failed.run();
			}
		}, null);
	}

	/**
	 * Counts what has been sent.
	 * @return the bytes of all frames sent over all connections so far
	 */
	public long sentBytes() {
		return this.sentBytes.sum();
	}

	private static OptionMap options() {
		return OptionMap.builder()
			.set(Options.TCP_NODELAY, true)
			.set(Options.REUSE_ADDRESSES, true)
			.set(Options.BACKLOG, BACKLOG)
			.getMap();
	}

	/**
	 * Ends the threads with all connections, if they are the transport's own.
	 */
	@Override
	public void close() {
		if (this.ownsWorker) {
			this.worker.shutdownNow();
		}
	}

}
