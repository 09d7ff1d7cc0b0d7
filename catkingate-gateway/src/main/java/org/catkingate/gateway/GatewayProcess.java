package org.catkingate.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

import org.catkingate.decisions.admission.AdmissionPolicies;
import org.catkingate.decisions.coldstart.KnownGateways;
import org.catkingate.decisions.permits.RunnerLimits;
import org.catkingate.decisions.registry.FollowTimes;
import org.catkingate.decisions.registry.KeyAcceptance;
import org.catkingate.decisions.registry.RegistryView;
import org.catkingate.decisions.routing.Distance;
import org.catkingate.decisions.routing.Location;
import org.catkingate.model.AddressFormatter;
import org.catkingate.model.RegionName;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.model.registry.RegistryPosition;
import org.catkingate.model.registry.ServingConfiguration;
import org.catkingate.model.registry.WeightsOrigin;
import org.catkingate.runtime.MomentSource;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.calls.HeaderCodec;
import org.catkingate.runtime.http.BufferedHttpClient;
import org.catkingate.runtime.http.CallerConnectionLimit;
import org.catkingate.runtime.http.CallerConnectionMetrics;
import org.catkingate.runtime.http.CallerServer;
import org.catkingate.runtime.http.ConnectionPool;
import org.catkingate.runtime.http.IoThreads;
import org.catkingate.runtime.http.RequestBodies;
import org.catkingate.runtime.operators.OperatorsEndpoint;
import org.catkingate.runtime.operators.Readiness;
import org.catkingate.runtime.process.GracefulShutdown;
import org.catkingate.runtime.process.OpenFileLimit;
import org.catkingate.runtime.process.ProcessIdentities;
import org.catkingate.runtime.process.RunningProcess;
import org.catkingate.runtime.registry.RegistryFactory;
import org.catkingate.runtime.registry.RegistryFollower;
import org.catkingate.runtime.settings.GatewaySettings;
import org.catkingate.runtime.settings.PeerSettings;
import org.catkingate.runtime.staging.PieceOrigin;
import org.catkingate.runtime.staging.PieceOriginFactory;
import org.catkingate.wire.HandshakeMessage;

/**
 * A gateway process. One I/O thread handles all traffic and owns the state of the
 * runners; one control thread follows the registry. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class GatewayProcess implements RunningProcess {

	private static final Logger logger = LoggerFactory.getLogger(GatewayProcess.class);

	private static final int BUFFER_BYTES = 16 * 1024;

	/**
	 * The minimum number of gateways among which the retry allowance and the connections
	 * to runners are divided. It exceeds the number in a small deployment, so that the
	 * sum over all gateways stays within the allowance.
	 */
	private static final int MIN_ASSUMED_GATEWAYS = 6;

	/** The maximum number of idle connections to one runner: two for each slot. */
	private static final int MAX_IDLE_CONNECTIONS = 32;

	/**
	 * The maximum number of idle connections to all runners together, but one to each may
	 * be idle in any case. They use descriptors that are reserved from those for callers.
	 */
	private static final int MAX_TOTAL_IDLE_CONNECTIONS = 384;

	/** The number of gateways that may exist without being connected to this one. */
	private static final int ASSUMED_UNCONNECTED_GATEWAYS = 2;

	/**
	 * The interval at which it is determined again which runners are cold, well below the
	 * time for which they are.
	 */
	private static final long COLD_UPDATE_INTERVAL_MILLIS = 250;

	/**
	 * The part of the time for a version change that is reserved for detecting the change
	 * and for withdrawing a request from its runner. Other gateways send the age of the
	 * declaration, and a message to a runner may queue behind two pieces on the network
	 * link.
	 */
	private static final long CHANGE_MARGIN_MILLIS = 400;

	/**
	 * The part of the settling time that is reserved for the time before the settings are
	 * read and for a request to reach its runner.
	 */
	private static final long SETTLING_MARGIN_MILLIS = 1000;

	/**
	 * The part of the maximum age of the registry copy for accepting keys that is
	 * reserved for inaccurate clocks and for the delay of the network.
	 */
	private static final long REGISTRY_AGE_MARGIN_MILLIS = 250;

	/**
	 * The time that the traffic thread may take to describe its state, in milliseconds.
	 */
	private static final long STATE_TIMEOUT_MILLIS = 500;

	private final Readiness readiness = Readiness.startingWhile(this::canAcceptKeys);

	private final PrometheusRegistry metrics = new PrometheusRegistry();

	private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);

	private final GatewaySettings settings;

	private final MonotonicClock clock;

	private final XnioWorker worker;

	private final BufferedHttpClient httpClient;

	private final PieceOriginFactory origins;

	private final GatewayMetrics gatewayMetrics;

	private final RunnerIntakeLog intakeLog;

	private final RunnerPermits permits;

	private final ColdRunners coldRunners;

	private final DeclaredVersions versions;

	private final RunnerTable runners;

	private final RegistryFollower follower;

	private final RegistryCopy registry;

	private final CallerConnectionLimit connectionLimit;

	private final CallerServer callerServer;

	private final GatewayPeers peers;

	private final OperatorsEndpoint operators;

	private final GracefulShutdown gracefulShutdown;

	private final WaitingCalls waitingCalls;

	private final RequestBodies requestBodies;

	private final ShutdownState shutdownState = new ShutdownState();

	private final CallerConnections connections;

	private GatewayProcess(GatewaySettings settings, RegistryFactory registry, PieceOriginFactory origins,
			HeaderCodec codec, MonotonicClock clock) throws IOException {
		this.settings = settings;
		this.clock = clock;
		this.worker = IoThreads.start("traffic", 1);
		HandshakeMessage.PeerIdentity identity = ProcessIdentities
			.toPeerIdentity(ProcessIdentities.of(settings.process()));
		this.connectionLimit = new CallerConnectionLimit(CallerConnectionLimit
			.limitFor(settings.callers().openFiles().orElseGet(OpenFileLimit::read), Runtime.getRuntime().maxMemory()));
		this.callerServer = CallerServer.bind(settings.callers().listen(), this.worker, this.buffers,
				CallerServerOptions.of(Optional.empty()), ValidatingSourceConduit::install, this.connectionLimit,
				clock);
		this.requestBodies = new RequestBodies(settings.requestBodyBytes(), Runtime.getRuntime().maxMemory());
		this.connections = new CallerConnections(this.shutdownState, this.requestBodies::release);
		this.origins = origins;
		this.gatewayMetrics = GatewayMetrics.registerIn(this.metrics);
		this.intakeLog = new RunnerIntakeLog(this.gatewayMetrics);
		this.permits = new RunnerPermits(createLimits(identity, settings.peers()), this.intakeLog, clock);
		this.coldRunners = new ColdRunners(settings.coldRunners(), createKnownGateways(identity, settings.peers()),
				this::registryAgeMillis, System::currentTimeMillis);
		this.versions = new DeclaredVersions(settings.weights().changeMillis() - CHANGE_MARGIN_MILLIS,
				clock.millis() + settings.weights().settlingMillis() - SETTLING_MARGIN_MILLIS);
		this.runners = new RunnerTable(this::createRunnerState, AdmissionPolicies.earliestFirstEvent(), this.versions);
		this.httpClient = BufferedHttpClient.create(this.worker);
		this.follower = RegistryFollower.of(registry.open(this.httpClient, settings.registry().url()),
				FollowTimes.forAllItems(settings.registry().watchMillis()), new SecureRandom().nextLong(), clock,
				MomentSource.system(), this::applyView, this::requestRegistryCopy);
		RegistryCopyExchange copies = new RegistryCopyExchange(this.follower, MomentSource.system());
		this.registry = new RegistryCopy(this.follower,
				new KeyAcceptance(settings.keyValidityMillis() - REGISTRY_AGE_MARGIN_MILLIS), copies::othersAgeMillis);
		PromptGuard prompts = new PromptGuard(identity.instance(), this.worker.getIoThread(), clock,
				this.runners::count);
		this.runners.onUnmet(this.gatewayMetrics::countUnmet);
		this.runners.onRemoval(prompts::recordRemoval);
		SharedCallState sharedCallState = new SharedCallState(this.runners, codec, settings.retries(),
				this::gatewayCount, this::assumedGatewayCount, clock, this.gatewayMetrics, prompts,
				new RequestCosts(settings.routing().byCost(), this.gatewayMetrics), ResponseMemory
					.create(settings.slowReaderBytes(), Runtime.getRuntime().maxMemory(), clock, this.gatewayMetrics),
				this.shutdownState);
		this.peers = GatewayPeers.start(identity, settings.peers(), this.worker, this::publishedOrigin,
				this::openOrigin, settings.regions()::get, this.runners, this.versions, copies, prompts, this.permits,
				this.coldRunners, clock);
		this.waitingCalls = sharedCallState.waitingCalls();
		this.runners.onChange(this.waitingCalls::check);
		this.permits.onPermit(() -> this.worker.getIoThread().execute(this.waitingCalls::check));
		this.worker.getIoThread()
			.executeAtInterval(() -> this.coldRunners.update(clock.millis()), COLD_UPDATE_INTERVAL_MILLIS,
					TimeUnit.MILLISECONDS);
		TrafficDelay.measure(this.worker.getIoThread(), clock, this.gatewayMetrics::recordTrafficDelay);
		registerMetrics();
		this.operators = OperatorsEndpoint.start(settings.operators().addresses(), this.readiness, this.metrics,
				this::state);
		this.gracefulShutdown = GracefulShutdown.create(settings.shutdown(), this.readiness, clock);
		this.follower.start();
		this.callerServer.startAccepting(new RequestHandler(sharedCallState, this.registry, this.connections,
				this.requestBodies, clock.millis()));
	}

	/*
	 * The seeds issue permits, since all gateways name the same ones. A gateway without
	 * seeds is alone.
	 */
	private static RunnerLimits createLimits(HandshakeMessage.PeerIdentity identity, PeerSettings settings) {
		List<String> seeds = settings.seeds().stream().map(AddressFormatter::format).distinct().sorted().toList();
		return seeds.isEmpty() ? new RunnerLimits(identity.instance(), 0, 1) : new RunnerLimits(identity.instance(),
				seeds.indexOf(AddressFormatter.format(settings.listen())), seeds.size());
	}

	private KnownGateways createKnownGateways(HandshakeMessage.PeerIdentity identity, PeerSettings peerSettings) {
		Set<InetSocketAddress> seeds = Set.copyOf(peerSettings.seeds());
		return new KnownGateways(identity.instance(), seeds.size(), seeds.contains(peerSettings.listen()),
				this.clock.millis());
	}

	private long registryAgeMillis() {
		return this.follower.ageMillis();
	}

	/**
	 * Starts a gateway. It is ready once it has received a configuration.
	 * @param settings the settings
	 * @param registry opens the registry
	 * @param origins opens the origin of weights
	 * @param codec reads and writes the headers of calls
	 * @return the running gateway, never null
	 * @throws IOException if an address cannot be used
	 */
	public static GatewayProcess start(GatewaySettings settings, RegistryFactory registry, PieceOriginFactory origins,
			HeaderCodec codec) throws IOException {
		settings.replacedValues()
			.forEach((problem) -> logger.atWarn()
				.addKeyValue("event", "setting-replaced")
				.addKeyValue("section", problem.section())
				.addKeyValue("key", problem.key())
				.addKeyValue("value", problem.value())
				.addKeyValue("remedy", problem.remedy())
				.log("a setting cannot be read; a safe value is used instead"));
		GatewayProcess process = new GatewayProcess(settings, registry, origins, codec, MonotonicClock.system());
		logger.atInfo()
			.addKeyValue("event", "started")
			.addKeyValue("instance", settings.process().instance())
			.addKeyValue("callers", process.callerServer.address())
			.addKeyValue("operators", process.operators.address())
			.log("gateway started");
		return process;
	}

	private boolean canAcceptKeys() {
		return this.registry.canAcceptKeys();
	}

	private void requestRegistryCopy(RegistryPosition after) {
		this.worker.getIoThread().execute(() -> this.peers.requestRegistryCopy(after));
	}

	private int gatewayCount() {
		return this.peers.gatewayCount();
	}

	private int assumedGatewayCount() {
		return Math.max(MIN_ASSUMED_GATEWAYS, ASSUMED_UNCONNECTED_GATEWAYS + gatewayCount());
	}

	private Optional<WeightsOrigin> publishedOrigin() {
		return this.registry.configuration().flatMap(ServingConfiguration::origin);
	}

	private Optional<PieceOrigin> openOrigin() {
		return publishedOrigin().map((published) -> this.origins.open(this.httpClient, published.address()));
	}

	private RunnerState createRunnerState(RegisteredRunner runner) {
		int share = MAX_TOTAL_IDLE_CONNECTIONS / Math.max(1, this.registry.view().runners().size());
		int idleConnections = this.registry.view()
			.configuration()
			.map((published) -> published.services().get(runner.service()))
			.map((service) -> service.maxConnections() / (2 * MIN_ASSUMED_GATEWAYS))
			.orElse(1);
		RegionName region = this.settings.regions().get(runner.dataCentre());
		Distance distance = new Location(this.settings.process().dataCentre(), this.settings.process().region())
			.distanceTo(runner.dataCentre(), region);
		return new RunnerState(runner, Optional.ofNullable(region), distance,
				ConnectionPool.to(runner.address(), this.worker, this.buffers,
						Math.max(1, Math.min(share, Math.min(MAX_IDLE_CONNECTIONS, idleConnections))), this.clock),
				this.intakeLog, this.permits, this.coldRunners.of(runner));
	}

	private void applyView(RegistryView view) {
		// separate tasks, so that one that fails does not keep the others from the view
		XnioIoThread traffic = this.worker.getIoThread();
		traffic.execute(() -> this.coldRunners.update(view, this.clock.millis()));
		traffic.execute(() -> this.runners.update(view, this.clock.millis()));
		traffic.execute(() -> this.peers.update(view));
		traffic.execute(() -> this.callerServer
			.updateOptions(CallerServerOptions.of(view.configuration().map(ServingConfiguration::limits))));
		if (view.configuration().isPresent() && this.readiness.phase() == Readiness.Phase.STARTING) {
			this.readiness.markReady();
			logger.atInfo()
				.addKeyValue("event", "ready")
				.addKeyValue("configuration", view.configuration().get().version())
				.log("gateway is ready to accept requests");
		}
	}

	private void registerMetrics() {
		this.follower.registerMetrics(this.metrics);
		CallerConnectionMetrics.register(this.connectionLimit, this.metrics);
		GaugeWithCallback.builder()
			.name("catkingate_configuration_version")
			.help("The version of the configuration in force")
			.callback((callback) -> callback
				.call(this.registry.configuration().map(ServingConfiguration::version).orElse(0L)))
			.register(this.metrics);
		GaugeWithCallback.builder()
			.name("catkingate_runners")
			.help("The runners that are registered")
			.callback((callback) -> callback.call(this.registry.view().runners().size()))
			.register(this.metrics);
		CounterWithCallback.builder()
			.name("catkingate_gateway_origin_reads")
			.help("Reads of pieces from the origin of weights, by outcome")
			.labelNames("outcome")
			.callback((callback) -> this.peers.originReadCounts()
				.forEach((outcome, count) -> callback.call(count, outcome)))
			.register(this.metrics);
	}

	private Map<String, Object> state() {
		Map<String, Object> state = new TreeMap<>();
		state.put("phase", this.readiness.phase());
		state.put("registryEra", this.registry.view().position().era());
		state.put("registryRevision", this.registry.view().position().revision());
		state.put("registryAgeMillis", this.follower.ageMillis());
		state.put("configuration", this.registry.configuration().map(String::valueOf).orElse("none"));
		state.put("runners", this.registry.view().runners().values().stream().map(String::valueOf).sorted().toList());
		state.put("evacuatedDataCentres",
				this.registry.view().evacuated().stream().map(String::valueOf).sorted().toList());
		state.put("runnerLimits", this.permits.describe());
		state.put("waitingRequests", this.waitingCalls.describe());
		state.put("workByRunner", workByRunner());
		state.put("coldRunners", this.coldRunners.describe());
		state.put("requestsInProgress", this.gatewayMetrics.inProgress());
		return state;
	}

	/*
	 * The work is known to the traffic thread only. While that does not respond, the rest
	 * of the state is still shown.
	 */
	private Object workByRunner() {
		return callTraffic(() -> this.runners.describeWork(this.clock.millis())).<Object>map((work) -> work)
			.orElse("unknown");
	}

	/*
	 * Calls the supplier on the traffic thread. Empty if it fails or the thread does not
	 * respond in time.
	 */
	private <T> Optional<T> callTraffic(Supplier<T> supplier) {
		try {
			return Optional.of(CompletableFuture.supplyAsync(supplier, this.worker.getIoThread())
				.get(STATE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Optional.empty();
		}
		catch (ExecutionException | TimeoutException ex) {
			logger.atWarn()
				.addKeyValue("event", "traffic-thread-silent")
				.setCause(ex)
				.log("the traffic thread did not respond in time or failed; its state is unknown");
			return Optional.empty();
		}
	}

	@Override
	public void stop() {
		this.gracefulShutdown.run(
				(schedule) -> this.worker.getIoThread().execute(() -> this.shutdownState.start(schedule)),
				this::stopAccepting, this::requestsInProgress,
				() -> this.worker.getIoThread().execute(this.connections::endRequests), this::close);
	}

	/*
	 * Counted by the traffic thread, behind the tasks that it has been given before.
	 * While it does not respond, a request may be in progress.
	 */
	private long requestsInProgress() {
		return callTraffic(() -> {
			// a request may have arrived on a connection that has not been read
			int waiting = this.callerServer.waiting();
			if (waiting == 0) {
				this.connections.endIfIdle();
			}
			return waiting + this.connections.inProgress();
		}).orElse(1);
	}

	private void stopAccepting() {
		this.callerServer.close();
		this.callerServer.closeUnused();
		this.worker.getIoThread().execute(this.connections::endNotice);
	}

	private void close() {
		this.callerServer.close();
		this.peers.close();
		this.follower.close();
		this.operators.close();
		this.worker.shutdownNow();
	}

}
