package org.catkingate.runtime.peers;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.membership.MembershipEvent;
import org.catkingate.model.InstanceId;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.wire.ConnectionListener;
import org.catkingate.wire.ControlMessage;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.FrameTransport;
import org.catkingate.wire.HandshakeMessage;
import org.catkingate.wire.Message;

/**
 * Opens and closes the connections to other processes as the membership logic decides,
 * sends heartbeats, records when something was received and passes messages to listeners.
 * Announcements are sent first over each new connection and again whenever they change;
 * the value that is sent last is always the newest. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class PeerManager implements PeerConnections, AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(PeerManager.class);

	private final FrameTransport transport;

	private final HandshakeMessage.PeerIdentity self;

	private final MonotonicClock clock;

	private final PeerListener peerListener;

	private final ControlListener controlListener;

	private final List<Supplier<? extends Message>> announcements;

	private final Supplier<List<Integer>> loads;

	private final HeartbeatTimes heartbeats = new HeartbeatTimes();

	private final AtomicLong lastConnectionNumber = new AtomicLong();

	private final Map<FrameConnection, TrackedConnection> byConnection = new ConcurrentHashMap<>();

	private final ConcurrentSkipListMap<Long, TrackedConnection> byNumber = new ConcurrentSkipListMap<>();

	private final Map<InstanceId, List<TrackedConnection>> byInstance = new ConcurrentHashMap<>();

	private PeerManager(Builder builder, FrameTransport transport) {
		this.transport = transport;
		this.self = builder.self;
		this.clock = builder.clock;
		this.peerListener = builder.peerListener;
		this.controlListener = builder.controlListener;
		this.announcements = List.copyOf(builder.announcements);
		this.loads = builder.loads;
	}

	/**
	 * Creates a builder.
	 * @param self the identity of this process
	 * @param clock the clock
	 * @return the builder, never null
	 */
	public static Builder builder(HandshakeMessage.PeerIdentity self, MonotonicClock clock) {
		return new Builder(self, clock);
	}

	/**
	 * Starts to accept connections.
	 * @param address the address to listen on; port 0 for any free one
	 * @return the address that is used, never null
	 * @throws IOException if the address cannot be used
	 */
	public InetSocketAddress listen(InetSocketAddress address) throws IOException {
		return this.transport.listen(address, new TransportListener(null));
	}

	/**
	 * Opens a connection, without waiting for it.
	 * @param instance the instance to connect to
	 * @param address the address that it listens on
	 */
	public void open(InstanceId instance, InetSocketAddress address) {
		this.transport.connect(address, new TransportListener(instance),
				() -> this.controlListener.onDialFailed(instance));
	}

	/**
	 * Opens a temporary connection to find out which process listens on an address. The
	 * listeners are not notified of it.
	 * @param address the address
	 * @param onIdentity receives the identity of the process that has proved the shared
	 * key there, on an I/O thread
	 */
	public void identify(InetSocketAddress address, Consumer<HandshakeMessage.PeerIdentity> onIdentity) {
		this.transport.connect(address, new IdentityProbe(onIdentity), () -> {
		});
	}

	/**
	 * Closes a connection. The listeners are notified as for any other closed connection.
	 * @param number the number of the connection
	 * @param reason the reason, for the log
	 */
	public void close(long number, String reason) {
		TrackedConnection connection = this.byNumber.get(number);
		if (connection != null) {
			connection.peerConnection().frameConnection().close(reason);
		}
	}

	/**
	 * Sends a heartbeat over every connection.
	 * @param sequence its sequence number, higher than the previous one
	 */
	public void sendHeartbeats(long sequence) {
		this.heartbeats.recordSent(sequence, this.clock.millis());
		List<Integer> current = this.loads.get();
		this.byNumber.values().forEach((connection) -> sendHeartbeat(connection, sequence, current));
	}

	private static void sendHeartbeat(TrackedConnection connection, long sequence, List<Integer> loads) {
		connection
			.send(new ControlMessage.Heartbeat(sequence, connection.peerConnection().newestHeartbeat().get(), loads));
	}

	/**
	 * Returns how long ago this process sent a heartbeat.
	 * @param sequence the sequence number of the heartbeat
	 * @return the age in milliseconds; {@link Long#MAX_VALUE} if it was never sent or its
	 * time is no longer kept
	 */
	public long heartbeatAgeMillis(long sequence) {
		return this.heartbeats.ageMillis(sequence, this.clock.millis());
	}

	/**
	 * Sends a message over one connection, if that is open.
	 * @param number the number of the connection
	 * @param message the message
	 */
	public void send(long number, Message message) {
		TrackedConnection connection = this.byNumber.get(number);
		if (connection != null) {
			connection.send(message);
		}
	}

	/**
	 * Sends the current value of an announcement over every connection.
	 * @param announcement supplies the current value, or null for none
	 */
	public void sendCurrent(Supplier<? extends Message> announcement) {
		this.byNumber.values().forEach((connection) -> connection.sendCurrent(announcement));
	}

	/**
	 * Reports on the connections over which something was received since the previous
	 * report.
	 * @return one entry for each of these connections
	 */
	public List<MembershipEvent.ConnectionActivity> reportReceipts() {
		List<MembershipEvent.ConnectionActivity> reports = new ArrayList<>();
		for (TrackedConnection connection : this.byNumber.values()) {
			if (connection.markReported()) {
				reports.add(connection.report());
			}
		}
		return reports;
	}

	@Override
	public Optional<PeerConnection> to(InstanceId instance) {
		for (TrackedConnection connection : this.byInstance.getOrDefault(instance, List.of())) {
			if (!connection.peerConnection().frameConnection().isClosed()) {
				return Optional.of(connection.peerConnection());
			}
		}
		return Optional.empty();
	}

	private static List<TrackedConnection> newestFirst(List<TrackedConnection> connections,
			List<TrackedConnection> added) {
		List<TrackedConnection> sorted = new ArrayList<>(connections);
		sorted.addAll(added);
		sorted.sort(Comparator.comparingLong(TrackedConnection::number).reversed());
		return List.copyOf(sorted);
	}

	private static List<TrackedConnection> without(List<TrackedConnection> connections, TrackedConnection removed) {
		List<TrackedConnection> rest = connections.stream().filter((connection) -> connection != removed).toList();
		return rest.isEmpty() ? null : rest;
	}

	/**
	 * Returns the number of bytes sent.
	 * @return the bytes of all frames sent over all connections so far
	 */
	public long sentBytes() {
		return this.transport.sentBytes();
	}

	/**
	 * Closes all connections and stops their threads.
	 */
	@Override
	public void close() {
		this.transport.close();
	}

	/**
	 * The listener on a temporary connection that determines the identity of the peer.
	 *
	 * @param onIdentity receives the identity
	 */
	private record IdentityProbe(Consumer<HandshakeMessage.PeerIdentity> onIdentity) implements ConnectionListener {

		@Override
		public void onOpened(FrameConnection connection) {
			this.onIdentity.accept(connection.peer());
			connection.close("the connection was only opened to determine the identity of the peer");
		}

		@Override
		public void onReceived(FrameConnection connection, Message message) {
		}

		@Override
		public void onClosed(FrameConnection connection, String reason) {
		}

	}

	/**
	 * The listener on one outgoing connection, or on all accepted ones.
	 */
	private final class TransportListener implements ConnectionListener {

		private final InstanceId dialled;

		private TransportListener(InstanceId dialled) {
			this.dialled = dialled;
		}

		@Override
		public void onOpened(FrameConnection frameConnection) {
			HandshakeMessage.PeerIdentity peer = frameConnection.peer();
			if (this.dialled != null && !this.dialled.equals(peer.instance())) {
				PeerManager.this.controlListener.onDialFailed(this.dialled);
			}
			if (peer.incarnation() == PeerManager.this.self.incarnation()) {
				frameConnection.close("this process has connected to itself");
				return;
			}
			long number = PeerManager.this.lastConnectionNumber.incrementAndGet();
			TrackedConnection connection = new TrackedConnection(number, PeerConnection.of(frameConnection),
					PeerManager.this.clock.millis());
			PeerManager.this.byConnection.put(frameConnection, connection);
			PeerManager.this.byNumber.put(number, connection);
			PeerManager.this.byInstance.merge(peer.instance(), List.of(connection), PeerManager::newestFirst);
			sendAnnouncements(connection);
			PeerManager.this.controlListener.onOpened(number, this.dialled != null, peer);
			PeerManager.this.peerListener.onOpened(connection.peerConnection());
		}

		private void sendAnnouncements(TrackedConnection connection) {
			PeerManager.this.announcements.forEach(connection::sendCurrent);
			long newest = PeerManager.this.heartbeats.newest();
			if (newest > 0) {
				sendHeartbeat(connection, newest, PeerManager.this.loads.get());
			}
		}

		@Override
		public void onReceived(FrameConnection frameConnection, Message message) {
			TrackedConnection connection = PeerManager.this.byConnection.get(frameConnection);
			if (connection == null) {
				return;
			}
			long now = PeerManager.this.clock.millis();
			connection.recordReceipt(now);
			if (message instanceof ControlMessage.Heartbeat heartbeat) {
				connection.recordHeartbeat(heartbeat, now);
			}
			else if (message instanceof ControlMessage controlMessage) {
				PeerManager.this.controlListener.onReceived(connection.number(), frameConnection.peer(),
						controlMessage);
			}
			else {
				PeerManager.this.peerListener.onReceived(connection.peerConnection(), message);
			}
		}

		@Override
		public void onClosed(FrameConnection frameConnection, String reason) {
			TrackedConnection connection = PeerManager.this.byConnection.remove(frameConnection);
			logger.atInfo()
				.addKeyValue("event", "peer-link-closed")
				.addKeyValue("peer", frameConnection.toString())
				.addKeyValue("reason", reason)
				.log("a connection to another process was closed");
			if (connection != null) {
				PeerManager.this.byNumber.remove(connection.number());
				PeerManager.this.byInstance.computeIfPresent(frameConnection.peer().instance(),
						(instance, connections) -> without(connections, connection));
				PeerManager.this.peerListener.onClosed(connection.peerConnection());
				PeerManager.this.controlListener.onClosed(connection.number());
			}
			else if (this.dialled != null) {
				PeerManager.this.controlListener.onDialFailed(this.dialled);
			}
		}

		@Override
		public void onSendQueueEmptied(FrameConnection frameConnection) {
			TrackedConnection connection = PeerManager.this.byConnection.get(frameConnection);
			if (connection != null) {
				PeerManager.this.peerListener.onSendQueueEmptied(connection.peerConnection());
			}
		}

	}

	/**
	 * A builder of managers. For use by one thread.
	 */
	public static final class Builder {

		private final HandshakeMessage.PeerIdentity self;

		private final MonotonicClock clock;

		private final List<Supplier<? extends Message>> announcements = new ArrayList<>();

		private PeerListener peerListener;

		private ControlListener controlListener;

		private Supplier<List<Integer>> loads = List::of;

		private Builder(HandshakeMessage.PeerIdentity self, MonotonicClock clock) {
			this.self = Objects.requireNonNull(self, "self must not be null");
			this.clock = Objects.requireNonNull(clock, "clock must not be null");
		}

		/**
		 * Sets the listeners.
		 * @param forMessages the listener to connections and to messages other than
		 * control messages
		 * @param forControl the listener to connections and to control messages
		 * @return this builder
		 */
		public Builder listeners(PeerListener forMessages, ControlListener forControl) {
			this.peerListener = Objects.requireNonNull(forMessages, "forMessages must not be null");
			this.controlListener = Objects.requireNonNull(forControl, "forControl must not be null");
			return this;
		}

		/**
		 * Adds an announcement, a message that is sent first over each connection.
		 * @param announcement supplies its current value, or null for none
		 * @return this builder
		 */
		public Builder announcement(Supplier<? extends Message> announcement) {
			this.announcements.add(announcement);
			return this;
		}

		/**
		 * Sets the loads that heartbeats report.
		 * @param reported supplies the load of each runner
		 * @return this builder
		 */
		public Builder loads(Supplier<List<Integer>> reported) {
			this.loads = Objects.requireNonNull(reported, "reported must not be null");
			return this;
		}

		/**
		 * Builds the manager, which closes the transport when it is closed.
		 * @param transport the transport for the connections
		 * @return the manager, never null
		 */
		public PeerManager build(FrameTransport transport) {
			Objects.requireNonNull(this.peerListener, "the listeners must be set");
			return new PeerManager(this, transport);
		}

	}

}
