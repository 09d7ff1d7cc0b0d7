package org.catkingate.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.xnio.XnioWorker;

import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.decisions.distribution.GatewayTree;
import org.catkingate.decisions.registry.RegistryView;
import org.catkingate.decisions.routing.Location;
import org.catkingate.model.AddressFormatter;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.ModelName;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.permits.LimitReport;
import org.catkingate.model.prompts.PartReport;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.model.registry.RegistryPosition;
import org.catkingate.model.registry.WeightsOrigin;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.peers.ListedGateways;
import org.catkingate.runtime.peers.SeedConnections;
import org.catkingate.runtime.settings.PeerSettings;
import org.catkingate.runtime.staging.PeerPieceClient;
import org.catkingate.runtime.staging.PieceOrigin;
import org.catkingate.wire.ConnectionListener;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.FrameTransport;
import org.catkingate.wire.GatewayMessage;
import org.catkingate.wire.HandshakeMessage;
import org.catkingate.wire.LimitMessage;
import org.catkingate.wire.Message;
import org.catkingate.wire.PromptMessage;
import org.catkingate.wire.RegistryMessage;
import org.catkingate.wire.RunnerMessage;
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

	/**
	 * The interval at which reports on runners are forwarded, so that a fleet's reports
	 * reach a gateway in a few messages.
	 */
	private static final long FORWARDING_INTERVAL_MILLIS = 100;

	/**
	 * The interval at which processes are told that their requests for weights are
	 * pending, so that several statements fit into the time after which this gateway
	 * counts as silent.
	 */
	private static final long PENDING_INTERVAL_MILLIS = 250;

	private final Map<FrameConnection, Set<String>> openRequests = new HashMap<>();

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

	private final PromptGuard prompts;

	private final RunnerPermits permits;

	private final ColdRunners coldRunners;

	private final GatewayDirectory directory;

	private final ListedGateways listedGateways;

	private final SeedConnections listedConnections;

	private final String ownAddress;

	private final boolean seed;

	private final Function<DataCentreName, RegionName> regions;

	private final Map<String, RunnerMessage.RunnerUpdate> updatesToForward = new LinkedHashMap<>();

	private final Map<FrameConnection, String> runnerAddresses = new HashMap<>();

	private RegistryView view = RegistryView.empty();

	private GatewayPeers(HandshakeMessage.PeerIdentity self, PeerSettings settings, XnioWorker worker,
			Supplier<Optional<WeightsOrigin>> publishedOrigin, Supplier<Optional<PieceOrigin>> origin,
			Function<DataCentreName, RegionName> regions, RunnerTable table, DeclaredVersions versions,
			RegistryCopyExchange copies, PromptGuard prompts, RunnerPermits permits, ColdRunners coldRunners,
			MonotonicClock clock) {
		this.permits = permits;
		this.coldRunners = coldRunners;
		this.copies = copies;
		this.prompts = prompts;
		this.self = self;
		this.publishedOrigin = publishedOrigin;
		this.regions = regions;
		this.table = table;
		this.versions = versions;
		this.clock = clock;
		this.ownAddress = AddressFormatter.format(settings.listen());
		this.seed = settings.seeds().contains(settings.listen());
		this.directory = new GatewayDirectory(self, this.ownAddress);
		this.pieceClient = PeerPieceClient.create(worker.getIoThread(), clock);
		this.cache = new PieceCache(this.pieceClient, this::upstreams,
				(gateway) -> gateway.peer().region().equals(self.region()), this::countOriginReaders, versions::times,
				origin, clock, worker.getIoThread());
		this.transport = FrameTransport.createOn(worker, settings.sharedKey(), self);
		Location location = new Location(self.dataCentre(), self.region());
		Set<InetSocketAddress> known = new HashSet<>(settings.seeds());
		known.add(settings.listen());
		this.listedGateways = ListedGateways.of(self.instance(), known, GatewayMessage.GatewayList.MAX_ADDRESSES);
		this.listedConnections = SeedConnections.start(this.transport, List.of(), worker.getIoThread(), location,
				new OutboundConnectionListener());
		List<InetSocketAddress> otherSeeds = settings.seeds()
			.stream()
			.filter((address) -> !address.equals(settings.listen()))
			.toList();
		this.seedConnections = SeedConnections.start(this.transport, otherSeeds, worker.getIoThread(), location,
				new OutboundConnectionListener());
	}

	/**
	 * Starts to listen and to connect to the other seeds.
	 * @param self the identity of this process
	 * @param settings the address to listen on and the seeds, possibly including this one
	 * @param worker the I/O threads
	 * @param publishedOrigin the origin that the configuration names
	 * @param origin opens that origin
	 * @param regions the region of each data centre
	 * @param table receives the reports on runners
	 * @param versions receives the versions that others report, and provides those to
	 * send
	 * @param copies exchanges copies of the registry
	 * @param prompts receives and provides reports on parts of prompts
	 * @param permits receives and sends messages on the limits of runners
	 * @param coldRunners receives and sends the names of gateways
	 * @param clock the clock
	 * @return the connections, never null
	 * @throws IOException if the address cannot be used
	 */
	static GatewayPeers start(HandshakeMessage.PeerIdentity self, PeerSettings settings, XnioWorker worker,
			Supplier<Optional<WeightsOrigin>> publishedOrigin, Supplier<Optional<PieceOrigin>> origin,
			Function<DataCentreName, RegionName> regions, RunnerTable table, DeclaredVersions versions,
			RegistryCopyExchange copies, PromptGuard prompts, RunnerPermits permits, ColdRunners coldRunners,
			MonotonicClock clock) throws IOException {
		GatewayPeers peers = new GatewayPeers(self, settings, worker, publishedOrigin, origin, regions, table, versions,
				copies, prompts, permits, coldRunners, clock);
		permits.connect(worker.getIoThread(), peers.new PermitPeers());
		coldRunners
			.connect((message) -> peers.connectedGateways().values().forEach((gateway) -> gateway.send(message)));
		prompts.connect(peers::knownGateways, peers::broadcastReports);
		peers.transport.listen(settings.listen(), peers);
		worker.getIoThread()
			.executeAtInterval(peers::broadcastDeclarations, DECLARATIONS_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		worker.getIoThread()
			.executeAtInterval(peers::forwardUpdates, FORWARDING_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		worker.getIoThread().executeAtInterval(peers::sendPending, PENDING_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		return peers;
	}

	/**
	 * Counts the gateways that this one is connected to.
	 * @return the number, including this one
	 */
	int gatewayCount() {
		return knownGateways().size();
	}

	private Set<InstanceId> knownGateways() {
		Set<InstanceId> known = new HashSet<>();
		known.add(this.self.instance());
		outboundGateways().forEach((gateway) -> known.add(gateway.peer().instance()));
		inboundGateways().forEach((gateway) -> known.add(gateway.peer().instance()));
		return known;
	}

	private List<FrameConnection> upstreams(String piece) {
		Map<InstanceId, FrameConnection> connected = new HashMap<>();
		outboundGateways().filter((gateway) -> !this.pieceClient.isUnresponsive(gateway))
			.forEach((gateway) -> connected.put(gateway.peer().instance(), gateway));
		List<GatewayTree.Member> members = connected.values()
			.stream()
			.map((gateway) -> member(gateway.peer()))
			.toList();
		return GatewayTree.upstreams(piece, member(this.self), members, originRegion())
			.stream()
			.map(connected::get)
			.toList();
	}

	private static GatewayTree.Member member(HandshakeMessage.PeerIdentity gateway) {
		return new GatewayTree.Member(gateway.instance(), gateway.region());
	}

	private Optional<RegionName> originRegion() {
		return this.publishedOrigin.get().map(WeightsOrigin::dataCentre).map(this.regions);
	}

	private int countOriginReaders() {
		Optional<RegionName> region = originRegion();
		int others = (int) outboundGateways().filter((gateway) -> !this.pieceClient.isUnresponsive(gateway))
			.filter((gateway) -> region.isEmpty() || gateway.peer().region().equals(region.get()))
			.map((gateway) -> gateway.peer().instance())
			.distinct()
			.count();
		return others + 1;
	}

	/**
	 * Returns the counters of reads from the origin.
	 * @return the number by outcome
	 */
	Map<String, Long> originReadCounts() {
		return this.cache.originReadCounts();
	}

	private Stream<FrameConnection> outboundGateways() {
		return Stream.concat(this.seedConnections.nearestFirst().stream(),
				this.listedConnections.nearestFirst().stream());
	}

	/**
	 * Applies a new view of the registry, and sends changed versions to connected
	 * processes. Loaders thus receive them even if their connection to the registry has
	 * stalled, and gateways that have started later receive their age.
	 * @param next the new view
	 */
	void update(RegistryView next) {
		boolean versionsChanged = !next.versions().equals(this.view.versions());
		boolean started = this.view.configuration().isPresent();
		this.view = next;
		if (versionsChanged) {
			if (started) {
				prefetchPieces(next);
			}
			this.acceptedConnections.forEach(this::sendDeclarations);
		}
	}

	/*
	 * Requesting the digests starts to fetch the pieces. A gateway that has just started
	 * waits until it is asked, since it knows no other gateways yet and would read all
	 * pieces from the origin.
	 */
	private void prefetchPieces(RegistryView declared) {
		declared.versions().forEach(this.cache::digests);
	}

	/**
	 * Requests the copy of the registry that another gateway has. Only gateways that the
	 * settings name are asked, since this process has chosen their addresses.
	 * @param after the position of this process's copy
	 */
	void requestRegistryCopy(RegistryPosition after) {
		this.copies.request(this.seedConnections.nearestFirst(), after);
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

	/*
	 * Reports that change nothing at a receiver are not forwarded by it, so that they do
	 * not circulate.
	 */
	private void broadcastReports(List<PartReport> reports) {
		connectedGateways().values().forEach((gateway) -> sendReports(gateway, reports));
	}

	private Map<InstanceId, FrameConnection> connectedGateways() {
		Map<InstanceId, FrameConnection> connected = new HashMap<>();
		inboundGateways().forEach((gateway) -> connected.put(gateway.peer().instance(), gateway));
		outboundGateways().forEach((gateway) -> connected.put(gateway.peer().instance(), gateway));
		return connected;
	}

	private void sendSnapshots(FrameConnection gateway) {
		this.coldRunners.addConnected(gateway.peer().instance()).ifPresent(gateway::send);
		sendReports(gateway, this.prompts.snapshot());
		List<LimitReport> limits = this.permits.snapshot();
		for (int from = 0; from < limits.size(); from += LimitMessage.LimitReports.MAX_REPORTS) {
			int to = Math.min(limits.size(), from + LimitMessage.LimitReports.MAX_REPORTS);
			gateway.send(new LimitMessage.LimitReports(limits.subList(from, to)));
		}
	}

	private static void sendReports(FrameConnection gateway, List<PartReport> reports) {
		for (int from = 0; from < reports.size(); from += PromptMessage.PartReports.MAX_REPORTS) {
			int to = Math.min(reports.size(), from + PromptMessage.PartReports.MAX_REPORTS);
			gateway.send(new PromptMessage.PartReports(reports.subList(from, to)));
		}
	}

	private void forwardUpdates() {
		if (this.seed) {
			this.directory.sendChangedLists(originRegion());
		}
		if (!this.updatesToForward.isEmpty()) {
			RunnerMessage.RunnerUpdates updates = new RunnerMessage.RunnerUpdates(
					List.copyOf(this.updatesToForward.values()));
			this.updatesToForward.clear();
			inboundGateways().forEach((gateway) -> gateway.send(updates));
		}
	}

	private void recordReport(RunnerMessage.RunnerUpdate report) {
		this.table.recordReport(report, this.clock.millis());
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
		this.directory.addReceiver(connection);
		sendDeclarations(connection);
		if (connection.peer().role() == Role.ENTRY) {
			sendSnapshots(connection);
		}
	}

	@Override
	public void onClosed(FrameConnection connection, String reason) {
		this.acceptedConnections.remove(connection);
		this.openRequests.remove(connection);
		this.copies.connectionLost(connection);
		this.directory.remove(connection);
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
			recordReport(report);
			this.runnerAddresses.put(connection, report.address());
		}
		else if (message instanceof RunnerMessage.ForwardedUpdate forwarded) {
			recordReport(forwarded.update());
			this.runnerAddresses.put(connection, forwarded.update().address());
			this.updatesToForward.put(forwarded.update().address(), forwarded.update());
		}
		else if (message instanceof GatewayMessage.GatewayAddress address && connection.peer().role() == Role.ENTRY) {
			this.directory.add(connection, address);
		}
		else if (message instanceof RunnerMessage.VersionDeclaration declaration) {
			receiveDeclaration(declaration);
		}
		else if (message instanceof RegistryMessage.CopyRequest request && connection.peer().role() == Role.ENTRY) {
			this.copies.respond(connection, request);
		}
		else if (message instanceof PromptMessage.PartReports reports && connection.peer().role() == Role.ENTRY) {
			this.prompts.receive(reports.reports());
		}
		else if (message instanceof LimitMessage limit && connection.peer().role() == Role.ENTRY) {
			this.permits.receive(connection.peer().instance(), limit);
		}
		else if (message instanceof GatewayMessage.KnownGateways known && connection.peer().role() == Role.ENTRY) {
			receiveGateways(connection, known);
		}
	}

	private void receiveGateways(FrameConnection connection, GatewayMessage.KnownGateways known) {
		this.coldRunners
			.receive(connection.peer().instance(), this.seedConnections.nearestFirst().contains(connection), known,
					this.clock.millis())
			.ifPresent(connection::send);
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
		respond(connection, WeightsMessage.RequestsPending.subject(request.model(), request.version()),
				this.cache.digests(request.model(), request.version()),
				(digests) -> new WeightsMessage.VersionDigests(digests.model(), digests.version(), digests.pieceBytes(),
						digests.digests()),
				new WeightsMessage.VersionDigests(request.model(), request.version(), 0, List.of()));
	}

	private void respond(FrameConnection connection, WeightsMessage.ChunkRequest request) {
		this.cache.piece(request.chunk())
			.ifPresentOrElse(
					(piece) -> respond(connection, request.chunk().hex(), piece,
							(bytes) -> new WeightsMessage.ChunkSlice(request.chunk(), 0, bytes),
							new WeightsMessage.ChunkRejection(request.chunk(), PIECE_RETRY_AFTER_MILLIS)),
					() -> connection.send(new WeightsMessage.ChunkRejection(request.chunk(), 0)));
	}

	private <T> void respond(FrameConnection connection, String subject, CompletableFuture<T> content,
			Function<T, WeightsMessage> provided, WeightsMessage rejection) {
		if (!content.isDone()) {
			this.openRequests.computeIfAbsent(connection, (key) -> new LinkedHashSet<>()).add(subject);
			if (!isGateway(connection)) {
				// a loader requests other pieces meanwhile
				sendPending(connection, List.of(subject));
			}
		}
		content.whenComplete((result, failure) -> {
			Set<String> open = this.openRequests.get(connection);
			if (open != null && open.remove(subject) && open.isEmpty()) {
				this.openRequests.remove(connection);
			}
			connection.send((failure != null) ? rejection : provided.apply(result));
		});
	}

	private static boolean isGateway(FrameConnection connection) {
		return connection.peer().role() == Role.ENTRY;
	}

	private void sendPending() {
		this.openRequests.forEach(this::sendPending);
	}

	/*
	 * Gateways are told only if this one reads from the origin or has recently been told
	 * so itself. Two gateways that wait for each other, since they know different regions
	 * of the origin, thus do not keep each other waiting.
	 */
	private void sendPending(FrameConnection connection, Collection<String> subjects) {
		List<String> pending = new ArrayList<>();
		List<String> unavailable = new ArrayList<>();
		for (String subject : subjects) {
			Optional<Boolean> available = this.cache.originStatement(subject);
			if ((available.isPresent() || !isGateway(connection))
					&& pending.size() < WeightsMessage.RequestsPending.MAX_SUBJECTS) {
				pending.add(subject);
				if (available.isPresent() && !available.get()) {
					unavailable.add(subject);
				}
			}
		}
		if (!pending.isEmpty()) {
			connection.send(new WeightsMessage.RequestsPending(pending, unavailable));
		}
	}

	void close() {
		this.seedConnections.close();
		this.listedConnections.close();
	}

	/**
	 * The other gateways, of which the seeds issue permits.
	 */
	private final class PermitPeers implements RunnerPermits.Peers {

		@Override
		public Collection<InstanceId> issuers() {
			return GatewayPeers.this.seedConnections.nearestFirst()
				.stream()
				.map((gateway) -> gateway.peer().instance())
				.toList();
		}

		@Override
		public int gatewayCount() {
			return GatewayPeers.this.gatewayCount();
		}

		@Override
		public void send(InstanceId gateway, LimitMessage message) {
			FrameConnection connection = connectedGateways().get(gateway);
			if (connection != null) {
				connection.send(message);
			}
		}

		@Override
		public void broadcast(LimitMessage message) {
			connectedGateways().values().forEach((gateway) -> gateway.send(message));
		}

	}

	/**
	 * A listener for messages on the connections that this gateway has opened.
	 */
	private final class OutboundConnectionListener implements ConnectionListener {

		@Override
		public void onOpened(FrameConnection connection) {
			connection.send(new GatewayMessage.GatewayAddress(GatewayPeers.this.ownAddress));
			sendSnapshots(connection);
		}

		@Override
		public void onReceived(FrameConnection connection, Message message) {
			if (message instanceof RunnerMessage.RunnerUpdates reports) {
				reports.updates().forEach(GatewayPeers.this::recordReport);
			}
			else if (message instanceof GatewayMessage.GatewayList list) {
				GatewayPeers.this.listedConnections
					.replaceAddresses(GatewayPeers.this.listedGateways.update(connection, list.addresses()));
			}
			else if (message instanceof RunnerMessage.VersionDeclaration declaration) {
				receiveDeclaration(declaration);
			}
			else if (message instanceof RegistryMessage.CopyContent copy) {
				GatewayPeers.this.copies.receive(connection, copy);
			}
			else if (message instanceof PromptMessage.PartReports reports && connection.peer().role() == Role.ENTRY) {
				GatewayPeers.this.prompts.receive(reports.reports());
			}
			else if (message instanceof LimitMessage limit && connection.peer().role() == Role.ENTRY) {
				GatewayPeers.this.permits.receive(connection.peer().instance(), limit);
			}
			else if (message instanceof GatewayMessage.KnownGateways known && connection.peer().role() == Role.ENTRY) {
				receiveGateways(connection, known);
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
