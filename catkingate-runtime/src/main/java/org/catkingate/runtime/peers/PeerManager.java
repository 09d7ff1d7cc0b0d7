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
import org.catkingate.wire.Control;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.FrameTransport;
import org.catkingate.wire.Handshake;
import org.catkingate.wire.Message;

/**
 * Keeps the open links to other processes: makes and closes them as membership decides,
 * counts what is heard over them, and hands messages to those who wait for them. The
 * greetings, which are sent first over each link and again whenever they change, always
 * end with the newest. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class PeerManager implements PeerConnections, AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(PeerManager.class);

	private final FrameTransport transport;

	private final Handshake.PeerIdentity self;

	private final MonotonicClock clock;

	private final PeerListener traffic;

	private final ControlListener control;

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
		this.traffic = builder.traffic;
		this.control = builder.control;
		this.announcements = List.copyOf(builder.announcements);
		this.loads = builder.loads;
	}

	/**
	 * Starts to describe a manager.
	 * @param own the identity of this process
	 * @param clock the clock
	 * @return the builder, never null
	 */
	public static Builder builder(Handshake.PeerIdentity own, MonotonicClock clock) {
		return new Builder(own, clock);
	}

	/**
	 * Accepts links.
	 * @param address where to listen; port 0 for any free one
	 * @return the address that is listened on, never null
	 * @throws IOException if the address cannot be used
	 */
	public InetSocketAddress listen(InetSocketAddress address) throws IOException {
		return this.transport.listen(address, new TransportListener(null));
	}

	/**
	 * Makes a connection, without waiting for it.
	 * @param instance the instance to meet
	 * @param address where it listens
	 */
	public void open(InstanceId instance, InetSocketAddress address) {
		this.transport.connect(address, new TransportListener(instance), () -> this.control.dialFailed(instance));
	}

	/**
	 * Makes a connection only to learn who answers, outside of the links.
	 * @param address the address
	 * @param answering is told who has proved the shared key there, by an I/O thread
	 */
	public void identify(InetSocketAddress address, Consumer<Handshake.PeerIdentity> answering) {
		this.transport.connect(address, new IdentityProbe(answering), () -> {
		});
	}

	/**
	 * Gives a link up. The listeners are told, as of any other end.
	 * @param link the link's number
	 * @param reason why, for the log
	 */
	public void close(long link, String reason) {
		TrackedConnection open = this.byNumber.get(link);
		if (open != null) {
			open.connection().frames().close(reason);
		}
	}

	/**
	 * Sends a heartbeat over every link.
	 * @param sequence its sequence, higher than the last
	 */
	public void sendHeartbeats(long sequence) {
		this.heartbeats.recordSent(sequence, this.clock.millis());
		List<Integer> current = this.loads.get();
		this.byNumber.values().forEach((link) -> sendHeartbeat(link, sequence, current));
	}

	private static void sendHeartbeat(TrackedConnection link, long sequence, List<Integer> loads) {
		link.send(new Control.Heartbeat(sequence, link.connection().newestHeartbeat().get(), loads));
	}

	/**
	 * Tells how long ago this process sent a heartbeat.
	 * @param sequence its sequence
	 * @return the age in milliseconds; {@link Long#MAX_VALUE} if it was never sent, or
	 * too long ago to be remembered
	 */
	public long heartbeatAgeMillis(long sequence) {
		return this.heartbeats.ageMillis(sequence, this.clock.millis());
	}

	/**
	 * Sends a message over one link, if it is open.
	 * @param link the link's number
	 * @param message the message
	 */
	public void send(long link, Message message) {
		TrackedConnection open = this.byNumber.get(link);
		if (open != null) {
			open.send(message);
		}
	}

	/**
	 * Sends the present value of a greeting over every link.
	 * @param greeting gives the present value, or null for none
	 */
	public void sendCurrent(Supplier<? extends Message> greeting) {
		this.byNumber.values().forEach((link) -> link.sendCurrent(greeting));
	}

	/**
	 * Reports what has been heard since the last report.
	 * @return one entry for each link over which anything arrived
	 */
	public List<MembershipEvent.Heard> reportReceipts() {
		List<MembershipEvent.Heard> reports = new ArrayList<>();
		for (TrackedConnection link : this.byNumber.values()) {
			if (link.markReported()) {
				reports.add(link.report());
			}
		}
		return reports;
	}

	@Override
	public Optional<PeerConnection> to(InstanceId instance) {
		for (TrackedConnection link : this.byInstance.getOrDefault(instance, List.of())) {
			if (!link.connection().frames().isClosed()) {
				return Optional.of(link.connection());
			}
		}
		return Optional.empty();
	}

	private static List<TrackedConnection> newestFirst(List<TrackedConnection> links, List<TrackedConnection> added) {
		List<TrackedConnection> sorted = new ArrayList<>(links);
		sorted.addAll(added);
		sorted.sort(Comparator.comparingLong(TrackedConnection::number).reversed());
		return List.copyOf(sorted);
	}

	private static List<TrackedConnection> without(List<TrackedConnection> links, TrackedConnection removed) {
		List<TrackedConnection> rest = links.stream().filter((link) -> link != removed).toList();
		return rest.isEmpty() ? null : rest;
	}

	/**
	 * Counts what has been sent.
	 * @return the bytes of all frames sent over all links so far
	 */
	public long sentBytes() {
		return this.transport.sentBytes();
	}

	/**
	 * Closes all links and ends their threads.
	 */
	@Override
	public void close() {
		this.transport.close();
	}

	/**
	 * A connection that only tells who answers.
	 *
	 * @param onIdentity is told
	 */
	private record IdentityProbe(Consumer<Handshake.PeerIdentity> onIdentity) implements ConnectionListener {

		@Override
		public void opened(FrameConnection connection) {
			this.onIdentity.accept(connection.peer());
			connection.close("it was made to learn who answers");
		}

		@Override
		public void received(FrameConnection connection, Message message) {
		}

		@Override
		public void closed(FrameConnection connection, String reason) {
		}

	}

	/**
	 * What happens on one dialled connection, or on all accepted ones.
	 */
	private final class TransportListener implements ConnectionListener {

		private final InstanceId dialled;

		private TransportListener(InstanceId dialled) {
			this.dialled = dialled;
		}

		@Override
		public void opened(FrameConnection frames) {
			Handshake.PeerIdentity peer = frames.peer();
			if (this.dialled != null && !this.dialled.equals(peer.instance())) {
				PeerManager.this.control.dialFailed(this.dialled);
			}
			if (peer.incarnation() == PeerManager.this.self.incarnation()) {
				frames.close("this process has connected to itself");
				return;
			}
			long number = PeerManager.this.lastConnectionNumber.incrementAndGet();
			TrackedConnection link = new TrackedConnection(number, PeerConnection.of(frames),
					PeerManager.this.clock.millis());
			PeerManager.this.byConnection.put(frames, link);
			PeerManager.this.byNumber.put(number, link);
			PeerManager.this.byInstance.merge(peer.instance(), List.of(link), PeerManager::newestFirst);
			sendAnnouncements(link);
			PeerManager.this.control.opened(number, this.dialled != null, peer);
			PeerManager.this.traffic.opened(link.connection());
		}

		private void sendAnnouncements(TrackedConnection link) {
			PeerManager.this.announcements.forEach(link::sendCurrent);
			long newest = PeerManager.this.heartbeats.newest();
			if (newest > 0) {
				sendHeartbeat(link, newest, PeerManager.this.loads.get());
			}
		}

		@Override
		public void received(FrameConnection frames, Message message) {
			TrackedConnection link = PeerManager.this.byConnection.get(frames);
			if (link == null) {
				return;
			}
			long now = PeerManager.this.clock.millis();
			link.recordReceipt(now);
			if (message instanceof Control.Heartbeat heartbeat) {
				link.recordHeartbeat(heartbeat, now);
			}
			else if (message instanceof Control controlMessage) {
				PeerManager.this.control.received(link.number(), frames.peer(), controlMessage);
			}
			else {
				PeerManager.this.traffic.received(link.connection(), message);
			}
		}

		@Override
		public void closed(FrameConnection frames, String reason) {
			TrackedConnection link = PeerManager.this.byConnection.remove(frames);
			logger.atInfo()
				.addKeyValue("event", "peer-link-closed")
				.addKeyValue("peer", frames.toString())
				.addKeyValue("reason", reason)
				.log("a link to another process is closed");
			if (link != null) {
				PeerManager.this.byNumber.remove(link.number());
				PeerManager.this.byInstance.computeIfPresent(frames.peer().instance(),
						(instance, links) -> without(links, link));
				PeerManager.this.traffic.lost(link.connection());
				PeerManager.this.control.closed(link.number());
			}
			else if (this.dialled != null) {
				PeerManager.this.control.dialFailed(this.dialled);
			}
		}

		@Override
		public void drained(FrameConnection frames) {
			TrackedConnection link = PeerManager.this.byConnection.get(frames);
			if (link != null) {
				PeerManager.this.traffic.drained(link.connection());
			}
		}

	}

	/**
	 * Describes a manager. For use by one thread.
	 */
	public static final class Builder {

		private final Handshake.PeerIdentity self;

		private final MonotonicClock clock;

		private final List<Supplier<? extends Message>> announcements = new ArrayList<>();

		private PeerListener traffic;

		private ControlListener control;

		private Supplier<List<Integer>> loads = List::of;

		private Builder(Handshake.PeerIdentity own, MonotonicClock clock) {
			this.self = Objects.requireNonNull(own, "own must not be null");
			this.clock = Objects.requireNonNull(clock, "clock must not be null");
		}

		/**
		 * Sets who is told.
		 * @param forTraffic is told of connections and of messages that are not control
		 * @param forControl is told of links and of control messages
		 * @return this builder
		 */
		public Builder listeners(PeerListener forTraffic, ControlListener forControl) {
			this.traffic = Objects.requireNonNull(forTraffic, "forTraffic must not be null");
			this.control = Objects.requireNonNull(forControl, "forControl must not be null");
			return this;
		}

		/**
		 * Adds a message that is sent first over each link.
		 * @param greeting gives its present value, or null for none
		 * @return this builder
		 */
		public Builder announcement(Supplier<? extends Message> greeting) {
			this.announcements.add(greeting);
			return this;
		}

		/**
		 * Sets what heartbeats report.
		 * @param reported gives the load of each runner
		 * @return this builder
		 */
		public Builder loads(Supplier<List<Integer>> reported) {
			this.loads = Objects.requireNonNull(reported, "reported must not be null");
			return this;
		}

		/**
		 * Builds the manager, which closes the transport at its end.
		 * @param transport carries the connections
		 * @return the manager, never null
		 */
		public PeerManager build(FrameTransport transport) {
			Objects.requireNonNull(this.traffic, "listeners must be set");
			return new PeerManager(this, transport);
		}

	}

}
