package org.catkingate.entry;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.membership.ProcessIdentity;
import org.catkingate.decisions.routing.Location;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.fleet.Fleet;
import org.catkingate.runtime.fleet.FleetDump;
import org.catkingate.runtime.fleet.FleetSettings;
import org.catkingate.runtime.http.CallerConnectionMetrics;
import org.catkingate.runtime.operators.OperatorsEndpoint;
import org.catkingate.runtime.operators.Readiness;
import org.catkingate.runtime.process.GracefulShutdown;
import org.catkingate.runtime.process.ProcessIdentities;
import org.catkingate.runtime.process.RunningProcess;
import org.catkingate.runtime.settings.ProcessSettings;

/**
 * A process of the entry role. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class EntryProcess implements RunningProcess {

	private static final Logger logger = LoggerFactory.getLogger(EntryProcess.class);

	private final Readiness readiness = Readiness.starting();

	private final PrometheusRegistry metrics = new PrometheusRegistry();

	private final Fleet fleet;

	private final EntryServer server;

	private final OperatorsEndpoint operators;

	private final GracefulShutdown shutdown;

	private EntryProcess(ProcessSettings settings, MonotonicClock clock) throws IOException {
		ProcessIdentity self = ProcessIdentities.of(settings.process());
		this.fleet = Fleet.create(fleetSettings(settings, self), clock);
		this.server = EntryServer.start(entrySettings(settings.callers()),
				new Location(self.dataCentre(), self.region()), this.fleet::snapshot, this.fleet,
				() -> this.fleet.snapshot().entries(), EntryPolicies.defaults(new SecureRandom().nextLong()), clock);
		this.fleet.addSnapshotListener((snapshot) -> updateReadiness());
		this.fleet.start(this.server);
		registerMetrics();
		this.operators = OperatorsEndpoint.start(settings.operators().addresses(), this.readiness, this.metrics,
				this::createDump);
		this.shutdown = GracefulShutdown.create(settings.shutdown(), this.readiness, clock);
	}

	/**
	 * Starts an entry. It accepts requests immediately and becomes ready when it has
	 * received a configuration.
	 * @param settings the settings
	 * @return the running entry, never null
	 * @throws IOException if an address cannot be used
	 */
	public static EntryProcess start(ProcessSettings settings) throws IOException {
		EntryProcess process = new EntryProcess(settings, MonotonicClock.system());
		logger.atInfo()
			.addKeyValue("event", "started")
			.addKeyValue("instance", settings.process().instance())
			.addKeyValue("callers", process.server.address())
			.addKeyValue("operators", process.operators.address())
			.log("entry started");
		return process;
	}

	private static FleetSettings fleetSettings(ProcessSettings settings, ProcessIdentity self) {
		return new FleetSettings(self, settings.platform().configuration(), settings.platform().instances(), null,
				settings.peers().sharedKey(), settings.peers().ioThreads());
	}

	private static EntrySettings entrySettings(ProcessSettings.Callers callers) {
		EntrySettings defaults = EntrySettings.withDefaults(callers.listen());
		return new EntrySettings(callers.listen(), callers.ioThreads(), callers.maxBodyBytes(),
				defaults.maxTotalBodyBytes(), callers.maxHeaderBytes(), defaults.maxConnections(),
				defaults.headTimeoutMillis(), defaults.bodyTimeoutMillis(), defaults.idleTimeoutMillis(),
				callers.requestTimeoutMillis(), defaults.maxDeadlineMillis(), defaults.reattachTimeoutMillis());
	}

	private void updateReadiness() {
		if (this.readiness.phase() == Readiness.Phase.STARTING && this.fleet.isReady()) {
			this.readiness.markReady();
			logger.atInfo().addKeyValue("event", "ready").log("entry is ready for requests");
		}
	}

	private void registerMetrics() {
		JvmMetrics.builder().register(this.metrics);
		CallerConnectionMetrics.register(this.server.connections(), this.metrics);
		RequestCounters counters = this.server.counters();
		registerCounter("catkingate_requests_started", "Requests taken in", counters.started());
		registerCounter("catkingate_requests_answered", "Requests answered whole", counters.responded());
		registerCounter("catkingate_requests_retried", "Attempts beyond the first", counters.retries());
		registerCounter("catkingate_attempts_refused", "Attempts that an agent refused as not run",
				counters.rejectedByAgents());
		registerCounter("catkingate_callers_left", "Requests whose caller left before the end",
				counters.callersDisconnected());
		CounterWithCallback.builder()
			.name("catkingate_requests_failed")
			.help("Failures that callers were told, by kind")
			.labelNames("kind")
			.callback(
					(callback) -> counters.failures().forEach((kind, count) -> callback.call(count.sum(), kind.name())))
			.register(this.metrics);
		GaugeWithCallback.builder()
			.name("catkingate_requests_in_progress")
			.help("Requests in progress")
			.callback((callback) -> callback.call(this.server.requestsInProgress()))
			.register(this.metrics);
		GaugeWithCallback.builder()
			.name("catkingate_configuration_revision")
			.help("The revision in force")
			.callback((callback) -> callback.call(this.fleet.snapshot().configuration().version().revision()))
			.register(this.metrics);
	}

	private void registerCounter(String name, String help, LongAdder count) {
		CounterWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(count.sum()))
			.register(this.metrics);
	}

	private EntryDump createDump() {
		RequestCounters counters = this.server.counters();
		Map<String, Long> failures = new TreeMap<>();
		counters.failures().forEach((kind, count) -> failures.put(kind.name(), count.sum()));
		return new EntryDump(this.readiness.phase(), this.fleet.dump().orElse(null),
				VersionReplicaCounts.of(this.fleet.snapshot()), this.server.requestsInProgress(),
				counters.started().sum(), counters.responded().sum(), failures);
	}

	@Override
	public void stop() {
		this.shutdown.run(this.server::announceShutdown, this.server::rejectNewRequests,
				this.server::requestsInProgress, this.server::endRequests, this::close);
	}

	private void close() {
		this.server.close();
		this.fleet.close();
		this.operators.close();
	}

	/**
	 * The state of an entry as operators see it. Immutable.
	 *
	 * @param phase the lifecycle phase of the process
	 * @param fleet the entry's view of the fleet
	 * @param versions the number of runners that serve each version
	 * @param requestsInProgress the number of requests in progress
	 * @param requestsStarted the number of requests started
	 * @param requestsAnswered the number of requests that received a complete response
	 * @param requestsFailed failures that were reported to callers, by kind
	 */
	record EntryDump(Readiness.Phase phase, FleetDump fleet, Map<String, VersionReplicaCounts> versions,
			long requestsInProgress, long requestsStarted, long requestsAnswered, Map<String, Long> requestsFailed) {

	}

}
