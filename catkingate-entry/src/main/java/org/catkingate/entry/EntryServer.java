package org.catkingate.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.decisions.routing.Location;
import org.catkingate.decisions.shutdown.ShutdownSchedule;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.http.CallerConnectionLimit;
import org.catkingate.runtime.http.CallerServer;
import org.catkingate.runtime.http.IoThreads;
import org.catkingate.runtime.http.RequestBodies;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerConnections;
import org.catkingate.runtime.peers.PeerListener;
import org.catkingate.runtime.process.OpenFileLimit;
import org.catkingate.wire.IdempotencyKeyMessage;
import org.catkingate.wire.Message;
import org.catkingate.wire.RequestMessage;

/**
 * The HTTP server of an entry, which handles callers' requests. It receives the agents'
 * messages as a {@link PeerListener}. Each request gets one response or one failure, or
 * its connection is closed. A request is sent to a second runner only if the first one
 * certainly did not run it or if it may safely run more than once. Safe for use by any
 * thread.
 *
 * @since 0.1
 */
public final class EntryServer implements PeerListener, AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int MAX_HEADERS = 100;

	private final Map<XnioIoThread, IoThreadInbox> inboxes = new ConcurrentHashMap<>();

	private final RequestDispatcher dispatcher;

	private final IdempotencyKeyEndpoint keyEndpoint;

	private final XnioWorker worker;

	private final CallerConnectionLimit connectionLimit;

	private final CallerServer server;

	private volatile Optional<ShutdownSchedule> shutdown = Optional.empty();

	private volatile boolean shutdownAnnounced;

	private volatile boolean rejectingRequests;

	private volatile boolean requestsEnded;

	private EntryServer(EntrySettings settings, RequestDispatcher dispatcher, MonotonicClock clock) throws IOException {
		this.dispatcher = dispatcher;
		this.keyEndpoint = new IdempotencyKeyEndpoint(dispatcher);
		this.worker = IoThreads.start("callers", settings.ioThreads());
		this.connectionLimit = new CallerConnectionLimit(Math.min(settings.maxConnections(),
				CallerConnectionLimit.limitFor(OpenFileLimit.read(), Runtime.getRuntime().maxMemory())));
		try {
			this.server = CallerServer.bind(settings.listen(), this.worker,
					new DefaultByteBufferPool(true, BUFFER_BYTES), options(settings), (connection) -> {
					}, this.connectionLimit, clock);
		}
		catch (IOException ex) {
			this.worker.shutdownNow();
			throw new IOException("cannot listen on " + settings.listen() + "; choose another [callers] listen", ex);
		}
	}

	/**
	 * Starts the server.
	 * @param settings the limits and the address
	 * @param location the location of the process
	 * @param fleet returns the configuration in force and the known agents
	 * @param connections the open connections to agents
	 * @param entryCount returns the number of entries that share the limits of client
	 * accounts
	 * @param policies the policies for routing and retries
	 * @param clock the clock
	 * @return the running server, never null
	 * @throws IOException if the address cannot be used
	 */
	public static EntryServer start(EntrySettings settings, Location location, Supplier<FleetSnapshot> fleet,
			PeerConnections connections, IntSupplier entryCount, EntryPolicies policies, MonotonicClock clock)
			throws IOException {
		RequestDispatcher dispatcher = new RequestDispatcher(fleet, connections, policies,
				new AccountLimits(entryCount, clock), location, clock, settings.reattachTimeoutMillis());
		EntryServer entryServer = new EntryServer(settings, dispatcher, clock);
		entryServer.server.startAccepting(new AdmissionHandler(dispatcher, entryServer.keyEndpoint, settings,
				new RequestBodies(settings.maxTotalBodyBytes(), Runtime.getRuntime().maxMemory()),
				() -> entryServer.rejectingRequests, entryServer::allowsSending));
		entryServer.worker.getIoThread()
			.executeAtInterval(dispatcher::checkForPause, RequestDispatcher.PAUSE_CHECK_INTERVAL_MILLIS,
					TimeUnit.MILLISECONDS);
		return entryServer;
	}

	private static OptionMap options(EntrySettings settings) {
		return OptionMap.builder()
			.set(UndertowOptions.MAX_ENTITY_SIZE, (long) settings.maxBodyBytes())
			.set(UndertowOptions.MAX_HEADER_SIZE, settings.maxHeaderBytes())
			.set(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
			.set(UndertowOptions.REQUEST_PARSE_TIMEOUT, settings.headTimeoutMillis())
			.set(UndertowOptions.NO_REQUEST_TIMEOUT, settings.idleTimeoutMillis())
			.set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
			.set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
			.getMap();
	}

	/**
	 * Returns the address that callers connect to.
	 * @return the address, never null
	 */
	public InetSocketAddress address() {
		return this.server.address();
	}

	@Override
	public void onReceived(PeerConnection connection, Message message) {
		if (message instanceof RequestMessage requestMessage) {
			ActiveRequest request = this.dispatcher.findByAttemptId(requestMessage.request());
			if (request != null) {
				inboxOf(request).deliver(request, connection, requestMessage);
			}
		}
		else if (message instanceof IdempotencyKeyMessage.IssueKeyResponse issued) {
			this.keyEndpoint.complete(issued);
		}
	}

	private IoThreadInbox inboxOf(ActiveRequest request) {
		XnioIoThread thread = request.exchange().getIoThread();
		IoThreadInbox inbox = this.inboxes.get(thread);
		return (inbox != null) ? inbox : this.inboxes.computeIfAbsent(thread, IoThreadInbox::new);
	}

	@Override
	public void onOpened(PeerConnection connection) {
		runOnRequestThreads((request) -> request.handleNewConnection(connection));
	}

	@Override
	public void onClosed(PeerConnection connection) {
		runOnRequestThreads((request) -> request.handleConnectionLoss(connection));
	}

	private void runOnRequestThreads(Consumer<ActiveRequest> action) {
		for (ActiveRequest request : this.dispatcher.activeRequests()) {
			request.exchange().getIoThread().execute(() -> action.accept(request));
		}
	}

	@Override
	public void onSendQueueEmptied(PeerConnection connection) {
	}

	/**
	 * Makes {@link #isReady()} return false, so that the load balancer's health check
	 * fails before requests are rejected.
	 * @param schedule the schedule of the shutdown
	 */
	public void announceShutdown(ShutdownSchedule schedule) {
		this.shutdown = Optional.of(schedule);
		this.shutdownAnnounced = true;
	}

	/**
	 * Rejects new requests from now on. Requests in progress continue.
	 */
	public void rejectNewRequests() {
		this.shutdownAnnounced = true;
		this.rejectingRequests = true;
	}

	/**
	 * Ends the requests in progress with a failure, or breaks off responses that have
	 * started. Requests whose bodies arrive from now on are rejected.
	 */
	public void endRequests() {
		this.requestsEnded = true;
		for (ActiveRequest request : this.dispatcher.requestsInProgress()) {
			request.exchange().getIoThread().execute(request::handleShutdown);
		}
	}

	/*
	 * The duration of a request is not known here. In the notice period one may be sent
	 * whose deadline lies behind the end of the process.
	 */
	private boolean allowsSending(long deadlineMillis) {
		return !this.requestsEnded
				&& this.shutdown.map((schedule) -> schedule.allows(deadlineMillis, 0, this.dispatcher.nowMillis()))
					.orElse(true);
	}

	/**
	 * Returns whether the load balancer's health check should succeed.
	 * @return whether no shutdown has been announced
	 */
	public boolean isReady() {
		return !this.shutdownAnnounced;
	}

	/**
	 * Returns the number of requests in progress, for which a graceful shutdown waits.
	 * @return the number of requests that have started and not finished
	 */
	public long requestsInProgress() {
		RequestCounters counters = this.dispatcher.counters();
		return counters.started().sum() - counters.finished().sum();
	}

	/**
	 * Returns the connections of callers.
	 * @return the connections, which keep changing
	 */
	CallerConnectionLimit connections() {
		return this.connectionLimit;
	}

	/**
	 * Returns the counters of requests and their outcomes.
	 * @return the counters, which keep changing
	 */
	public RequestCounters counters() {
		return this.dispatcher.counters();
	}

	/**
	 * Closes all callers' connections and stops the server's threads.
	 */
	@Override
	public void close() {
		this.server.close();
		this.worker.shutdownNow();
	}

}
