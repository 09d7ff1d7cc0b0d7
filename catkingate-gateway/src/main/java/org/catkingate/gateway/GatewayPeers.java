package org.catkingate.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.xnio.XnioWorker;

import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.decisions.registry.RegistryView;
import org.catkingate.decisions.routing.Location;
import org.catkingate.model.InstanceId;
import org.catkingate.model.ModelName;
import org.catkingate.model.Role;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.model.registry.WeightsOrigin;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.peers.SeedConnections;
import org.catkingate.runtime.staging.PeerPieceClient;
import org.catkingate.runtime.staging.PieceOrigin;
import org.catkingate.wire.ConnectionListener;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.FrameTransport;
import org.catkingate.wire.HandshakeMessage;
import org.catkingate.wire.Message;
import org.catkingate.wire.RegistryMessage;
import org.catkingate.wire.RunnerMessage;
import org.catkingate.wire.SharedKey;
import org.catkingate.wire.WeightsMessage;

/**
 * The connections of a gateway to other processes. It serves pieces of weights, and
 * receives reports on runners from their loaders. These reports are forwarded to gateways
 * that loaders cannot discover. Used by the traffic thread only.
 */
final class GatewayPeers implements ConnectionListener {

	/** The delay before a retry that is sent for a piece that could not be fetched. */
	private static final long PIECE_RETRY_AFTER_MILLIS = 150;

	/**
	 * The interval at which gateways send each other the declared versions and their
	 * ages, far below the time that a version change may take.
	 */
	private static final long DECLARATIONS_INTERVAL_MILLIS = 1000;

	private final Set<FrameConnection> acceptedConnections = new HashSet<>();

	private final HandshakeMessage.PeerIdentity self;

	private final FrameTransport transport;

	private final SeedConnections seedConnections;

	private final PeerPieceClient pieceClient;

	private final PieceCache cache;

	private final Supplier<Optional<WeightsOrigin>> publishedOrigin;

	private final RunnerTable table;

	private final DeclaredVersions versions;

	private final MonotonicClock clock;

	private final RegistryCopyExchange copies;

	private final Map<FrameConnection, String> runnerAddresses = new HashMap<>();

	private RegistryView view = RegistryView.empty();

	private GatewayPeers(HandshakeMessage.PeerIdentity self, SharedKey key, List<InetSocketAddress> seeds,
			XnioWorker worker, Supplier<Optional<WeightsOrigin>> publishedOrigin,
			Supplier<Optional<PieceOrigin>> origin, RunnerTable table, DeclaredVersions versions,
			RegistryCopyExchange copies, MonotonicClock clock) {
		this.copies = copies;
		this.self = self;
		this.publishedOrigin = publishedOrigin;
		this.table = table;
		this.versions = versions;
		this.clock = clock;
		this.pieceClient = PeerPieceClient.create(worker.getIoThread());
		this.cache = new PieceCache(this.pieceClient, this::upstream, origin, worker.getIoThread());
		this.transport = FrameTransport.createOn(worker, key, self);
		this.seedConnections = SeedConnections.start(this.transport, seeds, worker.getIoThread(),
				new Location(self.dataCentre(), self.region()), new SeedConnectionListener());
	}

	/**
	 * Starts to listen and to connect to the other seeds.
	 * @param self the identity of this process
	 * @param key the key that all processes share
	 * @param listen the address to listen on
	 * @param seeds the addresses of gateways, possibly including this one
	 * @param worker the I/O threads
	 * @param publishedOrigin the origin that the configuration names
	 * @param origin opens that origin
	 * @param table receives the reports on runners
	 * @param versions receives the versions that others report, and provides those to
	 * send
	 * @param copies exchanges copies of the registry
	 * @param clock the clock
	 * @return the connections, never null
	 * @throws IOException if the address cannot be used
	 */
	static GatewayPeers start(HandshakeMessage.PeerIdentity self, SharedKey key, InetSocketAddress listen,
			List<InetSocketAddress> seeds, XnioWorker worker, Supplier<Optional<WeightsOrigin>> publishedOrigin,
			Supplier<Optional<PieceOrigin>> origin, RunnerTable table, DeclaredVersions versions,
			RegistryCopyExchange copies, MonotonicClock clock) throws IOException {
		List<InetSocketAddress> others = seeds.stream().filter((seed) -> !seed.equals(listen)).toList();
		GatewayPeers peers = new GatewayPeers(self, key, others, worker, publishedOrigin, origin, table, versions,
				copies, clock);
		peers.transport.listen(listen, peers);
		worker.getIoThread()
			.executeAtInterval(peers::broadcastDeclarations, DECLARATIONS_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		return peers;
	}

	/**
	 * Counts the gateways that this one is connected to.
	 * @return the number, including this one
	 */
	int gatewayCount() {
		Set<InstanceId> known = new HashSet<>();
		known.add(this.self.instance());
		this.seedConnections.nearestFirst().forEach((gateway) -> known.add(gateway.peer().instance()));
		inboundGateways().forEach((gateway) -> known.add(gateway.peer().instance()));
		return known.size();
	}

	/*
	 * Only a gateway in the data centre of the origin reads from it; the others request
	 * pieces from that gateway. Thus a piece leaves the origin once, and is transferred
	 * to each region once.
	 */
	private Optional<FrameConnection> upstream() {
		Optional<WeightsOrigin> origin = this.publishedOrigin.get();
		if (origin.isEmpty() || this.self.dataCentre().equals(origin.get().dataCentre())) {
			return Optional.empty();
		}
		return this.seedConnections.nearestFirst()
			.stream()
			.filter((gateway) -> gateway.peer().dataCentre().equals(origin.get().dataCentre()))
			.findFirst();
	}

	/**
	 * Applies a new view of the registry, and sends changed versions to connected
	 * processes. Loaders thus receive them even if their connection to the registry has
	 * stalled, and gateways that have started later receive their age.
	 * @param next the new view
	 */
	void update(RegistryView next) {
		boolean versionsChanged = !next.versions().equals(this.view.versions());
		this.view = next;
		if (versionsChanged) {
			this.acceptedConnections.forEach(this::sendDeclarations);
		}
	}

	/**
	 * Requests the copy of the registry that another gateway has. Only gateways that the
	 * settings name are asked, since this process has chosen their addresses.
	 * @param afterRevision the revision of this process's copy
	 */
	void requestRegistryCopy(long afterRevision) {
		this.copies.request(this.seedConnections.nearestFirst(), afterRevision);
	}

	private void sendDeclarations(FrameConnection connection) {
		this.versions.pruneAndListMessages(this.clock.millis()).forEach(connection::send);
	}

	/*
	 * The age may be too low when it arrives, since the message may wait on a network
	 * link that is interrupted or congested, and the clock of a suspended machine stands
	 * still. The next message corrects it.
	 */
	private void broadcastDeclarations() {
		inboundGateways().forEach(this::sendDeclarations);
		this.seedConnections.nearestFirst().forEach(this::sendDeclarations);
	}

	private Stream<FrameConnection> inboundGateways() {
		return this.acceptedConnections.stream().filter((gateway) -> gateway.peer().role() == Role.ENTRY);
	}

	private void receiveDeclaration(RunnerMessage.VersionDeclaration declaration) {
		this.versions.addReported(declaration, this.clock.millis());
	}

	@Override
	public void onOpened(FrameConnection connection) {
		this.acceptedConnections.add(connection);
		sendDeclarations(connection);
	}

	@Override
	public void onClosed(FrameConnection connection, String reason) {
		this.acceptedConnections.remove(connection);
		this.copies.connectionLost(connection);
		this.runnerAddresses.remove(connection);
	}

	@Override
	public void onReceived(FrameConnection connection, Message message) {
		if (message instanceof WeightsMessage.VersionDigestsRequest request) {
			respond(connection, request);
		}
		else if (message instanceof WeightsMessage.ChunkRequest request) {
			respond(connection, request);
		}
		else if (message instanceof RunnerMessage.RunnerUpdate report) {
			this.table.recordReport(report, this.clock.millis());
			if (connection.peer().role() == Role.AGENT) {
				this.runnerAddresses.put(connection, report.address());
				inboundGateways().forEach((gateway) -> gateway.send(report));
			}
		}
		else if (message instanceof RunnerMessage.VersionDeclaration declaration) {
			receiveDeclaration(declaration);
		}
		else if (message instanceof RegistryMessage.CopyRequest request && connection.peer().role() == Role.ENTRY) {
			this.copies.respond(connection, request);
		}
	}

	/*
	 * Runners change their version one after the other, in the order of a hash of their
	 * id, which spreads the changes of the runners of one region over the rollout.
	 */
	private void sendRolloutPosition(FrameConnection connection, ModelName model) {
		String address = this.runnerAddresses.get(connection);
		List<String> changing = this.view.runners()
			.values()
			.stream()
			.filter((runner) -> runner.models().containsKey(model))
			.sorted(Comparator.comparingLong((runner) -> RendezvousHashing.hash(runner.id().value())))
			.map(RegisteredRunner::addressText)
			.toList();
		int position = changing.indexOf(address);
		if (position >= 0) {
			connection.send(new RunnerMessage.RolloutPosition(model, position, changing.size()));
		}
	}

	private void respond(FrameConnection connection, WeightsMessage.VersionDigestsRequest request) {
		sendRolloutPosition(connection, request.model());
		this.cache.digests(request.model(), request.version()).whenComplete((digests, failure) -> {
			if (failure != null) {
				connection.send(new WeightsMessage.VersionDigests(request.model(), request.version(), 0, List.of()));
			}
			else {
				connection.send(new WeightsMessage.VersionDigests(digests.model(), digests.version(),
						digests.pieceBytes(), digests.digests()));
			}
		});
	}

	private void respond(FrameConnection connection, WeightsMessage.ChunkRequest request) {
		this.cache.piece(request.chunk())
			.ifPresentOrElse(
					(piece) -> piece.whenComplete((bytes,
							failure) -> connection.send((failure != null)
									? new WeightsMessage.ChunkRejection(request.chunk(), PIECE_RETRY_AFTER_MILLIS)
									: new WeightsMessage.ChunkSlice(request.chunk(), 0, bytes))),
					() -> connection.send(new WeightsMessage.ChunkRejection(request.chunk(), 0)));
	}

	void close() {
		this.seedConnections.close();
	}

	/**
	 * A listener for messages on the connections to seeds.
	 */
	private final class SeedConnectionListener implements ConnectionListener {

		@Override
		public void onOpened(FrameConnection connection) {
		}

		@Override
		public void onReceived(FrameConnection connection, Message message) {
			if (message instanceof RunnerMessage.RunnerUpdate report) {
				GatewayPeers.this.table.recordReport(report, GatewayPeers.this.clock.millis());
			}
			else if (message instanceof RunnerMessage.VersionDeclaration declaration) {
				receiveDeclaration(declaration);
			}
			else if (message instanceof RegistryMessage.CopyContent copy) {
				GatewayPeers.this.copies.receive(connection, copy);
			}
			else if (message instanceof WeightsMessage response) {
				GatewayPeers.this.pieceClient.onReceived(connection, response);
			}
		}

		@Override
		public void onClosed(FrameConnection connection, String reason) {
			GatewayPeers.this.pieceClient.connectionLost(connection);
		}

	}

}
