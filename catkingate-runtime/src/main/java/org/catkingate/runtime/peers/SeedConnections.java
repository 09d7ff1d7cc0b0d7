package org.catkingate.runtime.peers;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

import org.catkingate.decisions.routing.Location;
import org.catkingate.wire.ConnectionListener;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.FrameTransport;
import org.catkingate.wire.Message;

/**
 * The connections to a few addresses, which may change. Opens a connection to each of
 * them and reconnects after a delay if it is lost. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class SeedConnections {

	private static final Logger logger = LoggerFactory.getLogger(SeedConnections.class);

	/**
	 * The minimum delay before reconnecting to an address, in milliseconds. The delay is
	 * random, up to twice this value.
	 */
	private static final long MIN_REDIAL_DELAY_MILLIS = 300;

	/** The timeout for a connection attempt, in milliseconds. */
	private static final long DIAL_TIMEOUT_MILLIS = 1500;

	private final Map<InetSocketAddress, FrameConnection> openConnections = new ConcurrentHashMap<>();

	private final FrameTransport transport;

	private final XnioIoThread thread;

	private final Location location;

	private final ConnectionListener listener;

	private final Set<InetSocketAddress> addresses = ConcurrentHashMap.newKeySet();

	/** The addresses to which a connection is open or will be opened again. */
	private final Set<InetSocketAddress> dialedAddresses = ConcurrentHashMap.newKeySet();

	private volatile boolean closed;

	private SeedConnections(FrameTransport transport, XnioIoThread thread, Location location,
			ConnectionListener listener) {
		this.transport = transport;
		this.thread = thread;
		this.location = location;
		this.listener = listener;
	}

	/**
	 * Starts to open the connections.
	 * @param transport the transport for the connections
	 * @param seeds the addresses
	 * @param thread the thread that runs delayed tasks
	 * @param location the location of this process
	 * @param listener the listener to the connections
	 * @return the seed connections, never null
	 */
	public static SeedConnections start(FrameTransport transport, List<InetSocketAddress> seeds, XnioIoThread thread,
			Location location, ConnectionListener listener) {
		Objects.requireNonNull(listener, "listener must not be null");
		SeedConnections connections = new SeedConnections(transport, thread, location, listener);
		connections.add(seeds);
		return connections;
	}

	private void add(Collection<InetSocketAddress> added) {
		this.addresses.addAll(added);
		added.forEach((address) -> {
			if (this.dialedAddresses.add(address)) {
				dial(address);
			}
		});
	}

	/**
	 * Replaces the addresses. Connections to those that are left out stay open until they
	 * are lost.
	 * @param replacements the addresses
	 */
	public void replaceAddresses(Collection<InetSocketAddress> replacements) {
		this.addresses.retainAll(replacements);
		add(replacements);
	}

	private void dial(InetSocketAddress seed) {
		if (this.closed || !this.addresses.contains(seed)) {
			this.dialedAddresses.remove(seed);
			return;
		}
		DialAttempt attempt = new DialAttempt(seed);
		this.thread.executeAfter(attempt::timeOut, DIAL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		this.transport.connect(seed, attempt, attempt::scheduleRedial);
	}

	/**
	 * Returns the open connections, the nearest first.
	 * @return the connections
	 */
	public List<FrameConnection> nearestFirst() {
		List<FrameConnection> connections = new ArrayList<>(this.openConnections.values());
		connections.sort(Comparator.comparing(
				(connection) -> this.location.distanceTo(connection.peer().dataCentre(), connection.peer().region())));
		return connections;
	}

	/**
	 * Sends a message over all open connections.
	 * @param message the message
	 */
	public void broadcast(Message message) {
		this.openConnections.values().forEach((connection) -> connection.send(message));
	}

	/**
	 * Stops opening connections. Those that are open stay open.
	 */
	public void close() {
		this.closed = true;
	}

	/**
	 * One attempt to connect and the connection that results from it.
	 */
	private final class DialAttempt implements ConnectionListener {

		private final InetSocketAddress seed;

		private FrameConnection connection;

		private boolean finished;

		private DialAttempt(InetSocketAddress seed) {
			this.seed = seed;
		}

		private synchronized void timeOut() {
			if (this.connection == null) {
				scheduleRedial();
			}
		}

		private synchronized void scheduleRedial() {
			if (!this.finished) {
				this.finished = true;
				long delayMillis = MIN_REDIAL_DELAY_MILLIS
						+ ThreadLocalRandom.current().nextLong(MIN_REDIAL_DELAY_MILLIS);
				SeedConnections.this.thread.executeAfter(() -> dial(this.seed), delayMillis, TimeUnit.MILLISECONDS);
			}
		}

		@Override
		public synchronized void onOpened(FrameConnection opened) {
			if (this.finished) {
				opened.close("the connection attempt had already timed out and was repeated");
				return;
			}
			this.connection = opened;
			SeedConnections.this.openConnections.put(this.seed, opened);
			logger.atInfo()
				.addKeyValue("event", "link-opened")
				.addKeyValue("address", this.seed)
				.addKeyValue("peer", opened.peer().instance())
				.log("opened a connection to another process");
			SeedConnections.this.listener.onOpened(opened);
		}

		@Override
		public void onReceived(FrameConnection from, Message message) {
			SeedConnections.this.listener.onReceived(from, message);
		}

		@Override
		public synchronized void onClosed(FrameConnection lost, String reason) {
			if (this.connection != null) {
				SeedConnections.this.openConnections.remove(this.seed, lost);
				logger.atInfo()
					.addKeyValue("event", "link-lost")
					.addKeyValue("address", this.seed)
					.addKeyValue("reason", reason)
					.log("lost the connection to another process");
				SeedConnections.this.listener.onClosed(lost, reason);
			}
			scheduleRedial();
		}

	}

}
