package org.catkingate.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongSupplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.coldstart.ColdRunner;
import org.catkingate.decisions.coldstart.KnownGateways;
import org.catkingate.decisions.registry.RegistryView;
import org.catkingate.decisions.retries.SlidingWindowCounter;
import org.catkingate.model.InstanceId;
import org.catkingate.model.prompts.RunnerStart;
import org.catkingate.model.registry.ColdStart;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.model.registry.RegisteredService;
import org.catkingate.model.registry.ServingConfiguration;
import org.catkingate.runtime.settings.GatewaySettings;
import org.catkingate.wire.GatewayMessage;

/**
 * Determines which runners are cold, and exchanges the names of the gateways that share
 * what a cold runner may get. Used by the traffic thread only, except for
 * {@link #describe()}.
 */
final class ColdRunners {

	private static final Logger logger = LoggerFactory.getLogger(ColdRunners.class);

	/**
	 * The age up to which a copy of the registry shows that a runner is warm. Runners
	 * register about every second, and gateways refuse keys at about the same age.
	 */
	private static final long RECENT_MILLIS = 5000;

	/** The interval at which the seeds are asked by a gateway that has just started. */
	private static final long REQUEST_INTERVAL_MILLIS = 500;

	private static final long LOG_WINDOW_MILLIS = 10_000;

	private static final int MAX_LOG_LINES = 50;

	private final SlidingWindowCounter logLines = SlidingWindowCounter.create(LOG_WINDOW_MILLIS);

	private final Map<RunnerStart, ColdRunner> runners = new HashMap<>();

	private final GatewaySettings.ColdRunners settings;

	private final KnownGateways gateways;

	private final LongSupplier registryAgeMillis;

	private final LongSupplier epochMillis;

	private RegistryView view = RegistryView.empty();

	private boolean recent = true;

	private long requestedAtMillis = Long.MIN_VALUE / 2;

	private Peers peers = (message) -> {
	};

	private volatile Map<String, String> described = Map.of();

	/**
	 * Creates an instance without runners that is not connected to other gateways.
	 * @param settings the requests that cold runners may get
	 * @param gateways the gateways that share them
	 * @param registryAgeMillis returns the age of the copy of the registry
	 * @param epochMillis returns the time now, in milliseconds since the epoch
	 */
	ColdRunners(GatewaySettings.ColdRunners settings, KnownGateways gateways, LongSupplier registryAgeMillis,
			LongSupplier epochMillis) {
		this.settings = settings;
		this.gateways = gateways;
		this.registryAgeMillis = registryAgeMillis;
		this.epochMillis = epochMillis;
	}

	/**
	 * Connects this instance to the other gateways.
	 * @param others the other gateways
	 */
	void connect(Peers others) {
		this.peers = others;
	}

	/**
	 * Returns what this gateway may send to a runner.
	 * @param runner the registration of the runner
	 * @return the same object for each start of the runner
	 */
	ColdRunner of(RegisteredRunner runner) {
		return this.runners.computeIfAbsent(new RunnerStart(runner.id(), runner.startedAtEpochMillis()),
				(start) -> new ColdRunner(this.gateways, start));
	}

	/**
	 * Applies a new view of the registry.
	 * @param next the view
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void update(RegistryView next, long nowMillis) {
		boolean exchanged = isExchanged();
		this.view = next;
		if (!exchanged && isExchanged()) {
			this.peers.broadcast(message(false));
		}
		update(nowMillis);
	}

	/**
	 * Determines again which runners are cold.
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void update(long nowMillis) {
		updateRecent();
		if (isExchanged() && !this.gateways.isSettled(nowMillis)
				&& nowMillis - this.requestedAtMillis >= REQUEST_INTERVAL_MILLIS) {
			this.requestedAtMillis = nowMillis;
			this.peers.broadcast(message(true));
		}
		Map<String, String> descriptions = new TreeMap<>();
		Map<RunnerStart, ColdRunner> unlisted = new HashMap<>(this.runners);
		this.view.runners().values().forEach((registered) -> {
			ColdRunner runner = of(registered);
			unlisted.remove(runner.runner());
			Optional<ColdStart> coldStart = coldStart(registered);
			boolean before = runner.isCold();
			boolean stated = coldStart.filter((published) -> isStatedCold(registered, published)).isPresent();
			runner.update(coldStart.map((published) -> this.settings.maxRequests(published.requestsPerSecond())),
					stated || !this.recent);
			if (before != runner.isCold() && this.recent) {
				log(registered, runner, nowMillis);
			}
			if (runner.isCold()) {
				descriptions.put(runner.runner().toString(),
						runner.part(nowMillis) + " of "
								+ this.settings.maxRequests(coldStart.orElseThrow().requestsPerSecond())
								+ " a second from here");
			}
		});
		unlisted.values().removeIf((runner) -> runner.isInUse(nowMillis));
		this.runners.keySet().removeAll(unlisted.keySet());
		this.described = descriptions;
	}

	private void updateRecent() {
		boolean next = this.registryAgeMillis.getAsLong() <= RECENT_MILLIS;
		if (next != this.recent && isExchanged()) {
			logger.atWarn()
				.addKeyValue("event", "runner-cold")
				.addKeyValue("runner", "all")
				.addKeyValue("cold", !next)
				.log("runners count as cold as long as the copy of the registry is not recent");
		}
		this.recent = next;
	}

	/*
	 * A start in the future shows that the clocks differ, so that only the statement is
	 * used.
	 */
	private boolean isStatedCold(RegisteredRunner runner, ColdStart coldStart) {
		long sinceStart = this.epochMillis.getAsLong() - runner.startedAtEpochMillis();
		return runner.coldLeftMillis() > 0 || (sinceStart >= 0 && sinceStart < coldStart.durationMillis());
	}

	private Optional<ColdStart> coldStart(RegisteredRunner runner) {
		return this.view.configuration()
			.map((published) -> published.services().get(runner.service()))
			.flatMap(RegisteredService::coldStart);
	}

	private void log(RegisteredRunner registered, ColdRunner runner, long nowMillis) {
		this.logLines.add(nowMillis);
		if (this.logLines.count(nowMillis) <= MAX_LOG_LINES) {
			logger.atInfo()
				.addKeyValue("event", "runner-cold")
				.addKeyValue("runner", registered.id())
				.addKeyValue("started", registered.startedAtEpochMillis())
				.addKeyValue("service", registered.service())
				.addKeyValue("cold", runner.isCold())
				.addKeyValue("cold-left-ms", registered.coldLeftMillis())
				.addKeyValue("part", runner.part(nowMillis))
				.addKeyValue("gateways", this.gateways.names().size())
				.log("a runner has become cold or warm");
		}
	}

	/*
	 * Names are exchanged only if the configuration has cold starts, so that other
	 * deployments see no new messages.
	 */
	private boolean isExchanged() {
		return this.view.configuration()
			.map(ServingConfiguration::services)
			.filter((services) -> services.values().stream().anyMatch((service) -> service.coldStart().isPresent()))
			.isPresent();
	}

	/**
	 * Adds a gateway that has connected to this one, or the other way round.
	 * @param gateway the gateway
	 * @return the message to send to it, empty if it is not needed
	 */
	Optional<GatewayMessage.KnownGateways> addConnected(InstanceId gateway) {
		broadcastIf(this.gateways.add(List.of(gateway)));
		return isExchanged() ? Optional.of(message(false)) : Optional.empty();
	}

	/**
	 * Receives the names that another gateway knows.
	 * @param from the other gateway
	 * @param seed whether it is a seed
	 * @param message the message
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the answer, empty if none is requested
	 */
	Optional<GatewayMessage.KnownGateways> receive(InstanceId from, boolean seed, GatewayMessage.KnownGateways message,
			long nowMillis) {
		Collection<InstanceId> names = message.instances().stream().map(InstanceId::new).toList();
		broadcastIf(seed ? this.gateways.addFromSeed(from, names, nowMillis) : this.gateways.add(names));
		return (message.answerRequested() && this.gateways.isSeed()) ? Optional.of(message(false)) : Optional.empty();
	}

	private void broadcastIf(boolean changed) {
		if (changed && isExchanged()) {
			this.peers.broadcast(message(false));
		}
	}

	private GatewayMessage.KnownGateways message(boolean answerRequested) {
		return new GatewayMessage.KnownGateways(this.gateways.names().stream().map(InstanceId::value).sorted().toList(),
				answerRequested);
	}

	/**
	 * Returns the cold runners, for operators. Safe for use by any thread.
	 * @return what this gateway may send to each of them
	 */
	Map<String, String> describe() {
		return this.described;
	}

	/**
	 * The connections to other gateways.
	 */
	@FunctionalInterface
	interface Peers {

		/**
		 * Sends a message to all connected gateways.
		 * @param message the message
		 */
		void broadcast(GatewayMessage message);

	}

}
