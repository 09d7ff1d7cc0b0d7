package org.catkingate.agent.weights;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;

import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.InstanceId;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.peers.PeerConnections;

/**
 * Makes the connections that the distribution wants and does not have. Of two neighbours
 * the one whose name comes first calls the other. Safe for use by any thread.
 */
final class Dialler {

	private static final long REDIAL_MILLIS = 1000;

	private final InstanceId own;

	private final PeerConnections connections;

	private final BiConsumer<InstanceId, InetSocketAddress> dial;

	private final MonotonicClock clock;

	private final Map<InstanceId, Long> dialledAt = new ConcurrentHashMap<>();

	private volatile FleetSnapshot fleet = FleetSnapshot.empty();

	private volatile Set<InstanceId> neighbours = Set.of();

	Dialler(InstanceId own, PeerConnections connections, BiConsumer<InstanceId, InetSocketAddress> dial,
			MonotonicClock clock) {
		this.own = own;
		this.connections = connections;
		this.dial = dial;
		this.clock = clock;
	}

	void fleetChanged(FleetSnapshot changed) {
		this.fleet = changed;
	}

	void wantNeighbours(Set<InstanceId> wanted) {
		this.neighbours = wanted;
		connectNeighbours();
	}

	void connectNeighbours() {
		for (InstanceId neighbour : this.neighbours) {
			if (this.own.compareTo(neighbour) < 0) {
				connect(neighbour);
			}
		}
	}

	void connect(InstanceId peer) {
		AgentView view = this.fleet.agents().get(peer);
		if (view == null || this.connections.to(peer).isPresent()) {
			return;
		}
		long now = this.clock.millis();
		Long before = this.dialledAt.get(peer);
		if (before == null || now - before >= REDIAL_MILLIS) {
			this.dialledAt.put(peer, now);
			this.dial.accept(peer, view.instance().address());
		}
	}

}
