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
 * Connector that opens the connections that the distribution needs and does not have. Of
 * two neighbours, the one whose name sorts first connects to the other. Safe for use by
 * any thread.
 */
final class PeerConnector {

	private static final long RECONNECT_INTERVAL_MILLIS = 1000;

	private final InstanceId own;

	private final PeerConnections connections;

	private final BiConsumer<InstanceId, InetSocketAddress> connectAction;

	private final MonotonicClock clock;

	private final Map<InstanceId, Long> attemptedAtMillis = new ConcurrentHashMap<>();

	private volatile FleetSnapshot fleet = FleetSnapshot.empty();

	private volatile Set<InstanceId> neighbours = Set.of();

	PeerConnector(InstanceId own, PeerConnections connections, BiConsumer<InstanceId, InetSocketAddress> connectAction,
			MonotonicClock clock) {
		this.own = own;
		this.connections = connections;
		this.connectAction = connectAction;
		this.clock = clock;
	}

	void updateFleet(FleetSnapshot changed) {
		this.fleet = changed;
	}

	void setNeighbours(Set<InstanceId> required) {
		this.neighbours = required;
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
		Long previous = this.attemptedAtMillis.get(peer);
		if (previous == null || now - previous >= RECONNECT_INTERVAL_MILLIS) {
			this.attemptedAtMillis.put(peer, now);
			this.connectAction.accept(peer, view.instance().address());
		}
	}

}
