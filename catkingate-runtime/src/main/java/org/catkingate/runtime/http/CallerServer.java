package org.catkingate.runtime.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.xnio.Buffers;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.conduits.PushBackStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

import org.catkingate.runtime.MonotonicClock;

/**
 * The HTTP server that callers connect to. The address is bound before the rest of the
 * process has started, and connections wait in the backlog until
 * {@link #startAccepting(HttpHandler)} is called. The number of connections is limited,
 * and so is the number that begin to be read at the same time. Safe for use by any
 * thread.
 *
 * @since 0.1
 */
public final class CallerServer implements AutoCloseable {

	private static final int BACKLOG = 1024;

	/** The time for accepting what is in the backlog when the server closes. */
	private static final long BACKLOG_MILLIS = 100;

	/** The time within which a caller closes its connection after a rejection. */
	private static final long CLOSE_MILLIS = 1000;

	/** More than the heads of most requests. */
	private static final int ARRIVED_BYTES = 4096;

	private static final String END_OF_HEAD = "\r\n\r\n";

	/** States that the request has not run and when to come back. */
	private static final byte[] LATE_RESPONSE = ("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.3\r\n"
			+ "Connection: close\r\nContent-Length: 0\r\n\r\n")
		.getBytes(StandardCharsets.ISO_8859_1);

	private final Map<XnioIoThread, ConnectionIntake> intakes = new ConcurrentHashMap<>();

	/** The connections that are being read and on which no request has arrived. */
	private final Set<StreamConnection> unused = ConcurrentHashMap.newKeySet();

	private final HttpOpenListener listener;

	private final Consumer<StreamConnection> preparation;

	private final CallerConnectionLimit limit;

	private final MonotonicClock clock;

	private final AcceptingChannel<StreamConnection> channel;

	/** The number of connections that have been accepted and not been read. */
	private final AtomicInteger waiting = new AtomicInteger();

	private final Object acceptLock = new Object();

	private boolean suspended;

	private boolean closed;

	private volatile boolean closingUnused;

	private CallerServer(InetSocketAddress address, XnioWorker worker, HttpOpenListener listener,
			Consumer<StreamConnection> preparation, CallerConnectionLimit limit, MonotonicClock clock)
			throws IOException {
		this.listener = listener;
		this.preparation = preparation;
		this.limit = limit;
		this.clock = clock;
		OptionMap socket = OptionMap.builder()
			.set(Options.TCP_NODELAY, true)
			.set(Options.REUSE_ADDRESSES, true)
			.set(Options.BACKLOG, BACKLOG)
			.getMap();
		this.channel = worker.createStreamConnectionServer(address, ChannelListeners.openListenerAdapter(this::accept),
				socket);
	}

	/**
	 * Binds the address.
	 * @param address the address; port 0 for any free port
	 * @param worker the I/O threads
	 * @param buffers the pool of I/O buffers
	 * @param options the options of the HTTP server
	 * @param preparation prepares each connection before it is read
	 * @param limit limits the number of connections
	 * @param clock the clock
	 * @return the server, which does not accept connections yet
	 * @throws IOException if the address cannot be used
	 */
	public static CallerServer bind(InetSocketAddress address, XnioWorker worker, ByteBufferPool buffers,
			OptionMap options, Consumer<StreamConnection> preparation, CallerConnectionLimit limit,
			MonotonicClock clock) throws IOException {
		return new CallerServer(address, worker, new HttpOpenListener(buffers, options), preparation, limit, clock);
	}

	/**
	 * Starts to accept connections.
	 * @param handler handles the requests
	 */
	public void startAccepting(HttpHandler handler) {
		this.listener.setRootHandler((exchange) -> {
			track(exchange);
			handler.handleRequest(exchange);
		});
		synchronized (this.acceptLock) {
			this.channel.resumeAccepts();
		}
	}

	/**
	 * Changes the options of the HTTP server, for new connections only.
	 * @param options the options
	 */
	public void updateOptions(OptionMap options) {
		// the HTTP server creates a parser for each change
		if (!options.equals(this.listener.getUndertowOptions())) {
			this.listener.setUndertowOptions(options);
		}
	}

	private void accept(StreamConnection connection) {
		if (!this.limit.add(connection)) {
			IoUtils.safeClose(connection);
			return;
		}
		if (this.waiting.incrementAndGet() >= this.limit.maxWaiting()) {
			suspendAccepts();
		}
		XnioIoThread thread = connection.getIoThread();
		if (thread == Thread.currentThread()) {
			intakeOf(thread).add(connection);
		}
		else {
			thread.execute(() -> intakeOf(thread).add(connection));
		}
	}

	/*
	 * The others wait in the backlog, where their callers need not be told anything.
	 */
	private void suspendAccepts() {
		synchronized (this.acceptLock) {
			if (!this.suspended && !this.closed) {
				this.suspended = true;
				this.channel.suspendAccepts();
			}
		}
	}

	private void resumeAccepts() {
		synchronized (this.acceptLock) {
			if (this.suspended) {
				this.suspended = false;
				this.channel.resumeAccepts();
			}
		}
	}

	private ConnectionIntake intakeOf(XnioIoThread thread) {
		return this.intakes.computeIfAbsent(thread,
				(key) -> new ConnectionIntake(key, this.clock, this::start, this::rejectLate));
	}

	private void start(StreamConnection connection) {
		endWait();
		this.limit.markIdle(connection);
		this.preparation.accept(connection);
		this.unused.add(connection);
		this.listener.handleEvent(connection);
		// the HTTP server has set a listener of its own
		ChannelListener<? super StreamConnection> next = connection.getCloseListener();
		connection.setCloseListener((closedConnection) -> {
			remove(closedConnection);
			ChannelListeners.invokeChannelListener(closedConnection, next);
		});
		if (this.closingUnused && this.unused.contains(connection)) {
			IoUtils.safeClose(connection);
		}
		if (!connection.isOpen()) {
			remove(connection);
		}
	}

	private void endWait() {
		if (this.waiting.decrementAndGet() <= this.limit.maxWaiting() / 2) {
			resumeAccepts();
		}
	}

	/*
	 * The request is not parsed, so that this costs little. A request whose head has not
	 * arrived completely is read as any other.
	 */
	private boolean rejectLate(StreamConnection connection) {
		endWait();
		StreamSourceConduit source = connection.getSourceChannel().getConduit();
		ByteBuffer arrived = ByteBuffer.allocate(ARRIVED_BYTES);
		try {
			int count = source.read(arrived);
			boolean hasLeft = count < 0 || (count > 0 && arrived.hasRemaining() && source.read(arrived) < 0);
			if (!hasLeft && !new String(arrived.array(), 0, arrived.position(), StandardCharsets.ISO_8859_1)
				.contains(END_OF_HEAD)) {
				pushBack(connection, arrived.flip());
				this.waiting.incrementAndGet();
				return false;
			}
			if (hasLeft) {
				this.limit.closeLeft(connection);
				return true;
			}
			this.limit.countLate();
			connection.getSinkChannel().write(ByteBuffer.wrap(LATE_RESPONSE));
			connection.getSinkChannel().shutdownWrites();
			connection.getSinkChannel().flush();
			awaitClose(connection);
		}
		catch (IOException ex) {
			this.limit.closeLeft(connection);
		}
		return true;
	}

	private static void pushBack(StreamConnection connection, ByteBuffer bytes) {
		if (bytes.hasRemaining()) {
			PushBackStreamSourceConduit source = new PushBackStreamSourceConduit(
					connection.getSourceChannel().getConduit());
			source.pushBack(Buffers.pooledWrapper(bytes));
			connection.getSourceChannel().setConduit(source);
		}
	}

	/*
	 * A connection that is closed while bytes arrive is reset, and its caller may lose
	 * the response.
	 */
	private void awaitClose(StreamConnection connection) {
		this.limit.markIdle(connection);
		connection.setCloseListener(this::remove);
		connection.getSourceChannel()
			.setReadListener(ChannelListeners.drainListener(Long.MAX_VALUE, (drained) -> IoUtils.safeClose(connection),
					(failed, ex) -> IoUtils.safeClose(connection)));
		connection.getSourceChannel().wakeupReads();
		connection.getIoThread().executeAfter(() -> IoUtils.safeClose(connection), CLOSE_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void remove(StreamConnection connection) {
		this.unused.remove(connection);
		this.limit.remove(connection);
	}

	private void track(HttpServerExchange exchange) {
		StreamConnection connection = ((AbstractServerConnection) exchange.getConnection()).getChannel();
		this.unused.remove(connection);
		this.limit.markBusy(connection);
		exchange.addResponseCommitListener(this::closeIfScarce);
		exchange.addExchangeCompleteListener((completed, next) -> {
			this.limit.markIdle(connection);
			next.proceed();
		});
	}

	/*
	 * A caller that is rejected returns on another connection.
	 */
	private void closeIfScarce(HttpServerExchange exchange) {
		if (exchange.getStatusCode() >= StatusCodes.BAD_REQUEST && this.limit.isScarce()
				&& !hasNextRequest(exchange.getConnection())) {
			announceClose(exchange);
		}
	}

	/**
	 * Announces in the response that has not been sent yet that its connection closes
	 * after it.
	 * @param exchange the exchange of the response
	 */
	public static void announceClose(HttpServerExchange exchange) {
		exchange.setPersistent(false);
		exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
	}

	/**
	 * Returns whether bytes of another request have been read. Its caller could not tell
	 * whether it has run if the connection were closed without a response to it.
	 * @param connection the connection
	 * @return whether another request has arrived
	 */
	public static boolean hasNextRequest(ServerConnection connection) {
		return connection instanceof AbstractServerConnection received && received.getExtraBytes() != null;
	}

	/**
	 * Returns the address that callers connect to.
	 * @return the address, never null
	 */
	public InetSocketAddress address() {
		return this.channel.getLocalAddress(InetSocketAddress.class);
	}

	/**
	 * Returns the number of connections that have been accepted and not been read.
	 * @return the number
	 */
	public int waiting() {
		return this.waiting.get();
	}

	/**
	 * Closes the connections on which no request has arrived, so that their callers use
	 * another process. Those that wait are read first.
	 */
	public void closeUnused() {
		this.closingUnused = true;
		this.unused.forEach((connection) -> connection.getIoThread().execute(() -> {
			if (this.unused.contains(connection)) {
				IoUtils.safeClose(connection);
			}
		}));
	}

	/**
	 * Stops accepting connections, after those in the backlog have been accepted.
	 */
	@Override
	public void close() {
		synchronized (this.acceptLock) {
			if (this.closed) {
				return;
			}
			this.closed = true;
			if (this.suspended) {
				resumeAccepts();
				this.channel.getWorker()
					.getIoThread()
					.executeAfter(() -> IoUtils.safeClose(this.channel), BACKLOG_MILLIS, TimeUnit.MILLISECONDS);
			}
			else {
				IoUtils.safeClose(this.channel);
			}
		}
	}

}
