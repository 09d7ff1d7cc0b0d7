package org.catkingate.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import org.xnio.Options;
import org.xnio.XnioIoThread;

import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.decisions.routing.Location;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerConnections;
import org.catkingate.runtime.peers.PeerListener;
import org.catkingate.wire.Keys;
import org.catkingate.wire.Message;
import org.catkingate.wire.Traffic;

/**
 * All callers' requests at an entry. It is given the peers' traffic messages as a
 * {@link PeerListener}. Each request gets one answer or one failure, or its connection is
 * cut; none is sent to two runners unless the first certainly did not run it or a second
 * run does no harm. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class EntryRequests implements PeerListener, AutoCloseable {

	private static final int MAX_HEADERS = 100;

	private final Map<XnioIoThread, IoThreadInbox> inboxes = new ConcurrentHashMap<>();

	private final EntryContext context;

	private final IdempotencyKeyEndpoint keyEndpoint;

	private volatile Undertow server;

	private volatile boolean shutdownAnnounced;

	private volatile boolean rejectingRequests;

	private EntryRequests(EntryContext support) {
		this.context = support;
		this.keyEndpoint = new IdempotencyKeyEndpoint(support);
	}

	/**
	 * Starts to serve callers.
	 * @param settings the limits and the address
	 * @param own where the process is
	 * @param fleet the configuration in force and the agents known
	 * @param connections the open connections to agents
	 * @param entries how many entries serve, between which client accounts' limits are
	 * shared
	 * @param policies the ways to decide
	 * @param clock the clock
	 * @return the requests, never null
	 * @throws IOException if the address cannot be used
	 */
	public static EntryRequests start(EntrySettings settings, Location own, Supplier<FleetSnapshot> fleet,
			PeerConnections connections, IntSupplier entries, EntryPolicies policies, MonotonicClock clock)
			throws IOException {
		EntryContext support = new EntryContext(fleet, connections, policies, new AccountLimits(entries, clock), own,
				clock, settings.attachPatienceMillis());
		EntryRequests requests = new EntryRequests(support);
		requests.server = server(settings,
				new AdmissionHandler(support, requests.keyEndpoint, settings, () -> requests.rejectingRequests));
		try {
			requests.server.start();
		}
		catch (RuntimeException ex) {
			throw new IOException("cannot listen on " + settings.listen() + "; choose another [callers] listen", ex);
		}
		requests.server.getWorker()
			.getIoThread()
			.executeAtInterval(support::checkForPause, EntryContext.PAUSE_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		return requests;
	}

	private static Undertow server(EntrySettings settings, AdmissionHandler handler) {
		return Undertow.builder()
			.addHttpListener(settings.listen().getPort(), settings.listen().getAddress().getHostAddress())
			.setIoThreads(settings.ioThreads())
			.setWorkerThreads(1)
			.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) settings.maximumBodyBytes())
			.setServerOption(UndertowOptions.MAX_HEADER_SIZE, settings.maximumHeaderBytes())
			.setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
			.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, settings.headTimeoutMillis())
			.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, settings.idleTimeoutMillis())
			.setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
			.setSocketOption(Options.TCP_NODELAY, true)
			.setSocketOption(Options.REUSE_ADDRESSES, true)
			.setSocketOption(Options.CONNECTION_HIGH_WATER, settings.maximumConnections())
			.setSocketOption(Options.CONNECTION_LOW_WATER, settings.maximumConnections())
			.setHandler(handler)
			.build();
	}

	/**
	 * Returns where callers connect.
	 * @return the address, never null
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.server.getListenerInfo().get(0).getAddress();
	}

	@Override
	public void received(PeerConnection connection, Message message) {
		if (message instanceof Traffic traffic) {
			ActiveRequest call = this.context.findByAttemptId(traffic.request());
			if (call != null) {
				inbox(call).deliver(call, connection, traffic);
			}
		}
		else if (message instanceof Keys.IssuedKey issued) {
			this.keyEndpoint.complete(issued);
		}
	}

	private IoThreadInbox inbox(ActiveRequest call) {
		XnioIoThread thread = call.exchange().getIoThread();
		IoThreadInbox inbox = this.inboxes.get(thread);
		return (inbox != null) ? inbox : this.inboxes.computeIfAbsent(thread, IoThreadInbox::new);
	}

	@Override
	public void opened(PeerConnection connection) {
		runOnRequestThreads((call) -> call.handleNewConnection(connection));
	}

	@Override
	public void lost(PeerConnection connection) {
		runOnRequestThreads((call) -> call.handleConnectionLoss(connection));
	}

	private void runOnRequestThreads(Consumer<ActiveRequest> action) {
		for (ActiveRequest call : this.context.activeRequests()) {
			call.exchange().getIoThread().execute(() -> action.accept(call));
		}
	}

	@Override
	public void drained(PeerConnection connection) {
	}

	/**
	 * Makes {@link #isReady()} false, so that the balancer's health check turns before
	 * anything is refused.
	 */
	public void announceShutdown() {
		this.shutdownAnnounced = true;
	}

	/**
	 * Refuses new requests from now on. Those in progress go on.
	 */
	public void takeNoMore() {
		this.shutdownAnnounced = true;
		this.rejectingRequests = true;
	}

	/**
	 * Tells what the balancer's health check is to be told.
	 * @return whether new requests are welcome
	 */
	public boolean isReady() {
		return !this.shutdownAnnounced;
	}

	/**
	 * Counts the requests in progress.
	 * @return how many hold up a graceful shutdown
	 */
	public long inProgress() {
		EntryCounts counts = this.context.counts();
		return counts.started().sum() - counts.finished().sum();
	}

	/**
	 * Returns what has become of requests.
	 * @return the counts, which go on
	 */
	public EntryCounts counts() {
		return this.context.counts();
	}

	/**
	 * Closes all callers' connections and ends the threads.
	 */
	@Override
	public void close() {
		this.server.stop();
	}

}
