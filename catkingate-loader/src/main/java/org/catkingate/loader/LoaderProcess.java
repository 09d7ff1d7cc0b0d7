package org.catkingate.loader;

import java.io.IOException;
import java.net.URI;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioWorker;

import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.decisions.loading.LoadEvent;
import org.catkingate.decisions.loading.LoadReducer;
import org.catkingate.decisions.loading.LoadSettings;
import org.catkingate.decisions.loading.LoadState;
import org.catkingate.decisions.loading.ReadyEstimate;
import org.catkingate.decisions.membership.ProcessIdentity;
import org.catkingate.decisions.registry.FollowTimes;
import org.catkingate.decisions.registry.RegistryView;
import org.catkingate.decisions.routing.Location;
import org.catkingate.model.AddressFormatter;
import org.catkingate.model.ModelName;
import org.catkingate.model.RegionName;
import org.catkingate.model.registry.EngineProfile;
import org.catkingate.model.registry.ServingConfiguration;
import org.catkingate.runtime.ControlLoop;
import org.catkingate.runtime.MomentSource;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.http.BufferedHttpClient;
import org.catkingate.runtime.http.IoThreads;
import org.catkingate.runtime.operators.OperatorsEndpoint;
import org.catkingate.runtime.operators.Readiness;
import org.catkingate.runtime.peers.ListedGateways;
import org.catkingate.runtime.peers.SeedConnections;
import org.catkingate.runtime.process.ProcessIdentities;
import org.catkingate.runtime.process.RunningProcess;
import org.catkingate.runtime.registry.RegistryFactory;
import org.catkingate.runtime.registry.RegistryFollower;
import org.catkingate.runtime.settings.LoaderSettings;
import org.catkingate.runtime.staging.LocalRunnerFactory;
import org.catkingate.runtime.staging.PeerPieceClient;
import org.catkingate.runtime.staging.PieceOrigin;
import org.catkingate.runtime.staging.PieceOriginFactory;
import org.catkingate.runtime.staging.RunnerReport;
import org.catkingate.wire.ConnectionListener;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.FrameTransport;
import org.catkingate.wire.GatewayMessage;
import org.catkingate.wire.Message;
import org.catkingate.wire.RunnerMessage;
import org.catkingate.wire.WeightsMessage;

/**
 * A loader process. One I/O thread handles all calls, one control thread follows the
 * registry, and one controls the loading of weights. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class LoaderProcess implements RunningProcess {

	private static final Logger logger = LoggerFactory.getLogger(LoaderProcess.class);

	/** The interval at which reports are requested from the runner on this machine. */
	private static final long RUNNER_POLL_INTERVAL_MILLIS = 200;

	/** The interval at which an unchanged report is sent to the gateways again. */
	private static final long REPORT_REPEAT_INTERVAL_MILLIS = 900;

	/** The maximum number of gateways in the region that pieces are requested from. */
	private static final int MAX_LISTED_GATEWAYS = 4;

	private static final long TICK_INTERVAL_MILLIS = 100;

	/**
	 * The minimum time between two reads of the configuration. A loader needs only the
	 * models and the origin from it, which rarely change, while loaders that all fetch a
	 * long configuration at the same time saturate the network links between regions.
	 */
	private static final long MIN_REREAD_INTERVAL_MILLIS = 45_000;

	private final Readiness readiness = Readiness.starting();

	private final PrometheusRegistry metrics = new PrometheusRegistry();

	private final LoaderSettings settings;

	private final MonotonicClock clock;

	private final XnioWorker worker;

	private final BufferedHttpClient httpClient;

	private final PieceOriginFactory origins;

	private final LoadEffectExecutor effectExecutor;

	private final ControlLoop<LoadState> loop;

	private final PeerPieceClient pieceClient;

	private final ListedGateways listedGateways;

	private final SeedConnections listedConnections;

	private final SeedConnections seedConnections;

	private final RegistryFollower follower;

	private final OperatorsEndpoint operators;

	private RunnerMessage.RunnerUpdate lastReport;

	private long lastReportAtMillis;

	private LoaderProcess(LoaderSettings settings, RegistryFactory registry, PieceOriginFactory origins,
			LocalRunnerFactory runners, MonotonicClock clock) throws IOException {
		this.settings = settings;
		this.clock = clock;
		this.origins = origins;
		this.worker = IoThreads.start("calls", 1);
		this.httpClient = BufferedHttpClient.create(this.worker);
		this.pieceClient = PeerPieceClient.create(this.worker.getIoThread(), clock);
		ProcessIdentity self = ProcessIdentities.of(settings.process());
		FrameTransport transport = FrameTransport.createOn(this.worker, settings.peers().sharedKey(),
				ProcessIdentities.toPeerIdentity(self));
		Location location = new Location(self.dataCentre(), self.region());
		this.listedGateways = ListedGateways.of(self.instance(), Set.copyOf(settings.peers().seeds()),
				MAX_LISTED_GATEWAYS);
		PieceFetcher pieceFetcher = new PieceFetcher(this.pieceClient, this::pieceSources, this::origin, clock);
		this.effectExecutor = new LoadEffectExecutor(
				runners.open(this.httpClient, URI.create(AddressFormatter.formatUrl(settings.runner()))), pieceFetcher,
				this.worker.getIoThread(), clock, this::submit);
		long seed = RendezvousHashing.hash(settings.process().instance().value());
		this.loop = ControlLoop.prepare(LoadState.initial(LoadSettings.of(settings.weightsChangeMillis(), seed)),
				LoadReducer.create(), this.effectExecutor::execute, clock, LoadEvent.Ticked::new,
				(state) -> TICK_INTERVAL_MILLIS);
		this.follower = RegistryFollower.of(registry.open(this.httpClient, settings.registry().url()),
				FollowTimes.forVersionsOnly(settings.registry().watchMillis()), new SecureRandom().nextLong(), clock,
				MomentSource.system(), this::applyView, (position) -> {
				});
		// messages may arrive as soon as a connection is opened
		this.listedConnections = SeedConnections.start(transport, List.of(), this.worker.getIoThread(), location,
				new GatewayConnectionListener());
		this.seedConnections = SeedConnections.start(transport, settings.peers().seeds(), this.worker.getIoThread(),
				location, new GatewayConnectionListener());
		registerMetrics();
		this.operators = OperatorsEndpoint.start(settings.operators().addresses(), this.readiness, this.metrics,
				this::state);
		this.loop.begin();
		this.follower.start();
		scheduleReread();
		this.worker.getIoThread()
			.executeAtInterval(this::pollRunner, RUNNER_POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Starts a loader.
	 * @param settings the settings
	 * @param registry opens the registry
	 * @param origins opens the origin of weights
	 * @param runners opens the client of the runner
	 * @return the running loader, never null
	 * @throws IOException if an address cannot be used
	 */
	public static LoaderProcess start(LoaderSettings settings, RegistryFactory registry, PieceOriginFactory origins,
			LocalRunnerFactory runners) throws IOException {
		LoaderProcess process = new LoaderProcess(settings, registry, origins, runners, MonotonicClock.system());
		logger.atInfo()
			.addKeyValue("event", "started")
			.addKeyValue("instance", settings.process().instance())
			.addKeyValue("runner", settings.runner())
			.addKeyValue("operators", process.operators.address())
			.log("loader started");
		return process;
	}

	private Optional<PieceOrigin> origin() {
		return this.follower.view()
			.configuration()
			.flatMap(ServingConfiguration::origin)
			.map((origin) -> this.origins.open(this.httpClient, origin.address()));
	}

	/*
	 * The delay is random, so that loaders do not read at the same time.
	 */
	private void scheduleReread() {
		this.worker.getIoThread().executeAfter(() -> {
			this.follower.reread();
			scheduleReread();
		}, MIN_REREAD_INTERVAL_MILLIS + ThreadLocalRandom.current().nextLong(MIN_REREAD_INTERVAL_MILLIS),
				TimeUnit.MILLISECONDS);
	}

	private void submit(LoadEvent event) {
		this.loop.submit(event);
	}

	private void applyView(RegistryView view) {
		Optional<EngineProfile> engine = view.configuration()
			.flatMap((configuration) -> configuration.engine(this.settings.service()));
		if (engine.isPresent()) {
			Map<ModelName, Long> versions = new HashMap<>();
			engine.get().models().forEach((model) -> versions.put(model, view.version(model)));
			submit(new LoadEvent.Declared(versions));
			this.readiness.markReady();
		}
	}

	private void handleDeclaration(RunnerMessage.VersionDeclaration declaration) {
		boolean served = this.follower.view()
			.configuration()
			.flatMap((configuration) -> configuration.engine(this.settings.service()))
			.map((engine) -> engine.models().contains(declaration.model()))
			.orElse(false);
		if (served) {
			submit(new LoadEvent.Declared(Map.of(declaration.model(), declaration.version())));
		}
	}

	private void pollRunner() {
		this.effectExecutor.requestReport().whenComplete((report, failure) -> {
			if (failure != null) {
				submit(new LoadEvent.RunnerUnavailable());
				return;
			}
			submit(new LoadEvent.Reported(report.startedAtEpochMillis(), report.loading(), report.models()));
			sendReport(report);
		});
	}

	private void sendReport(RunnerReport report) {
		Map<String, Long> models = new HashMap<>();
		report.models().forEach((model, version) -> models.put(model.value(), version));
		RunnerMessage.RunnerUpdate next = new RunnerMessage.RunnerUpdate(
				AddressFormatter.format(this.settings.runner()), report.startedAtEpochMillis(), report.loading(),
				report.running(), report.waiting(), models, readyInMillis());
		long now = this.clock.millis();
		if (!next.equals(this.lastReport) || now - this.lastReportAtMillis >= REPORT_REPEAT_INTERVAL_MILLIS) {
			this.lastReport = next;
			this.lastReportAtMillis = now;
			send(next);
		}
	}

	private long readyInMillis() {
		return ReadyEstimate.readyInMillis(this.loop.state(), this.clock.millis())
			.orElse(RunnerMessage.RunnerUpdate.UNKNOWN_READY_TIME);
	}

	/*
	 * All seeds receive the report directly, and the first one forwards it to the other
	 * gateways.
	 */
	private void send(RunnerMessage.RunnerUpdate report) {
		boolean first = true;
		for (FrameConnection seed : this.seedConnections.nearestFirst()) {
			seed.send(first ? new RunnerMessage.ForwardedUpdate(report) : report);
			first = false;
		}
	}

	/*
	 * The gateways of the region come first, in an order that differs by loader and piece
	 * and thus spreads the load over them. Those that do not respond come last.
	 */
	private List<FrameConnection> pieceSources(String piece) {
		RegionName region = this.settings.process().region();
		List<FrameConnection> sources = new ArrayList<>(this.listedConnections.nearestFirst());
		sources.addAll(this.seedConnections.nearestFirst());
		String prefix = this.settings.process().instance() + "/" + piece + "/";
		sources.sort(Comparator.<FrameConnection, Boolean>comparing(this.pieceClient::isUnresponsive)
			.thenComparing((gateway) -> !gateway.peer().region().equals(region))
			.thenComparingLong((gateway) -> RendezvousHashing.hash(prefix + gateway.peer().instance())));
		return sources;
	}

	private void registerMetrics() {
		this.follower.registerMetrics(this.metrics);
		GaugeWithCallback.builder()
			.name("catkingate_weights_missing_pieces")
			.help("Pieces of the declared version that are not staged")
			.labelNames("model")
			.callback((callback) -> this.loop.state()
				.loads()
				.forEach((model, load) -> callback.call(load.missingCount(), model.value())))
			.register(this.metrics);
		GaugeWithCallback.builder()
			.name("catkingate_weights_ready_in_milliseconds")
			.help("The estimated time until the runner serves the declared versions, -1 without an estimate")
			.callback((callback) -> callback.call(readyInMillis()))
			.register(this.metrics);
	}

	private Map<String, Object> state() {
		Map<String, Object> state = new TreeMap<>();
		state.put("registryEra", this.follower.view().position().era());
		state.put("registryRevision", this.follower.view().position().revision());
		state.put("registryAgeMillis", this.follower.ageMillis());
		state.put("runner", this.loop.state().lastReport().map(String::valueOf).orElse("no report"));
		this.loop.state()
			.loads()
			.forEach((model, load) -> state.put("model " + model, load.step() + " version " + load.version()));
		return state;
	}

	@Override
	public void stop() {
		this.readiness.markStopping();
		logger.atInfo().addKeyValue("event", "stopped").log("loader stopped");
		this.listedConnections.close();
		this.seedConnections.close();
		this.follower.close();
		this.loop.close();
		this.operators.close();
		this.worker.shutdownNow();
	}

	/**
	 * A listener for messages of gateways.
	 */
	private final class GatewayConnectionListener implements ConnectionListener {

		@Override
		public void onOpened(FrameConnection connection) {
			if (LoaderProcess.this.lastReport != null) {
				connection.send(LoaderProcess.this.lastReport);
			}
		}

		@Override
		public void onReceived(FrameConnection connection, Message message) {
			if (message instanceof WeightsMessage response) {
				LoaderProcess.this.pieceClient.onReceived(connection, response);
				if (response instanceof WeightsMessage.RequestsPending pending) {
					submit(new LoadEvent.PiecesPending(pending.subjects()));
				}
			}
			else if (message instanceof RunnerMessage.VersionDeclaration declaration) {
				handleDeclaration(declaration);
			}
			else if (message instanceof GatewayMessage.GatewayList list) {
				LoaderProcess.this.listedConnections
					.replaceAddresses(LoaderProcess.this.listedGateways.update(connection, list.addresses()));
			}
			else if (message instanceof RunnerMessage.RolloutPosition position) {
				submit(new LoadEvent.TurnAssigned(position.model(), position.position(), position.total()));
			}
		}

		@Override
		public void onClosed(FrameConnection connection, String reason) {
			LoaderProcess.this.pieceClient.connectionLost(connection);
		}

	}

}
