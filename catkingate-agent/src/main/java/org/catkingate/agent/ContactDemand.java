package org.catkingate.agent;

import java.util.HashSet;
import java.util.Set;

import org.catkingate.agent.weights.PeerDemand;
import org.catkingate.model.InstanceId;
import org.catkingate.runtime.fleet.Fleet;

/**
 * Gathers which other agents the parts of this agent want to be connected to, and tells
 * the fleet when that changes. Safe for use by any thread.
 */
final class ContactDemand implements PeerDemand {

	private final Fleet fleet;

	private Set<InstanceId> neighbours = Set.of();

	private final Set<InstanceId> extra = new HashSet<>();

	private Set<InstanceId> ofKeys = Set.of();

	private ContactDemand(Fleet fleet) {
		this.fleet = fleet;
	}

	static ContactDemand of(Fleet fleet) {
		return new ContactDemand(fleet);
	}

	@Override
	public synchronized void neighbours(Set<InstanceId> peers) {
		this.neighbours = Set.copyOf(peers);
		this.extra.clear();
		tell();
	}

	@Override
	public synchronized void connect(InstanceId peer) {
		if (this.extra.add(peer)) {
			tell();
		}
	}

	synchronized void ofKeys(Set<InstanceId> needed) {
		if (!needed.equals(this.ofKeys)) {
			this.ofKeys = needed;
			tell();
		}
	}

	private void tell() {
		Set<InstanceId> all = new HashSet<>(this.neighbours);
		all.addAll(this.extra);
		all.addAll(this.ofKeys);
		this.fleet.keepContact(all);
	}

}
