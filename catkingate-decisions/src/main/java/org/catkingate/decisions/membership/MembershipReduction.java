package org.catkingate.decisions.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;

import org.catkingate.decisions.ReductionResult;
import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.decisions.reading.ReadPace;
import org.catkingate.decisions.reading.ReadSchedule;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Labels;
import org.catkingate.model.Role;
import org.catkingate.model.published.PublishedConfiguration;

/**
 * A reduction in progress: a mutable copy of the state to which one event is applied. Not
 * thread-safe.
 */
final class MembershipReduction {

	// has port 0, so that the instance is not dialled
	private static final InetSocketAddress UNKNOWN_ADDRESS = new InetSocketAddress(0);

	// the backoff reaches its upper bound before this shift; larger shifts could overflow
	private static final int MAX_BACKOFF_SHIFT = 8;

	private static final int MIN_FLEET_SIZE_FOR_DISTRUST = 4;

	final long nowMillis;

	final ProcessIdentity self;

	final SortedMap<InstanceId, KnownInstance> instances;

	final SortedMap<Long, ConnectionState> connections;

	private final List<MembershipEffect> effects = new ArrayList<>();

	private final FleetSnapshot published;

	private PublishedConfiguration configuration;

	private SortedSet<InstanceId> wanted;

	private Set<InstanceId> demanded;

	private long lastTickMillis;

	private long heartbeatSequence;

	private long heartbeatAtMillis;

	private ReadSchedule listReads;

	private boolean listKnown;

	private long distrustedSinceMillis;

	MembershipReduction(MembershipState state, long nowMillis) {
		this.nowMillis = nowMillis;
		this.self = state.self();
		this.instances = new TreeMap<>(state.instances());
		this.connections = new TreeMap<>(state.connections());
		this.published = state.snapshot();
		this.configuration = state.configuration();
		this.wanted = state.wanted();
		this.demanded = state.demanded();
		this.lastTickMillis = state.lastTickMillis();
		this.heartbeatSequence = state.heartbeatSequence();
		this.heartbeatAtMillis = state.heartbeatAtMillis();
		this.listReads = state.listReads();
		this.listKnown = state.listKnown();
		this.distrustedSinceMillis = state.distrustedSinceMillis();
	}

	ReductionResult<MembershipState> toResult() {
		FleetSnapshot snapshot = FleetSnapshots.create(this.self, this.configuration, this.instances, this.connections);
		if (snapshot.equals(this.published)) {
			snapshot = this.published;
		}
		else {
			this.effects.add(new MembershipEffect.PublishSnapshot(snapshot));
		}
		MembershipState state = new MembershipState(this.self, this.configuration, this.instances, this.connections,
				this.wanted, this.demanded, this.lastTickMillis, this.heartbeatSequence, this.heartbeatAtMillis,
				this.listReads, this.listKnown, this.distrustedSinceMillis, snapshot);
		return new ReductionResult<>(state, List.copyOf(this.effects));
	}

	void onConfigurationInForce(PublishedConfiguration adopted) {
		this.configuration = adopted;
		chooseContacts();
	}

	void onContactsDemanded(Set<InstanceId> agents) {
		this.demanded = agents;
		chooseContacts();
	}

	void onListRead(long index, List<InstanceRecord> records) {
		boolean keepMissing = isDistrusted(records);
		Map<InstanceId, InstanceRecord> byId = new HashMap<>();
		records.forEach((record) -> byId.put(record.id(), record));
		byId.remove(this.self.instance());
		this.instances.replaceAll((id, known) -> withListState(known, byId.remove(id), keepMissing));
		byId.forEach((id, record) -> this.instances.put(id, KnownInstance.of(record, 0)));
		this.listKnown |= !records.isEmpty();
		boolean isSlow = this.listKnown && this.self.role() == Role.AGENT;
		this.listReads = this.listReads.withPace(this.nowMillis, isSlow ? ReadPace.SLOW : ReadPace.CLOSE, fleetSize())
			.withResponse(this.nowMillis, index);
		chooseContacts();
	}

	private KnownInstance withListState(KnownInstance known, InstanceRecord record, boolean keepMissing) {
		if (record != null) {
			return known.withListedRecord(record);
		}
		return keepMissing ? known : known.withUnlistedSince(this.nowMillis);
	}

	// A list that has lost more than half of the instances that were listed before is
	// distrusted for a limited time; meanwhile the missing instances still count as
	// listed.
	private boolean isDistrusted(List<InstanceRecord> records) {
		int previousSize = fleetSize();
		if (previousSize < MIN_FLEET_SIZE_FOR_DISTRUST || 2 * records.size() >= previousSize) {
			this.distrustedSinceMillis = 0;
			return false;
		}
		if (this.distrustedSinceMillis == 0) {
			this.distrustedSinceMillis = this.nowMillis;
		}
		return this.nowMillis - this.distrustedSinceMillis < MembershipTimes.SHRUNK_LIST_DISTRUST_MILLIS;
	}

	private int fleetSize() {
		return 1 + (int) this.instances.values().stream().filter(KnownInstance::isListed).count();
	}

	void onListUnchanged() {
		this.listReads = this.listReads.withResponse(this.nowMillis, this.listReads.index());
	}

	void onListFailed() {
		this.listReads = this.listReads.withFailure(this.nowMillis);
	}

	void onConnectionOpened(MembershipEvent.ConnectionOpened event) {
		MembershipEvent.Peer peer = event.peer();
		for (ConnectionState otherConnection : connectionsTo(peer.instance())) {
			if (otherConnection.peer().incarnation() != peer.incarnation()) {
				close(otherConnection, "the peer process has been replaced");
			}
		}
		this.connections.put(event.connection(), ConnectionState.of(event, this.nowMillis, this.heartbeatSequence));
		if (peer.role() == Role.AGENT && !this.instances.containsKey(peer.instance())) {
			this.instances.put(peer.instance(), KnownInstance.of(recordOf(peer), this.nowMillis));
			chooseContacts();
		}
		this.instances.computeIfPresent(peer.instance(), (id, known) -> known.withConnection(this.nowMillis));
		closeDuplicate(event);
	}

	private static InstanceRecord recordOf(MembershipEvent.Peer peer) {
		return new InstanceRecord(peer.instance(), peer.role(), UNKNOWN_ADDRESS, peer.dataCentre(), peer.region(),
				Labels.none(), false);
	}

	// When two agents have dialled each other at the same time, the connection that the
	// agent with the lower instance id dialled stays open; the other agent closes its
	// own.
	private void closeDuplicate(MembershipEvent.ConnectionOpened event) {
		if (this.self.instance().compareTo(event.peer().instance()) < 0) {
			return;
		}
		List<ConnectionState> candidates = connectionsTo(event.peer().instance());
		boolean hasAccepted = candidates.stream()
			.anyMatch((connection) -> !connection.dialled() && !connection.isSuspect(this.nowMillis));
		if (hasAccepted) {
			candidates.stream()
				.filter(ConnectionState::dialled)
				.forEach((connection) -> close(connection, "duplicate of a connection that the peer opened"));
		}
	}

	private List<ConnectionState> connectionsTo(InstanceId instance) {
		return this.connections.values()
			.stream()
			.filter((connection) -> connection.peer().instance().equals(instance))
			.toList();
	}

	void onConnectionClosed(long number) {
		ConnectionState connection = this.connections.remove(number);
		if (connection != null) {
			long retryAtMillis = this.nowMillis + Math.round(MembershipTimes.INITIAL_BACKOFF_MILLIS * random(number));
			this.instances.computeIfPresent(connection.peer().instance(),
					(id, known) -> known.withLostConnection(retryAtMillis));
		}
	}

	void onDialFailed(InstanceId instance) {
		this.instances.computeIfPresent(instance, (id, known) -> known.withFailedDial(this.nowMillis + backoff(known)));
	}

	private long backoff(KnownInstance known) {
		long delay = MembershipTimes.INITIAL_BACKOFF_MILLIS << Math.min(MAX_BACKOFF_SHIFT, known.failedDials());
		long boundedDelay = Math.min(MembershipTimes.MAX_BACKOFF_MILLIS, delay);
		double jitter = random(RendezvousHashing.hash(known.instance().id().value()) + known.failedDials());
		return Math.round(boundedDelay * (0.5 + jitter / 2));
	}

	private double random(long salt) {
		return RendezvousHashing.uniform(this.self.incarnation() + salt);
	}

	void onStatusAnnounced(MembershipEvent.StatusAnnounced event) {
		ConnectionState.AgentStatus status = new ConnectionState.AgentStatus(event.draining(), event.labels(),
				event.runners());
		ConnectionState connection = this.connections.computeIfPresent(event.connection(),
				(number, present) -> present.withStatus(status));
		if (connection != null) {
			this.instances.computeIfPresent(connection.peer().instance(),
					(id, known) -> known.withAnnouncedLabels(event.labels()));
		}
	}

	void onActivity(List<MembershipEvent.ConnectionActivity> activities) {
		for (MembershipEvent.ConnectionActivity activity : activities) {
			this.connections.computeIfPresent(activity.connection(),
					(number, connection) -> connection.withActivity(activity));
		}
	}

	void checkPause() {
		long gapMillis = this.nowMillis - this.lastTickMillis;
		if (this.lastTickMillis != 0 && gapMillis >= MembershipTimes.MIN_PAUSE_MILLIS) {
			this.effects.add(new MembershipEffect.PauseDetected(gapMillis));
			this.connections.replaceAll((number, connection) -> connection.withVerificationRequired(this.nowMillis,
					this.heartbeatSequence + 1));
			this.heartbeatAtMillis = this.nowMillis;
		}
		this.lastTickMillis = this.nowMillis;
	}

	void sendHeartbeats() {
		if (this.nowMillis >= this.heartbeatAtMillis) {
			this.heartbeatSequence++;
			this.heartbeatAtMillis = this.nowMillis + MembershipTimes.HEARTBEAT_MILLIS;
			this.effects.add(new MembershipEffect.SendHeartbeats(this.heartbeatSequence));
		}
	}

	void closeSilentConnections() {
		for (ConnectionState connection : List.copyOf(this.connections.values())) {
			if (connection.isSilent(this.nowMillis, this.heartbeatSequence)) {
				close(connection, "connection is silent or heartbeats are not acknowledged");
			}
		}
	}

	void closeUnwantedConnections() {
		for (ConnectionState connection : List.copyOf(this.connections.values())) {
			if (!connection.dialled()
					|| (this.wanted.contains(connection.peer().instance()) && !hasNewerConnection(connection))) {
				this.connections.put(connection.number(), connection.withUnwantedSince(0));
			}
			else if (connection.unwantedSinceMillis() == 0) {
				this.connections.put(connection.number(), connection.withUnwantedSince(this.nowMillis));
			}
			else if (this.nowMillis - connection.unwantedSinceMillis() >= MembershipTimes.UNWANTED_CLOSE_DELAY_MILLIS) {
				close(connection, "connection is no longer needed");
			}
		}
	}

	private boolean hasNewerConnection(ConnectionState connection) {
		return connectionsTo(connection.peer().instance()).stream()
			.anyMatch((otherConnection) -> otherConnection.number() > connection.number()
					&& !otherConnection.isSuspect(this.nowMillis));
	}

	private void close(ConnectionState connection, String reason) {
		this.connections.remove(connection.number());
		this.effects.add(new MembershipEffect.CloseConnection(connection.number(), reason));
	}

	void dialWantedAgents() {
		for (InstanceId id : this.wanted) {
			KnownInstance known = this.instances.get(id);
			if (known == null) {
				continue;
			}
			if (known.dialTimeoutAtMillis() != 0 && this.nowMillis >= known.dialTimeoutAtMillis()) {
				known = known.withFailedDial(this.nowMillis + backoff(known));
				this.instances.put(id, known);
			}
			if (known.canDial(this.nowMillis)
					&& connectionsTo(id).stream().allMatch((connection) -> connection.isSuspect(this.nowMillis))) {
				this.instances.put(id, known.withDialStarted(this.nowMillis));
				this.effects.add(new MembershipEffect.OpenConnection(id, known.instance().address()));
			}
		}
	}

	void removeUnlistedInstances() {
		boolean hasRemoved = this.instances.values()
			.removeIf((known) -> !known.isListed()
					&& this.nowMillis - known.unlistedSinceMillis() >= MembershipTimes.UNLISTED_RETENTION_MILLIS
					&& connectionsTo(known.instance().id()).isEmpty());
		if (hasRemoved) {
			chooseContacts();
		}
	}

	void readList() {
		if (this.listReads.isOverdue(this.nowMillis)) {
			this.listReads = this.listReads.withFailure(this.nowMillis);
		}
		if (this.listReads.isDue(this.nowMillis)) {
			this.effects.add(new MembershipEffect.ReadList(this.listReads.index(), this.listReads.waitMillis()));
			this.listReads = this.listReads.withReadStarted(this.nowMillis);
		}
	}

	private void chooseContacts() {
		this.wanted = ContactPlan.choose(this.self, this.configuration,
				this.instances.values().stream().map(KnownInstance::instance).toList());
		this.demanded.stream().filter(this.instances::containsKey).forEach(this.wanted::add);
	}

}
