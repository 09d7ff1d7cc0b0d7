package org.catkingate.agent;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioWorker;

import org.catkingate.agent.idempotency.IdempotencyKeyHandler;
import org.catkingate.agent.requests.AgentRequestHandler;
import org.catkingate.agent.requests.AgentRequestSettings;
import org.catkingate.agent.requests.RunnerEndpoint;
import org.catkingate.agent.runners.RunnerGate;
import org.catkingate.agent.weights.WeightsDistribution;
import org.catkingate.agent.weights.WeightsSettings;
import org.catkingate.decisions.distribution.InstanceLocation;
import org.catkingate.decisions.distribution.SourcePreference;
import org.catkingate.decisions.idempotency.KeyHome;
import org.catkingate.decisions.idempotency.VouchingBounds;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.decisions.membership.ProcessIdentity;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.RunnerId;
import org.catkingate.model.RunnerStatus;
import org.catkingate.model.ServiceName;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.fleet.Fleet;
import org.catkingate.runtime.fleet.FleetSettings;
import org.catkingate.runtime.fleet.InstanceListListener;
import org.catkingate.runtime.http.IoThreads;
import org.catkingate.runtime.operators.OperatorsEndpoint;
import org.catkingate.runtime.operators.Readiness;
import org.catkingate.runtime.process.GracefulShutdown;
import org.catkingate.runtime.process.ProcessIdentities;
import org.catkingate.runtime.process.RunningProcess;
import org.catkingate.runtime.settings.ProcessSettings;

/**
 * A running agent process: it connects to peers, forwards requests to its runners,
 * distributes weights, manages idempotency keys and serves the endpoint for operators.
 * Safe for use by any thread.
 *
 * @since 0.1
 */
public final class AgentProcess implements RunningProcess, InstanceListListener {

	private static final Logger logger = LoggerFactory.getLogger(AgentProcess.class);

	private final ProcessSettings settings;

	private final MonotonicClock clock;

	private final ProcessIdentity self;

	private final Readiness readiness = Readiness.starting();

	private final List<RunnerGate> gates = new ArrayList<>();

	private final ScheduledExecutorService keysTimer = Executors
		.newSingleThreadScheduledExecutor(AgentProcess::createKeysThread);

	private final XnioWorker worker;

	private final Fleet fleet;

	private final IdempotencyKeyHandler keyHandler;

	private final AgentRequestHandler requestHandler;

	private final WeightsDistribution weights;

	private final OperatorsEndpoint operators;

	private final GracefulShutdown gracefulShutdown;

	// used by the control thread only
	private List<InstanceRecord> listedInstances = List.of();

	// used by the control thread only
	private Set<InstanceId> requestedPeers = Set.of();

	private AgentProcess(ProcessSettings settings, MonotonicClock clock) throws IOException {
		this.settings = settings;
		this.clock = clock;
		this.self = ProcessIdentities.of(settings.process());
		settings.runners().forEach((runner) -> this.gates.add(RunnerGate.closed(runner.id(), runner.service())));
		this.worker = IoThreads.start("outside", 1);
		this.fleet = Fleet.create(fleetSettings(), clock);
		this.keyHandler = startKeyHandler();
		this.weights = WeightsDistribution.start(weightsSettings(), this.worker, this.fleet, this.fleet::dial,
				this.gates, this::runnersChanged, clock);
		this.requestHandler = AgentRequestHandler.start(runnerEndpoints(), this.fleet::snapshot,
				this.fleet::heartbeatAgeMillis, this.keyHandler.guard(), clock, AgentRequestSettings.defaults());
		this.fleet.setLoads(this::runnerLoads);
		this.fleet.addSnapshotListener(this::fleetChanged);
		this.fleet.addInstanceListListener(this);
		this.fleet.start(this.keyHandler.interceptKeyMessages(AgentPeerListener.of(this.requestHandler, this.weights)));
		this.keysTimer.scheduleAtFixedRate(this.keyHandler::tick, IdempotencyKeyHandler.TICK_MILLIS,
				IdempotencyKeyHandler.TICK_MILLIS, TimeUnit.MILLISECONDS);
		this.operators = OperatorsEndpoint.start(settings.operators().addresses(), this.readiness, metrics(),
				this::dump);
		this.gracefulShutdown = GracefulShutdown.create(settings.shutdown(), this.readiness, clock);
	}

	/**
	 * Starts an agent.
	 * @param settings the settings
	 * @return the running agent, never null
	 * @throws IOException if an address cannot be used
	 */
	public static AgentProcess start(ProcessSettings settings) throws IOException {
		AgentProcess process = new AgentProcess(settings, MonotonicClock.system());
		logger.atInfo()
			.addKeyValue("event", "started")
			.addKeyValue("instance", settings.process().instance())
			.addKeyValue("peers", process.fleet.address().orElse(null))
			.addKeyValue("operators", process.operators.address())
			.log("agent started");
		return process;
	}

	private static Thread createKeysThread(Runnable task) {
		Thread thread = new Thread(task, "keys");
		thread.setDaemon(true);
		return thread;
	}

	private FleetSettings fleetSettings() {
		return new FleetSettings(this.self, this.settings.platform().configuration(),
				this.settings.platform().instances(), this.settings.peers().listen(), this.settings.peers().sharedKey(),
				this.settings.peers().ioThreads());
	}

	private IdempotencyKeyHandler startKeyHandler() {
		InetSocketAddress listen = this.settings.peers().listen();
		KeyHome home = new KeyHome(this.self.instance(), listen.getAddress().getHostAddress(), listen.getPort());
		Map<ServiceName, Integer> counts = new HashMap<>();
		this.gates.forEach((gate) -> counts.merge(gate.service(), 1, Integer::sum));
		return IdempotencyKeyHandler.start(home, this.self.incarnation(), counts, VouchingBounds.defaults(), this.fleet,
				this::probeSelf, this.clock, InstantSource.system()::millis);
	}

	private void probeSelf(InetSocketAddress address, Runnable onMatch) {
		this.fleet.identify(address, (peer) -> {
			if (peer.incarnation() == this.self.incarnation()) {
				onMatch.run();
			}
		});
	}

	private WeightsSettings weightsSettings() {
		ProcessSettings.Weights configured = this.settings.weights();
		SourcePreference preference = (configured.preference() == ProcessSettings.Preference.TIME)
				? SourcePreference.TIME : SourcePreference.ORIGIN_BYTES;
		WeightsSettings.Rates rates = new WeightsSettings.Rates(configured.originBytesPerSecond(),
				configured.storeBytesPerSecond(), configured.linkBytesPerSecond(), configured.linkBytesPerSecond());
		List<WeightsSettings.Runner> runners = this.settings.runners()
			.stream()
			.map((runner) -> new WeightsSettings.Runner(runner.id(), runner.service(), toUrl(runner.address())))
			.toList();
		InstanceLocation own = new InstanceLocation(this.self.instance(), this.self.dataCentre(), this.self.region());
		return new WeightsSettings(own, this.self.labels(), configured.memoryBytes(), configured.origin(),
				configured.store(), preference, rates, InstantSource.system().instant().getEpochSecond(), runners);
	}

	private static URI toUrl(InetSocketAddress address) {
		return URI.create("http://" + address.getHostString() + ":" + address.getPort());
	}

	private List<RunnerEndpoint> runnerEndpoints() {
		List<RunnerEndpoint> endpoints = new ArrayList<>();
		for (int i = 0; i < this.gates.size(); i++) {
			endpoints.add(new RunnerEndpoint(this.gates.get(i), this.settings.runners().get(i).address()));
		}
		return endpoints;
	}

	private List<Integer> runnerLoads() {
		return this.gates.stream().map((gate) -> this.requestHandler.load(gate.runner())).toList();
	}

	private void runnersChanged(List<RunnerStatus> statuses) {
		this.fleet.setRunners(sortByGate(statuses));
	}

	private List<RunnerStatus> sortByGate(List<RunnerStatus> statuses) {
		Map<RunnerId, RunnerStatus> byRunner = new HashMap<>();
		statuses.forEach((status) -> byRunner.put(status.runner(), status));
		return this.gates.stream()
			.map((gate) -> byRunner.get(gate.runner()))
			.filter((status) -> status != null)
			.toList();
	}

	private void fleetChanged(FleetSnapshot snapshot) {
		this.weights.onFleetChanged(snapshot);
		updateKeys(snapshot.configuration());
		if (this.readiness.phase() == Readiness.Phase.STARTING && this.fleet.isReady()) {
			this.readiness.markReady();
			logger.atInfo().addKeyValue("event", "ready").log("agent has a configuration and is ready");
		}
	}

	private void updateKeys(PublishedConfiguration configuration) {
		this.keyHandler.fleetChanged(configuration, this.listedInstances);
		Set<InstanceId> needed = this.keyHandler.neededPeers();
		if (!needed.equals(this.requestedPeers)) {
			this.requestedPeers = needed;
			this.fleet.setExtraContacts(needed);
		}
	}

	@Override
	public void listRead(long requestedAtMillis, List<InstanceRecord> instances) {
		this.listedInstances = instances;
		updateKeys(this.fleet.snapshot().configuration());
		this.keyHandler.listConfirmed(requestedAtMillis);
	}

	@Override
	public void listConfirmed(long requestedAtMillis) {
		this.keyHandler.listConfirmed(requestedAtMillis);
	}

	private PrometheusRegistry metrics() {
		return AgentMetrics.of(this.fleet, this.requestHandler, this.weights, this.keyHandler.counts());
	}

	private AgentDump dump() {
		return AgentDump.of(this.readiness.phase(), this.fleet, this.gates, this.requestHandler, this.weights,
				this.keyHandler.counts());
	}

	@Override
	public void stop() {
		// the entries answer for requests whose connection to this agent closes
		this.gracefulShutdown.run((schedule) -> this.fleet.drain(), this.requestHandler::drain,
				this.requestHandler::inProgress, () -> {
				}, this::close);
	}

	private void close() {
		this.keysTimer.shutdownNow();
		this.requestHandler.close();
		this.weights.close();
		this.fleet.close();
		this.operators.close();
		this.worker.shutdownNow();
	}

}
