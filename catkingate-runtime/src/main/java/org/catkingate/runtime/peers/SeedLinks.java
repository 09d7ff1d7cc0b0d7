package org.catkingate.runtime.peers;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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
 * Keeps a connection to each of a few known addresses, and dials again after a pause when
 * one is lost. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class SeedLinks {

	private static final Logger logger = LoggerFactory.getLogger(SeedLinks.class);

	/** The shortest pause before an address is dialled again, in milliseconds. */
	private static final long MIN_REDIAL_DELAY_MILLIS = 300;

	/** After how long a dial without an outcome is given up, in milliseconds. */
	private static final long DIAL_TIMEOUT_MILLIS = 1500;

	private final Map<InetSocketAddress, FrameConnection> open = new ConcurrentHashMap<>();

	private final FrameTransport transport;

	private final XnioIoThread thread;

	private final Location location;

	private final ConnectionListener listener;

	private volatile boolean closed;

	private SeedLinks(FrameTransport transport, XnioIoThread thread, Location own, ConnectionListener listener) {
		this.transport = transport;
		this.thread = thread;
		this.location = own;
		this.listener = listener;
	}

	/**
	 * Starts to dial.
	 * @param transport makes the connections
	 * @param seeds the addresses
	 * @param thread carries out pauses
	 * @param own where this process is
	 * @param listener is told what happens on the connections
	 * @return the links, never null
	 */
	public static SeedLinks start(FrameTransport transport, List<InetSocketAddress> seeds, XnioIoThread thread,
			Location own, ConnectionListener listener) {
		Objects.requireNonNull(listener, "listener must not be null");
		SeedLinks links = new SeedLinks(transport, thread, own, listener);
		seeds.forEach(links::dial);
		return links;
	}

	private void dial(InetSocketAddress seed) {
		if (this.closed) {
			return;
		}
		Dial dial = new Dial(seed);
		this.thread.executeAfter(dial::timeOut, DIAL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		this.transport.connect(seed, dial, dial::scheduleRedial);
	}

	/**
	 * Lists the open connections, the nearest first.
	 * @return the connections
	 */
	public List<FrameConnection> nearestFirst() {
		List<FrameConnection> links = new ArrayList<>(this.open.values());
		links.sort(Comparator.comparing((link) -> this.location.to(link.peer().dataCentre(), link.peer().region())));
		return links;
	}

	/**
	 * Sends a message over all open connections.
	 * @param message the message
	 */
	public void broadcast(Message message) {
		this.open.values().forEach((link) -> link.send(message));
	}

	/**
	 * Dials no more.
	 */
	public void close() {
		this.closed = true;
	}

	/**
	 * One dial and the connection that comes of it.
	 */
	private final class Dial implements ConnectionListener {

		private final InetSocketAddress seed;

		private FrameConnection connection;

		private boolean finished;

		private Dial(InetSocketAddress seed) {
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
				long pause = MIN_REDIAL_DELAY_MILLIS + ThreadLocalRandom.current().nextLong(MIN_REDIAL_DELAY_MILLIS);
				SeedLinks.this.thread.executeAfter(() -> dial(this.seed), pause, TimeUnit.MILLISECONDS);
			}
		}

		@Override
		public synchronized void opened(FrameConnection opened) {
			if (this.finished) {
				opened.close("dialled again meanwhile");
				return;
			}
			this.connection = opened;
			SeedLinks.this.open.put(this.seed, opened);
			logger.atInfo()
				.addKeyValue("event", "link-opened")
				.addKeyValue("address", this.seed)
				.addKeyValue("peer", opened.peer().instance())
				.log("a connection to another process is open");
			SeedLinks.this.listener.opened(opened);
		}

		@Override
		public void received(FrameConnection from, Message message) {
			SeedLinks.this.listener.received(from, message);
		}

		@Override
		public synchronized void closed(FrameConnection lost, String reason) {
			if (this.connection != null) {
				SeedLinks.this.open.remove(this.seed, lost);
				logger.atInfo()
					.addKeyValue("event", "link-lost")
					.addKeyValue("address", this.seed)
					.addKeyValue("reason", reason)
					.log("a connection to another process is lost");
				SeedLinks.this.listener.closed(lost, reason);
			}
			scheduleRedial();
		}

	}

}
