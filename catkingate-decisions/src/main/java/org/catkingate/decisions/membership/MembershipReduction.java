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

import org.catkingate.decisions.Rendezvous;
import org.catkingate.decisions.Step;
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

	private static final InetSocketAddress UNKNOWN_ADDRESS = new InetSocketAddress(0);

	private static final int MAX_BACKOFF_SHIFT = 8;

	private static final int MIN_FLEET_SIZE_TO_DISTRUST = 4;

	final long now;

	final Self self;

	final SortedMap<InstanceId, KnownInstance> instances;

	final SortedMap<Long, Link> connections;

	private final List<MembershipEffect> effects = new ArrayList<>();

	private final FleetSnapshot published;

	private PublishedConfiguration configuration;

	private SortedSet<InstanceId> wanted;

	private Set<InstanceId> demanded;

	private long lastTick;

	private long heartbeatSequence;

	private long heartbeatAt;

	private ReadSchedule listReads;

	private boolean listKnown;

	private long distrustedSince;

	MembershipReduction(MembershipState state, long nowMillis) {
		this.now = nowMillis;
		this.self = state.self();
		this.instances = new TreeMap<>(state.instances());
		this.connections = new TreeMap<>(state.links());
		this.published = state.snapshot();
		this.configuration = state.configuration();
		this.wanted = state.wanted();
		this.demanded = state.demanded();
		this.lastTick = state.lastTickMillis();
		this.heartbeatSequence = state.heartbeatSequence();
		this.heartbeatAt = state.heartbeatAtMillis();
		this.listReads = state.list();
		this.listKnown = state.listKnown();
		this.distrustedSince = state.doubtSinceMillis();
	}

	Step<MembershipState> toStep() {
		FleetSnapshot snapshot = FleetSnapshots.snapshot(this.self, this.configuration, this.instances,
				this.connections);
		if (snapshot.equals(this.published)) {
			snapshot = this.published;
		}
		else {
			this.effects.add(new MembershipEffect.PublishSnapshot(snapshot));
		}
		MembershipState state = new MembershipState(this.self, this.configuration, this.instances, this.connections,
				this.wanted, this.demanded, this.lastTick, this.heartbeatSequence, this.heartbeatAt, this.listReads,
				this.listKnown, this.distrustedSince, snapshot);
		return new Step<>(state, List.copyOf(this.effects));
	}

	void onConfigurationInForce(PublishedConfiguration next) {
		this.configuration = next;
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
		boolean slow = this.listKnown && this.self.role() == Role.AGENT;
		this.listReads = this.listReads.at(this.now, slow ? ReadPace.SLOW : ReadPace.CLOSE, fleetSize())
			.answered(this.now, index);
		chooseContacts();
	}

	private KnownInstance withListState(KnownInstance known, InstanceRecord record, boolean keepMissing) {
		if (record != null) {
			return known.withListedRecord(record);
		}
		return keepMissing ? known : known.withUnlistedSince(this.now);
	}

	// Distrusts for a limited time a list that has lost more than half of the instances
	// that were listed before.
	private boolean isDistrusted(List<InstanceRecord> records) {
		int before = fleetSize();
		if (before < MIN_FLEET_SIZE_TO_DISTRUST || 2 * records.size() >= before) {
			this.distrustedSince = 0;
			return false;
		}
		if (this.distrustedSince == 0) {
			this.distrustedSince = this.now;
		}
		return this.now - this.distrustedSince < MembershipTimes.SHRUNK_LIST_DISTRUST_MILLIS;
	}

	private int fleetSize() {
		return 1 + (int) this.instances.values().stream().filter(KnownInstance::isListed).count();
	}

	void onListUnchanged() {
		this.listReads = this.listReads.answered(this.now, this.listReads.index());
	}

	void onListFailed() {
		this.listReads = this.listReads.failed(this.now);
	}

	void onConnectionOpened(MembershipEvent.LinkOpened event) {
		MembershipEvent.Peer peer = event.peer();
		for (Link other : connectionsTo(peer.instance())) {
			if (other.peer().incarnation() != peer.incarnation()) {
				close(other, "the peer process has been replaced");
			}
		}
		this.connections.put(event.connection(), Link.opened(event, this.now, this.heartbeatSequence));
		if (peer.role() == Role.AGENT && !this.instances.containsKey(peer.instance())) {
			this.instances.put(peer.instance(), KnownInstance.of(recordOf(peer), this.now));
			chooseContacts();
		}
		this.instances.computeIfPresent(peer.instance(), (id, known) -> known.withConnection(this.now));
		closeDuplicate(event);
	}

	private static InstanceRecord recordOf(MembershipEvent.Peer peer) {
		return new InstanceRecord(peer.instance(), peer.role(), UNKNOWN_ADDRESS, peer.dataCentre(), peer.region(),
				Labels.none(), false);
	}

	// When two agents have dialled each other at the same time, the connection that the
	// agent with the lower instance id dialled stays open; the other agent closes its
	// own.
	private void closeDuplicate(MembershipEvent.LinkOpened event) {
		if (this.self.instance().compareTo(event.peer().instance()) < 0) {
			return;
		}
		List<Link> both = connectionsTo(event.peer().instance());
		boolean accepted = both.stream().anyMatch((link) -> !link.dialled() && !link.isSuspect(this.now));
		if (accepted) {
			both.stream()
				.filter(Link::dialled)
				.forEach((link) -> close(link, "duplicate of a connection that the peer opened"));
		}
	}

	private List<Link> connectionsTo(InstanceId instance) {
		return this.connections.values().stream().filter((link) -> link.peer().instance().equals(instance)).toList();
	}

	void onConnectionClosed(long number) {
		Link link = this.connections.remove(number);
		if (link != null) {
			long next = this.now + Math.round(MembershipTimes.INITIAL_BACKOFF_MILLIS * random(number));
			this.instances.computeIfPresent(link.peer().instance(), (id, known) -> known.withLostConnection(next));
		}
	}

	void onDialFailed(InstanceId instance) {
		this.instances.computeIfPresent(instance, (id, known) -> known.withFailedDial(this.now + backoff(known)));
	}

	private long backoff(KnownInstance known) {
		long full = MembershipTimes.INITIAL_BACKOFF_MILLIS << Math.min(MAX_BACKOFF_SHIFT, known.failedDials());
		long bounded = Math.min(MembershipTimes.MAX_BACKOFF_MILLIS, full);
		double jitter = random(Rendezvous.hash(known.instance().id().value()) + known.failedDials());
		return Math.round(bounded * (0.5 + jitter / 2));
	}

	private double random(long purpose) {
		return Rendezvous.unit(this.self.incarnation() + purpose);
	}

	void onStatusAnnounced(MembershipEvent.StatusAnnounced event) {
		Link.AgentStatus status = new Link.AgentStatus(event.draining(), event.labels(), event.runners());
		Link link = this.connections.computeIfPresent(event.connection(),
				(number, present) -> present.withStatus(status));
		if (link != null) {
			this.instances.computeIfPresent(link.peer().instance(), (id, known) -> known.withOwnLabels(event.labels()));
		}
	}

	void onActivity(List<MembershipEvent.Heard> all) {
		for (MembershipEvent.Heard heard : all) {
			this.connections.computeIfPresent(heard.connection(), (number, link) -> link.withActivity(heard));
		}
	}

	void checkPause() {
		long gap = this.now - this.lastTick;
		if (this.lastTick != 0 && gap >= MembershipTimes.MIN_PAUSE_MILLIS) {
			this.effects.add(new MembershipEffect.PauseNoticed(gap));
			this.connections.replaceAll((number, link) -> link.withVerification(this.now, this.heartbeatSequence + 1));
			this.heartbeatAt = this.now;
		}
		this.lastTick = this.now;
	}

	void sendHeartbeats() {
		if (this.now >= this.heartbeatAt) {
			this.heartbeatSequence++;
			this.heartbeatAt = this.now + MembershipTimes.HEARTBEAT_MILLIS;
			this.effects.add(new MembershipEffect.SendHeartbeats(this.heartbeatSequence));
		}
	}

	void closeSilentConnections() {
		for (Link link : List.copyOf(this.connections.values())) {
			if (link.isSilent(this.now, this.heartbeatSequence)) {
				close(link, "connection is silent or heartbeats are not acknowledged");
			}
		}
	}

	void closeUnwantedConnections() {
		for (Link link : List.copyOf(this.connections.values())) {
			if (!link.dialled() || (this.wanted.contains(link.peer().instance()) && !hasNewerConnection(link))) {
				this.connections.put(link.number(), link.withUnwantedSince(0));
			}
			else if (link.unwantedSinceMillis() == 0) {
				this.connections.put(link.number(), link.withUnwantedSince(this.now));
			}
			else if (this.now - link.unwantedSinceMillis() >= MembershipTimes.UNWANTED_CLOSE_DELAY_MILLIS) {
				close(link, "connection is no longer needed");
			}
		}
	}

	private boolean hasNewerConnection(Link link) {
		return connectionsTo(link.peer().instance()).stream()
			.anyMatch((other) -> other.number() > link.number() && !other.isSuspect(this.now));
	}

	private void close(Link link, String reason) {
		this.connections.remove(link.number());
		this.effects.add(new MembershipEffect.CloseConnection(link.number(), reason));
	}

	void dialWantedAgents() {
		for (InstanceId id : this.wanted) {
			KnownInstance known = this.instances.get(id);
			if (known == null) {
				continue;
			}
			if (known.dialTimeoutAtMillis() != 0 && this.now >= known.dialTimeoutAtMillis()) {
				known = known.withFailedDial(this.now + backoff(known));
				this.instances.put(id, known);
			}
			if (known.canDial(this.now) && connectionsTo(id).stream().allMatch((link) -> link.isSuspect(this.now))) {
				this.instances.put(id, known.withDialStarted(this.now));
				this.effects.add(new MembershipEffect.OpenConnection(id, known.instance().address()));
			}
		}
	}

	void removeUnlistedInstances() {
		boolean changed = this.instances.values()
			.removeIf((known) -> !known.isListed()
					&& this.now - known.unlistedSinceMillis() >= MembershipTimes.UNLISTED_RETENTION_MILLIS
					&& connectionsTo(known.instance().id()).isEmpty());
		if (changed) {
			chooseContacts();
		}
	}

	void readList() {
		if (this.listReads.isOverdue(this.now)) {
			this.listReads = this.listReads.failed(this.now);
		}
		if (this.listReads.isDue(this.now)) {
			this.effects.add(new MembershipEffect.ReadList(this.listReads.index(), this.listReads.waitMillis()));
			this.listReads = this.listReads.started(this.now);
		}
	}

	private void chooseContacts() {
		this.wanted = ContactPlan.choose(this.self, this.configuration,
				this.instances.values().stream().map(KnownInstance::instance).toList());
		this.demanded.stream().filter(this.instances::containsKey).forEach(this.wanted::add);
	}

}
