package org.catkingate.runtime.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Event;
import org.catkingate.decisions.configuration.ConfigurationEffect;
import org.catkingate.decisions.fleet.FleetReducer;
import org.catkingate.decisions.fleet.FleetState;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.decisions.membership.MembershipEffect;
import org.catkingate.decisions.membership.MembershipEvent;
import org.catkingate.decisions.membership.MembershipTimes;
import org.catkingate.decisions.membership.ProcessIdentity;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.InstanceId;
import org.catkingate.model.Role;
import org.catkingate.model.RunnerStatus;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.runtime.ControlLoop;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerConnections;
import org.catkingate.runtime.peers.PeerListener;
import org.catkingate.runtime.peers.PeerManager;
import org.catkingate.runtime.platform.PlatformClient;
import org.catkingate.runtime.process.ProcessIdentities;
import org.catkingate.wire.ControlMessage;
import org.catkingate.wire.FrameTransport;
import org.catkingate.wire.HandshakeMessage;

/**
 * The process's view of the fleet, which one control thread keeps up to date: it follows
 * the platform and the peers, and publishes immutable snapshots. Safe for use by any
 * thread.
 *
 * @since 0.1
 */
public final class Fleet implements PeerConnections, AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(Fleet.class);

	private final FleetSettings settings;

	private final MonotonicClock clock;

	private final CountDownLatch started = new CountDownLatch(1);

	private final List<Consumer<FleetSnapshot>> snapshotListeners = new CopyOnWriteArrayList<>();

	private final List<InstanceListListener> instanceListListeners = new CopyOnWriteArrayList<>();

	private long listRequestedAtMillis;

	private volatile Set<InstanceId> extraContactsAtStart = Set.of();

	private volatile PeerManager peers;

	private volatile PlatformClient platform;

	private volatile ControlLoop<FleetState> loop;

	private volatile InetSocketAddress address;

	private volatile FleetSnapshot snapshot = FleetSnapshot.empty();

	private volatile ConfigurationVersion version = ConfigurationVersion.none();

	private volatile ControlMessage.AgentStatus status;

	private volatile Supplier<List<Integer>> loads = List::of;

	private Fleet(FleetSettings settings, MonotonicClock clock) {
		this.settings = settings;
		this.clock = clock;
		ProcessIdentity self = settings.self();
		this.status = (self.role() == Role.AGENT) ? new ControlMessage.AgentStatus(false, self.labels(), List.of())
				: null;
	}

	/**
	 * Creates a fleet with an empty snapshot, which does nothing until {@link #start} is
	 * called.
	 * @param settings the settings
	 * @param clock the clock
	 * @return the fleet, never null
	 */
	public static Fleet create(FleetSettings settings, MonotonicClock clock) {
		Objects.requireNonNull(settings, "settings must not be null");
		Objects.requireNonNull(clock, "clock must not be null");
		return new Fleet(settings, clock);
	}

	/**
	 * Starts to follow the platform and the peers.
	 * @param listener the listener to connections and to messages other than control
	 * messages
	 * @throws IOException if an address cannot be used or threads cannot be started
	 */
	public void start(PeerListener listener) throws IOException {
		ProcessIdentity self = this.settings.self();
		HandshakeMessage.PeerIdentity peerIdentity = ProcessIdentities.toPeerIdentity(self);
		this.platform = PlatformClient.create(this.settings.configuration(), this.settings.instances());
		this.peers = PeerManager.builder(peerIdentity, this.clock)
			.listeners(listener, new ControlEventSource(self, this::submit))
			.announcement(this::status)
			.announcement(this::announcement)
			.loads(() -> this.loads.get())
			.build(FrameTransport.create(this.settings.ioThreads(), this.settings.sharedKey(), peerIdentity));
		FleetEffectExecutor effectExecutor = new FleetEffectExecutor(this.peers, this.platform, this::submit,
				this::executeLocalEffect);
		FleetReducer reducer = FleetReducer.create();
		this.loop = ControlLoop.start(FleetState.starting(self, this.clock.millis()), (state, now, event) -> {
			effectExecutor.logReadState(event);
			notifyInstanceListListeners(event);
			return reducer.reduce(state, now, event);
		}, effectExecutor, this.clock, this::tick, MembershipTimes.TICK_MILLIS);
		if (this.settings.listen() != null) {
			this.address = this.peers.listen(this.settings.listen());
		}
		submit(new MembershipEvent.ContactsDemanded(this.extraContactsAtStart));
		this.started.countDown();
	}

	// Only one read of the list is in progress at a time, so listRequestedAtMillis is
	// the time of the request that this event responds to.
	private void notifyInstanceListListeners(Event event) {
		if (event instanceof MembershipEvent.ListRead read) {
			this.instanceListListeners
				.forEach((listener) -> listener.listRead(this.listRequestedAtMillis, read.instances()));
		}
		else if (event instanceof MembershipEvent.ListUnchanged) {
			this.instanceListListeners.forEach((listener) -> listener.listConfirmed(this.listRequestedAtMillis));
		}
	}

	// Waits until start has assigned the loop, since effects of the first tick submit
	// events to it.
	private Event tick() {
		try {
			this.started.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return new MembershipEvent.Ticked(this.peers.reportReceipts());
	}

	private void submit(Event event) {
		this.loop.submit(event);
	}

	private void executeLocalEffect(Effect effect) {
		if (effect instanceof MembershipEffect.ReadList) {
			this.listRequestedAtMillis = this.clock.millis();
		}
		else if (effect instanceof MembershipEffect.PublishSnapshot published) {
			this.snapshot = published.snapshot();
			this.snapshotListeners.forEach((listener) -> listener.accept(published.snapshot()));
		}
		else if (effect instanceof ConfigurationEffect.Adopted adopted) {
			adopt(adopted.configuration());
		}
		else if (effect instanceof ConfigurationEffect.PeersQueried queried) {
			logger.atInfo()
				.addKeyValue("event", "peers-asked")
				.addKeyValue("peers", queried.peers())
				.log("this process has requested the configuration from its peers");
		}
	}

	private void adopt(PublishedConfiguration configuration) {
		this.version = configuration.version();
		this.peers.sendCurrent(this::announcement);
		logger.atInfo()
			.addKeyValue("event", "configuration-in-force")
			.addKeyValue("revision", this.version.revision())
			.addKeyValue("version", this.version.toString())
			.log("a published configuration is now in force");
	}

	private ControlMessage.AgentStatus status() {
		return this.status;
	}

	private ControlMessage.ConfigurationAnnouncement announcement() {
		return new ControlMessage.ConfigurationAnnouncement(this.version);
	}

	/**
	 * Returns the address on which an agent accepts connections.
	 * @return the address, empty for an entry and before the start
	 */
	public Optional<InetSocketAddress> address() {
		return Optional.ofNullable(this.address);
	}

	/**
	 * Returns the current snapshot.
	 * @return the snapshot, never null
	 */
	public FleetSnapshot snapshot() {
		return this.snapshot;
	}

	/**
	 * Adds a listener, which the control thread calls with each new snapshot. The
	 * listener must not block.
	 * @param listener the listener
	 */
	public void addSnapshotListener(Consumer<FleetSnapshot> listener) {
		this.snapshotListeners.add(listener);
	}

	/**
	 * Adds a listener to the platform's responses to requests for its list of instances.
	 * @param listener the listener
	 */
	public void addInstanceListListener(InstanceListListener listener) {
		this.instanceListListeners.add(listener);
	}

	/**
	 * Sets the agents to which connections are kept in addition to those that the
	 * membership logic selects.
	 * @param agents the additional agents; they replace those of the previous call
	 */
	public void setExtraContacts(Set<InstanceId> agents) {
		ControlLoop<FleetState> running = this.loop;
		if (running != null) {
			running.submit(new MembershipEvent.ContactsDemanded(agents));
		}
		else {
			this.extraContactsAtStart = Set.copyOf(agents);
		}
	}

	@Override
	public Optional<PeerConnection> to(InstanceId instance) {
		PeerManager manager = this.peers;
		return (manager != null) ? manager.to(instance) : Optional.empty();
	}

	/**
	 * Opens a connection that the membership logic need not have selected; it is closed
	 * if it has not been selected for some time. Does nothing before the start.
	 * @param instance the instance to connect to
	 * @param listenAddress the address that it listens on
	 */
	public void dial(InstanceId instance, InetSocketAddress listenAddress) {
		PeerManager manager = this.peers;
		if (manager != null) {
			manager.open(instance, listenAddress);
		}
	}

	/**
	 * Opens a temporary connection to find out which process listens on an address. Does
	 * nothing before the start.
	 * @param address the address
	 * @param onIdentity receives the identity of the process that has proved the shared
	 * key there, on an I/O thread
	 */
	public void identify(InetSocketAddress address, Consumer<HandshakeMessage.PeerIdentity> onIdentity) {
		PeerManager manager = this.peers;
		if (manager != null) {
			manager.identify(address, onIdentity);
		}
	}

	/**
	 * Returns how long ago this process sent a heartbeat.
	 * @param sequence the sequence number of the heartbeat
	 * @return the age in milliseconds; {@link Long#MAX_VALUE} if it was never sent or its
	 * time is no longer kept
	 */
	public long heartbeatAgeMillis(long sequence) {
		PeerManager manager = this.peers;
		return (manager != null) ? manager.heartbeatAgeMillis(sequence) : Long.MAX_VALUE;
	}

	/**
	 * Returns the number of bytes sent to other processes, including requests and
	 * weights.
	 * @return the bytes of all frames sent so far
	 */
	public long sentBytes() {
		PeerManager manager = this.peers;
		return (manager != null) ? manager.sentBytes() : 0;
	}

	/**
	 * Announces the runners of an agent and what they serve.
	 * @param runners the runners
	 */
	public synchronized void setRunners(List<RunnerStatus> runners) {
		if (this.status == null) {
			throw new IllegalStateException("an entry has no runners to announce");
		}
		announce(new ControlMessage.AgentStatus(this.status.draining(), this.status.labels(), runners));
	}

	/**
	 * Announces that an agent accepts no more requests, which is final. Has no effect for
	 * an entry, since no process sends requests to it.
	 */
	public synchronized void drain() {
		if (this.status == null) {
			return;
		}
		announce(new ControlMessage.AgentStatus(true, this.status.labels(), this.status.runners()));
	}

	private void announce(ControlMessage.AgentStatus next) {
		if (next.equals(this.status)) {
			return;
		}
		this.status = next;
		PeerManager manager = this.peers;
		if (manager != null) {
			manager.sendCurrent(this::status);
		}
	}

	/**
	 * Sets the loads that an agent's heartbeats report.
	 * @param reported supplies the load of each runner, in the order of the runners
	 */
	public void setLoads(Supplier<List<Integer>> reported) {
		this.loads = Objects.requireNonNull(reported, "reported must not be null");
	}

	/**
	 * Returns whether the process may serve requests.
	 * @return whether it has requested the configuration from its peers and a
	 * configuration is in force
	 */
	public boolean isReady() {
		ControlLoop<FleetState> running = this.loop;
		return running != null && running.state().isReady();
	}

	/**
	 * Returns a dump of the state for operators.
	 * @return the dump, empty before the start
	 */
	public Optional<FleetDump> dump() {
		ControlLoop<FleetState> running = this.loop;
		return Optional.ofNullable(running).map((present) -> FleetDump.of(present.state()));
	}

	/**
	 * Closes all connections and stops following the platform.
	 */
	@Override
	public void close() {
		this.started.countDown();
		if (this.loop != null) {
			this.loop.close();
		}
		if (this.peers != null) {
			this.peers.close();
		}
		if (this.platform != null) {
			this.platform.close();
		}
	}

}
