package org.catkingate.bench.weights;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.xnio.XnioWorker;

import org.catkingate.agent.weights.WeightsDistribution;
import org.catkingate.agent.weights.WeightsProgress;
import org.catkingate.agent.weights.WeightsSettings;
import org.catkingate.decisions.distribution.InstanceLocation;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Labels;
import org.catkingate.model.Role;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.wire.ConnectionListener;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.FrameTransport;
import org.catkingate.wire.HandshakeMessage;
import org.catkingate.wire.Message;
import org.catkingate.wire.MessageCodec;
import org.catkingate.wire.SharedKey;
import org.catkingate.wire.WeightsMessage;

/**
 * An agent that only distributes weights, with its own connections to other agents. Safe
 * for use by any thread.
 */
final class DistributionAgent implements ConnectionListener, AutoCloseable {

	private static final String KEY = "a key of the benchmark";

	private static final int LENGTH_PREFIX_BYTES = 4;

	private final InstanceLocation location;

	private final FrameTransport transport;

	private final InetSocketAddress address;

	private final Map<InstanceId, PeerConnection> connections = new ConcurrentHashMap<>();

	private final AtomicLong controlBytes = new AtomicLong();

	private volatile WeightsDistribution distribution;

	private DistributionAgent(InstanceLocation location) throws IOException {
		this.location = location;
		HandshakeMessage.PeerIdentity identity = new HandshakeMessage.PeerIdentity(location.instance(), Role.AGENT, 1,
				location.dataCentre(), location.region());
		this.transport = FrameTransport.create(1, SharedKey.of(KEY), identity);
		this.address = this.transport.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), this);
	}

	static DistributionAgent listening(InstanceLocation location) throws IOException {
		return new DistributionAgent(location);
	}

	InstanceRecord instance() {
		return new InstanceRecord(this.location.instance(), Role.AGENT, this.address, this.location.dataCentre(),
				this.location.region(), Labels.none(), false);
	}

	void connectTo(DistributionAgent other) {
		this.transport.connect(other.address, this, () -> {
			throw new IllegalStateException("cannot connect to " + other.location.instance());
		});
	}

	int connections() {
		return this.connections.size();
	}

	void start(WeightsSettings settings, XnioWorker worker) {
		this.distribution = WeightsDistribution.start(settings, worker,
				(peer) -> Optional.ofNullable(this.connections.get(peer)), (peer, address) -> {
				}, List.of(), (statuses) -> {
				}, MonotonicClock.system());
	}

	void fleetChanged(FleetSnapshot fleet) {
		this.distribution.onFleetChanged(fleet);
	}

	WeightsProgress progress() {
		return this.distribution.progress();
	}

	boolean hasCompleteVersion() {
		return progress().versions()
			.values()
			.stream()
			.anyMatch((version) -> version.chunks() > 0 && version.chunksHeld() == version.chunks());
	}

	long controlBytes() {
		return this.controlBytes.get();
	}

	@Override
	public void onOpened(FrameConnection connection) {
		this.connections.put(connection.peer().instance(), PeerConnection.of(connection));
	}

	@Override
	public void onReceived(FrameConnection connection, Message message) {
		if (!(message instanceof WeightsMessage.ChunkSlice)) {
			this.controlBytes.addAndGet(LENGTH_PREFIX_BYTES + MessageCodec.encode(message).length);
		}
		this.distribution.onReceived(this.connections.get(connection.peer().instance()), (WeightsMessage) message);
	}

	@Override
	public void onClosed(FrameConnection connection, String reason) {
		this.connections.values().removeIf((open) -> open.frameConnection() == connection);
	}

	@Override
	public void close() {
		this.distribution.close();
		this.transport.close();
	}

}
