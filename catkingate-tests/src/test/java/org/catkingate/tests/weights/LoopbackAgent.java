package org.catkingate.tests.weights;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import org.catkingate.agent.runners.RunnerGate;
import org.catkingate.agent.weights.WeightsDistribution;
import org.catkingate.agent.weights.WeightsSettings;
import org.catkingate.decisions.distribution.InstanceLocation;
import org.catkingate.decisions.distribution.SourcePreference;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Labels;
import org.catkingate.model.Role;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.wire.ConnectionListener;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.FrameTransport;
import org.catkingate.wire.HandshakeMessage;
import org.catkingate.wire.Message;
import org.catkingate.wire.SharedKey;
import org.catkingate.wire.WeightsMessage;

/**
 * The weights distribution of one agent, with one runner and its own connections over
 * loopback. Safe for use by any thread.
 */
final class LoopbackAgent implements ConnectionListener, AutoCloseable {

	static final ServiceName SERVICE = new ServiceName("llm");

	private static final RunnerId RUNNER_ID = new RunnerId("r1");

	private final Map<InstanceId, PeerConnection> connections = new ConcurrentHashMap<>();

	private final RunnerGate gate = RunnerGate.closed(RUNNER_ID, SERVICE);

	private final InstanceLocation location;

	private final FrameTransport transport;

	private final InetSocketAddress address;

	private final XnioWorker worker;

	private final WeightsDistribution distribution;

	private LoopbackAgent(InstanceLocation location, AgentOptions options) throws IOException {
		this.location = location;
		this.worker = Xnio.getInstance()
			.createWorker(
					OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).set(Options.THREAD_DAEMON, true).getMap());
		HandshakeMessage.PeerIdentity identity = new HandshakeMessage.PeerIdentity(location.instance(), Role.AGENT, 1,
				location.dataCentre(), location.region());
		this.transport = FrameTransport.create(1, SharedKey.of("a key for these tests"), identity);
		WeightsSettings settings = new WeightsSettings(location, Labels.none(), options.memoryBytes, options.origin,
				options.store, options.preference, WeightsSettings.Rates.unlimited(), options.startedAt,
				List.of(new WeightsSettings.Runner(RUNNER_ID, SERVICE, options.engine)));
		this.distribution = WeightsDistribution.start(settings, this.worker,
				(peer) -> Optional.ofNullable(this.connections.get(peer)),
				(peer, target) -> this.transport.connect(target, this, () -> {
				}), List.of(this.gate), (statuses) -> {
				}, MonotonicClock.system());
		this.address = this.transport.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), this);
	}

	static LoopbackAgent start(InstanceLocation location, AgentOptions options) throws IOException {
		return new LoopbackAgent(location, options);
	}

	InstanceRecord instanceRecord() {
		return new InstanceRecord(this.location.instance(), Role.AGENT, this.address, this.location.dataCentre(),
				this.location.region(), Labels.none(), false);
	}

	WeightsDistribution distribution() {
		return this.distribution;
	}

	boolean serves(String digest) {
		return this.gate.servedVersion()
			.filter((servedVersion) -> servedVersion.digest().equals(new Digest(digest)))
			.isPresent();
	}

	@Override
	public void onOpened(FrameConnection connection) {
		PeerConnection peer = PeerConnection.of(connection);
		this.connections.put(connection.peer().instance(), peer);
		this.distribution.onOpened(peer);
	}

	@Override
	public void onReceived(FrameConnection connection, Message message) {
		PeerConnection peer = this.connections.get(connection.peer().instance());
		if (peer != null && message instanceof WeightsMessage weights) {
			this.distribution.onReceived(peer, weights);
		}
	}

	@Override
	public void onClosed(FrameConnection connection, String reason) {
		if (connection.peer() == null) {
			return;
		}
		PeerConnection peer = this.connections.get(connection.peer().instance());
		if (peer != null && peer.frameConnection() == connection) {
			this.connections.remove(connection.peer().instance());
			this.distribution.onClosed(peer);
		}
	}

	@Override
	public void close() {
		this.distribution.close();
		this.transport.close();
		this.worker.shutdownNow();
	}

	/**
	 * The settings that differ between agents. Not thread-safe.
	 */
	static final class AgentOptions {

		long memoryBytes = 64L << 20;

		URI origin;

		URI store;

		URI engine;

		SourcePreference preference = SourcePreference.TIME;

		long startedAt = 1;

	}

}
