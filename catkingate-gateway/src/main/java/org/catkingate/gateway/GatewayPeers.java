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

import org.catkingate.decisions.Rendezvous;
import org.catkingate.decisions.registry.RegistryView;
import org.catkingate.decisions.routing.Location;
import org.catkingate.model.InstanceId;
import org.catkingate.model.ModelName;
import org.catkingate.model.Role;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.model.registry.WeightsOrigin;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.peers.SeedLinks;
import org.catkingate.runtime.staging.PieceExchange;
import org.catkingate.runtime.staging.PieceOrigin;
import org.catkingate.wire.ConnectionListener;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.FrameTransport;
import org.catkingate.wire.Handshake;
import org.catkingate.wire.Message;
import org.catkingate.wire.Runners;
import org.catkingate.wire.SharedKey;
import org.catkingate.wire.Weights;

/**
 * A gateway's connections to other processes: it hands out pieces of weights and hears
 * from loaders what their runners do. What loaders say is passed on to gateways that
 * loaders cannot find. Used by the traffic thread only.
 */
final class GatewayPeers implements ConnectionListener {

	/** When to ask again for a piece that could not be had, in milliseconds. */
	private static final long PIECE_RETRY_AFTER_MILLIS = 150;

	/**
	 * How often gateways tell each other since when versions are declared, in
	 * milliseconds: far below the time that a change may take.
	 */
	private static final long DECLARATIONS_INTERVAL_MILLIS = 1000;

	private final Set<FrameConnection> acceptedConnections = new HashSet<>();

	private final Handshake.PeerIdentity self;

	private final FrameTransport transport;

	private final SeedLinks seedConnections;

	private final PieceExchange exchange;

	private final PieceCache cache;

	private final Supplier<Optional<WeightsOrigin>> publishedOrigin;

	private final RunnerTable table;

	private final DeclaredVersions versions;

	private final MonotonicClock clock;

	private final Map<FrameConnection, String> runnerAddresses = new HashMap<>();

	private RegistryView view = RegistryView.empty();

	private GatewayPeers(Handshake.PeerIdentity own, SharedKey key, List<InetSocketAddress> seeds, XnioWorker worker,
			Supplier<Optional<WeightsOrigin>> published, Supplier<Optional<PieceOrigin>> origin, RunnerTable table,
			DeclaredVersions versions, MonotonicClock clock) {
		this.self = own;
		this.publishedOrigin = published;
		this.table = table;
		this.versions = versions;
		this.clock = clock;
		this.exchange = PieceExchange.on(worker.getIoThread());
		this.cache = new PieceCache(this.exchange, this::upstream, origin, worker.getIoThread());
		this.transport = FrameTransport.on(worker, key, own);
		this.seedConnections = SeedLinks.start(this.transport, seeds, worker.getIoThread(),
				new Location(own.dataCentre(), own.region()), new SeedConnectionListener());
	}

	/**
	 * Starts to listen and to dial the other seeds.
	 * @param own who this process is
	 * @param key the key that all processes share
	 * @param listen where to listen
	 * @param seeds gateways that may be there, perhaps this one among them
	 * @param worker the I/O threads
	 * @param published the origin that the configuration names
	 * @param origin opens that origin
	 * @param table is given what others say of runners
	 * @param versions are given what others say of versions, and tell them theirs
	 * @param clock the clock
	 * @return the connections, never null
	 * @throws IOException if the address cannot be used
	 */
	static GatewayPeers start(Handshake.PeerIdentity own, SharedKey key, InetSocketAddress listen,
			List<InetSocketAddress> seeds, XnioWorker worker, Supplier<Optional<WeightsOrigin>> published,
			Supplier<Optional<PieceOrigin>> origin, RunnerTable table, DeclaredVersions versions, MonotonicClock clock)
			throws IOException {
		List<InetSocketAddress> others = seeds.stream().filter((seed) -> !seed.equals(listen)).toList();
		GatewayPeers peers = new GatewayPeers(own, key, others, worker, published, origin, table, versions, clock);
		peers.transport.listen(listen, peers);
		worker.getIoThread()
			.executeAtInterval(peers::broadcastDeclarations, DECLARATIONS_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		return peers;
	}

	/**
	 * Counts the gateways that are known to be alive.
	 * @return how many, with this one
	 */
	int gatewayCount() {
		Set<InstanceId> known = new HashSet<>();
		known.add(this.self.instance());
		this.seedConnections.nearestFirst().forEach((link) -> known.add(link.peer().instance()));
		inboundGateways().forEach((link) -> known.add(link.peer().instance()));
		return known.size();
	}

	/*
	 * The gateway beside the origin reads it; the others ask that one, so that a piece
	 * leaves the origin once and each region gets it once.
	 */
	private Optional<FrameConnection> upstream() {
		Optional<WeightsOrigin> origin = this.publishedOrigin.get();
		if (origin.isEmpty() || this.self.dataCentre().equals(origin.get().dataCentre())) {
			return Optional.empty();
		}
		return this.seedConnections.nearestFirst()
			.stream()
			.filter((link) -> link.peer().dataCentre().equals(origin.get().dataCentre()))
			.findFirst();
	}

	/**
	 * Tells other processes what is declared, so that loaders hear of it also over a
	 * connection to the registry that has gone silent, and gateways that have started
	 * since know how long ago it was.
	 * @param next what is believed now
	 */
	void update(RegistryView next) {
		boolean declared = !next.versions().equals(this.view.versions());
		this.view = next;
		if (declared) {
			this.acceptedConnections.forEach(this::sendDeclarations);
		}
	}

	private void sendDeclarations(FrameConnection link) {
		this.versions.messages(this.clock.millis()).forEach(link::send);
	}

	/*
	 * An age may be told too low: it waits on a link that is cut or full, and the clock
	 * of a machine that sleeps stands still. The next one corrects it.
	 */
	private void broadcastDeclarations() {
		inboundGateways().forEach(this::sendDeclarations);
		this.seedConnections.nearestFirst().forEach(this::sendDeclarations);
	}

	private Stream<FrameConnection> inboundGateways() {
		return this.acceptedConnections.stream().filter((link) -> link.peer().role() == Role.ENTRY);
	}

	private void receiveDeclaration(Runners.VersionDeclared told) {
		this.versions.addReported(told, this.clock.millis());
	}

	@Override
	public void opened(FrameConnection connection) {
		this.acceptedConnections.add(connection);
		sendDeclarations(connection);
	}

	@Override
	public void closed(FrameConnection connection, String reason) {
		this.acceptedConnections.remove(connection);
		this.runnerAddresses.remove(connection);
	}

	@Override
	public void received(FrameConnection connection, Message message) {
		if (message instanceof Weights.VersionQuestion question) {
			respond(connection, question);
		}
		else if (message instanceof Weights.ChunkRequest request) {
			respond(connection, request);
		}
		else if (message instanceof Runners.RunnerTold told) {
			this.table.recordReport(told, this.clock.millis());
			if (connection.peer().role() == Role.AGENT) {
				this.runnerAddresses.put(connection, told.address());
				inboundGateways().forEach((link) -> link.send(told));
			}
		}
		else if (message instanceof Runners.VersionDeclared told) {
			receiveDeclaration(told);
		}
	}

	/*
	 * Runners change one after the other, in an order that scatters those of a region.
	 */
	private void sendTurn(FrameConnection connection, ModelName model) {
		String address = this.runnerAddresses.get(connection);
		List<String> changing = this.view.runners()
			.values()
			.stream()
			.filter((runner) -> runner.models().containsKey(model))
			.sorted(Comparator.comparingLong((runner) -> Rendezvous.hash(runner.id().value())))
			.map(RegisteredRunner::writtenAddress)
			.toList();
		int place = changing.indexOf(address);
		if (place >= 0) {
			connection.send(new Runners.Turn(model, place, changing.size()));
		}
	}

	private void respond(FrameConnection connection, Weights.VersionQuestion question) {
		sendTurn(connection, question.model());
		this.cache.digests(question.model(), question.version()).whenComplete((digests, failure) -> {
			if (failure != null) {
				connection.send(new Weights.VersionDigests(question.model(), question.version(), 0, List.of()));
			}
			else {
				connection.send(new Weights.VersionDigests(digests.model(), digests.version(), digests.pieceBytes(),
						digests.digests()));
			}
		});
	}

	private void respond(FrameConnection connection, Weights.ChunkRequest request) {
		this.cache.piece(request.chunk())
			.ifPresentOrElse(
					(piece) -> piece.whenComplete((bytes,
							failure) -> connection.send((failure != null)
									? new Weights.ChunkRefusal(request.chunk(), PIECE_RETRY_AFTER_MILLIS)
									: new Weights.ChunkSlice(request.chunk(), 0, bytes))),
					() -> connection.send(new Weights.ChunkRefusal(request.chunk(), 0)));
	}

	void close() {
		this.seedConnections.close();
	}

	/**
	 * Takes what the gateways say that this one has dialled.
	 */
	private final class SeedConnectionListener implements ConnectionListener {

		@Override
		public void opened(FrameConnection connection) {
		}

		@Override
		public void received(FrameConnection connection, Message message) {
			if (message instanceof Runners.RunnerTold told) {
				GatewayPeers.this.table.recordReport(told, GatewayPeers.this.clock.millis());
			}
			else if (message instanceof Runners.VersionDeclared told) {
				receiveDeclaration(told);
			}
			else if (message instanceof Weights answer) {
				GatewayPeers.this.exchange.received(connection, answer);
			}
		}

		@Override
		public void closed(FrameConnection connection, String reason) {
			GatewayPeers.this.exchange.lost(connection);
		}

	}

}
