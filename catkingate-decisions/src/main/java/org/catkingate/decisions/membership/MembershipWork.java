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
 * One reduction in progress: a copy of the state that the steps change. For use by one
 * thread.
 */
final class MembershipWork {

	private static final InetSocketAddress UNKNOWN_ADDRESS = new InetSocketAddress(0);

	private static final int HIGHEST_SHIFT = 8;

	private static final int FEWEST_TO_DOUBT = 4;

	final long now;

	final Self self;

	final SortedMap<InstanceId, KnownInstance> instances;

	final SortedMap<Long, Link> links;

	private final List<MembershipEffect> effects = new ArrayList<>();

	private final FleetSnapshot published;

	private PublishedConfiguration configuration;

	private SortedSet<InstanceId> wanted;

	private Set<InstanceId> demanded;

	private long lastTick;

	private long sequence;

	private long heartbeatAt;

	private ReadSchedule list;

	private boolean listKnown;

	private long doubtSince;

	MembershipWork(MembershipState state, long nowMillis) {
		this.now = nowMillis;
		this.self = state.self();
		this.instances = new TreeMap<>(state.instances());
		this.links = new TreeMap<>(state.links());
		this.published = state.snapshot();
		this.configuration = state.configuration();
		this.wanted = state.wanted();
		this.demanded = state.demanded();
		this.lastTick = state.lastTickMillis();
		this.sequence = state.sequence();
		this.heartbeatAt = state.heartbeatAtMillis();
		this.list = state.list();
		this.listKnown = state.listKnown();
		this.doubtSince = state.doubtSinceMillis();
	}

	Step<MembershipState> finish() {
		FleetSnapshot snapshot = Views.snapshot(this.self, this.configuration, this.instances, this.links);
		if (snapshot.equals(this.published)) {
			snapshot = this.published;
		}
		else {
			this.effects.add(new MembershipEffect.PublishSnapshot(snapshot));
		}
		MembershipState state = new MembershipState(this.self, this.configuration, this.instances, this.links,
				this.wanted, this.demanded, this.lastTick, this.sequence, this.heartbeatAt, this.list, this.listKnown,
				this.doubtSince, snapshot);
		return new Step<>(state, List.copyOf(this.effects));
	}

	void configurationInForce(PublishedConfiguration next) {
		this.configuration = next;
		chooseContacts();
	}

	void contactsDemanded(Set<InstanceId> agents) {
		this.demanded = agents;
		chooseContacts();
	}

	void listRead(long index, List<InstanceRecord> records) {
		boolean keepMissing = isDoubtful(records);
		Map<InstanceId, InstanceRecord> byId = new HashMap<>();
		records.forEach((record) -> byId.put(record.id(), record));
		byId.remove(this.self.instance());
		this.instances.replaceAll((id, known) -> relisted(known, byId.remove(id), keepMissing));
		byId.forEach((id, record) -> this.instances.put(id, KnownInstance.of(record, 0)));
		this.listKnown |= !records.isEmpty();
		boolean slow = this.listKnown && this.self.role() == Role.AGENT;
		this.list = this.list.at(this.now, slow ? ReadPace.SLOW : ReadPace.CLOSE, fleetSize())
			.answered(this.now, index);
		chooseContacts();
	}

	private KnownInstance relisted(KnownInstance known, InstanceRecord record, boolean keepMissing) {
		if (record != null) {
			return known.listed(record);
		}
		return keepMissing ? known : known.unlisted(this.now);
	}

	// a list that has lost more than half of its instances at once is doubted for a time
	private boolean isDoubtful(List<InstanceRecord> records) {
		int before = fleetSize();
		if (before < FEWEST_TO_DOUBT || 2 * records.size() >= before) {
			this.doubtSince = 0;
			return false;
		}
		if (this.doubtSince == 0) {
			this.doubtSince = this.now;
		}
		return this.now - this.doubtSince < MembershipTimes.DOUBT_MILLIS;
	}

	private int fleetSize() {
		return 1 + (int) this.instances.values().stream().filter(KnownInstance::isListed).count();
	}

	void listUnchanged() {
		this.list = this.list.answered(this.now, this.list.index());
	}

	void listFailed() {
		this.list = this.list.failed(this.now);
	}

	void linkOpened(MembershipEvent.LinkOpened event) {
		MembershipEvent.Peer peer = event.peer();
		for (Link other : linksTo(peer.instance())) {
			if (other.peer().incarnation() != peer.incarnation()) {
				close(other, "the process at the other side has been replaced");
			}
		}
		this.links.put(event.link(), Link.opened(event, this.now, this.sequence));
		if (peer.role() == Role.AGENT && !this.instances.containsKey(peer.instance())) {
			this.instances.put(peer.instance(), KnownInstance.of(recordOf(peer), this.now));
			chooseContacts();
		}
		this.instances.computeIfPresent(peer.instance(), (id, known) -> known.met(this.now));
		closeDouble(event);
	}

	private static InstanceRecord recordOf(MembershipEvent.Peer peer) {
		return new InstanceRecord(peer.instance(), peer.role(), UNKNOWN_ADDRESS, peer.dataCentre(), peer.region(),
				Labels.none(), false);
	}

	// when two agents have dialled each other at once, the link that the lower one
	// dialled
	// stays, and the higher one closes the other
	private void closeDouble(MembershipEvent.LinkOpened event) {
		if (this.self.instance().compareTo(event.peer().instance()) < 0) {
			return;
		}
		List<Link> both = linksTo(event.peer().instance());
		boolean accepted = both.stream().anyMatch((link) -> !link.dialled() && !link.isSuspect(this.now));
		if (accepted) {
			both.stream().filter(Link::dialled).forEach((link) -> close(link, "the other side has dialled too"));
		}
	}

	private List<Link> linksTo(InstanceId instance) {
		return this.links.values().stream().filter((link) -> link.peer().instance().equals(instance)).toList();
	}

	void linkClosed(long number) {
		Link link = this.links.remove(number);
		if (link != null) {
			long next = this.now + Math.round(MembershipTimes.FIRST_BACKOFF_MILLIS * random(number));
			this.instances.computeIfPresent(link.peer().instance(), (id, known) -> known.lost(next));
		}
	}

	void dialFailed(InstanceId instance) {
		this.instances.computeIfPresent(instance, (id, known) -> known.dialFailed(this.now + backoff(known)));
	}

	private long backoff(KnownInstance known) {
		long full = MembershipTimes.FIRST_BACKOFF_MILLIS << Math.min(HIGHEST_SHIFT, known.attempts());
		long bounded = Math.min(MembershipTimes.LONGEST_BACKOFF_MILLIS, full);
		double jitter = random(Rendezvous.hash(known.instance().id().value()) + known.attempts());
		return Math.round(bounded * (0.5 + jitter / 2));
	}

	private double random(long purpose) {
		return Rendezvous.unit(this.self.incarnation() + purpose);
	}

	void statusAnnounced(MembershipEvent.StatusAnnounced event) {
		Link.Status status = new Link.Status(event.draining(), event.labels(), event.runners());
		Link link = this.links.computeIfPresent(event.link(), (number, present) -> present.announced(status));
		if (link != null) {
			this.instances.computeIfPresent(link.peer().instance(), (id, known) -> known.withOwnLabels(event.labels()));
		}
	}

	void heard(List<MembershipEvent.Heard> all) {
		for (MembershipEvent.Heard heard : all) {
			this.links.computeIfPresent(heard.link(), (number, link) -> link.heard(heard));
		}
	}

	void checkPause() {
		long gap = this.now - this.lastTick;
		if (this.lastTick != 0 && gap >= MembershipTimes.PAUSE_MILLIS) {
			this.effects.add(new MembershipEffect.PauseNoticed(gap));
			this.links.replaceAll((number, link) -> link.toVerify(this.now, this.sequence + 1));
			this.heartbeatAt = this.now;
		}
		this.lastTick = this.now;
	}

	void sendHeartbeats() {
		if (this.now >= this.heartbeatAt) {
			this.sequence++;
			this.heartbeatAt = this.now + MembershipTimes.HEARTBEAT_MILLIS;
			this.effects.add(new MembershipEffect.SendHeartbeats(this.sequence));
		}
	}

	void giveUpSilentLinks() {
		for (Link link : List.copyOf(this.links.values())) {
			if (link.isSilent(this.now, this.sequence)) {
				close(link, "nothing was heard over it");
			}
		}
	}

	void closeUnwantedLinks() {
		for (Link link : List.copyOf(this.links.values())) {
			if (!link.dialled() || (this.wanted.contains(link.peer().instance()) && !hasNewer(link))) {
				this.links.put(link.number(), link.unwantedSince(0));
			}
			else if (link.unwantedSinceMillis() == 0) {
				this.links.put(link.number(), link.unwantedSince(this.now));
			}
			else if (this.now - link.unwantedSinceMillis() >= MembershipTimes.UNWANTED_MILLIS) {
				close(link, "no longer needed");
			}
		}
	}

	private boolean hasNewer(Link link) {
		return linksTo(link.peer().instance()).stream()
			.anyMatch((other) -> other.number() > link.number() && !other.isSuspect(this.now));
	}

	private void close(Link link, String reason) {
		this.links.remove(link.number());
		this.effects.add(new MembershipEffect.CloseConnection(link.number(), reason));
	}

	void dial() {
		for (InstanceId id : this.wanted) {
			KnownInstance known = this.instances.get(id);
			if (known == null) {
				continue;
			}
			if (known.dialUntilMillis() != 0 && this.now >= known.dialUntilMillis()) {
				known = known.dialFailed(this.now + backoff(known));
				this.instances.put(id, known);
			}
			if (known.mayDial(this.now) && linksTo(id).stream().allMatch((link) -> link.isSuspect(this.now))) {
				this.instances.put(id, known.dialling(this.now));
				this.effects.add(new MembershipEffect.OpenConnection(id, known.instance().address()));
			}
		}
	}

	void forget() {
		boolean changed = this.instances.values()
			.removeIf((known) -> !known.isListed()
					&& this.now - known.unlistedSinceMillis() >= MembershipTimes.GRACE_MILLIS
					&& linksTo(known.instance().id()).isEmpty());
		if (changed) {
			chooseContacts();
		}
	}

	void readList() {
		if (this.list.isOverdue(this.now)) {
			this.list = this.list.failed(this.now);
		}
		if (this.list.isDue(this.now)) {
			this.effects.add(new MembershipEffect.ReadList(this.list.index(), this.list.waitMillis()));
			this.list = this.list.started(this.now);
		}
	}

	private void chooseContacts() {
		this.wanted = ContactPlan.choose(this.self, this.configuration,
				this.instances.values().stream().map(KnownInstance::instance).toList());
		this.demanded.stream().filter(this.instances::containsKey).forEach(this.wanted::add);
	}

}
