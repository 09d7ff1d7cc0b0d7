package org.catkingate.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.stream.Collectors;

import org.awaitility.Awaitility;

import org.catkingate.standins.Addresses;
import org.catkingate.standins.proxy.FaultInjectingProxy;
import org.catkingate.tests.harness.FreePorts;

/**
 * Gateways and loaders as processes, with stand-ins of the registry, of runners and of
 * the origin of weights. Closing it ends all of them. Safe for use by any thread.
 */
final class SoakFleet implements AutoCloseable {

	private static final Duration START_LIMIT = Duration.ofSeconds(60);

	private static final int MAX_SEEDS = 3;

	private static final String DATA_CENTRE = SoakOperator.DATA_CENTRE;

	private static final List<String> DATA_CENTRES = SoakOperator.REGIONS.keySet().stream().sorted().toList();

	private final Deque<AutoCloseable> resources = new ArrayDeque<>();

	private final List<SoakProcess> gateways = new ArrayList<>();

	private final List<SoakProcess> loaders = new ArrayList<>();

	private final List<SoakRunner> runners = new ArrayList<>();

	private final List<FaultInjectingProxy> registryLinks = new ArrayList<>();

	private final List<InetSocketAddress> peers = new ArrayList<>();

	private final List<InetSocketAddress> operators = new ArrayList<>();

	private final SoakProfile profile;

	private final Path directory;

	private final RegistryStandIn registry;

	private final OriginStandIn origin;

	private final SoakOperator operator;

	private SoakFleet(SoakProfile profile, Path directory, Judge judge, SoakClock clock) throws IOException {
		this.profile = profile;
		this.directory = directory;
		this.registry = register(new RegistryStandIn());
		this.origin = register(new OriginStandIn());
		this.operator = new SoakOperator(this.registry, this.origin.address(), profile.timeoutMillis(), judge, clock);
	}

	/**
	 * Starts a fleet.
	 * @param profile what is going to happen
	 * @param size its size
	 * @param directory the directory for settings and output
	 * @return the fleet, of which all gateways are ready
	 */
	static SoakFleet start(SoakProfile profile, Size size, Path directory, Judge judge, SoakClock clock)
			throws IOException {
		SoakFleet fleet = new SoakFleet(profile, directory, judge, clock);
		try {
			fleet.operator.publish();
			fleet.operator.declareNextWeights();
			fleet.startRunners(size, judge, clock);
			for (int i = 0; i < size.gateways(); i++) {
				fleet.peers.add(FreePorts.next());
			}
			for (int i = 0; i < size.gateways(); i++) {
				fleet.startGateway(i);
			}
			for (SoakRunner runner : fleet.runners) {
				if (runner.weights() != null) {
					fleet.startLoader(runner);
				}
			}
			fleet.awaitReady();
			return fleet;
		}
		catch (IOException | RuntimeException ex) {
			fleet.close();
			throw ex;
		}
	}

	private <T extends AutoCloseable> T register(T resource) {
		this.resources.push(resource);
		return resource;
	}

	private void startRunners(Size size, Judge judge, SoakClock clock) throws IOException {
		for (RequestKind kind : List.of(RequestKind.READ, RequestKind.SONG, RequestKind.GENERATION)) {
			for (int i = 0; i < size.runnersOfEachService(); i++) {
				this.runners.add(register(new SoakRunner(kind.service() + i, kind.service(),
						DATA_CENTRES.get(i % DATA_CENTRES.size()), this.registry, judge, clock)));
			}
		}
	}

	private void startGateway(int index) throws IOException {
		FaultInjectingProxy link = register(
				FaultInjectingProxy.start("--target", Addresses.format(this.registry.address())));
		this.registryLinks.add(link);
		InetSocketAddress callers = FreePorts.next();
		this.operators.add(FreePorts.next());
		SoakProcess gateway = register(new SoakProcess(this.directory, "gateway", "gateway-" + index, callers,
				this.operators.get(index), this.profile.environment()));
		this.gateways.add(gateway);
		gateway.writeSettings(gatewaySettings(index, 100));
		gateway.start();
	}

	/**
	 * Returns the settings of a gateway.
	 * @param index the gateway
	 * @param freeRetries the setting that differs between settings files
	 */
	String gatewaySettings(int index, int freeRetries) {
		return """
				[process]
				instance = gateway-%d
				data-centre = %s
				region = r
				[data-centres]
				a = r
				b = s
				[cold-runners]
				overage = %s
				allowance = %d
				[registry]
				url = http://%s
				[callers]
				listen = %s
				[operators]
				listen = %s
				[peers]
				listen = %s
				seeds = %s
				shared-key = only-for-the-soak
				[shutdown]
				notice-s = %d
				limit-s = %d
				[keys]
				certain-ms = %d
				[retries]
				ratio = 0.2
				free = %d
				window-s = 10
				[weights]
				change-ms = 8000
				settling-ms = 3000
				""".formatted(index, DATA_CENTRE, ColdRunnerJudge.OVERAGE, ColdRunnerJudge.ALLOWANCE,
				Addresses.format(this.registryLinks.get(index).address()),
				Addresses.format(this.gateways.get(index).address()), Addresses.format(this.operators.get(index)),
				Addresses.format(this.peers.get(index)), seeds(), this.profile.noticeSeconds(),
				this.profile.limitSeconds(), Judge.WITHDRAWAL_LIMIT_MILLIS, freeRetries);
	}

	private String seeds() {
		return this.peers.stream().limit(MAX_SEEDS).map(Addresses::format).collect(Collectors.joining(","));
	}

	private void startLoader(SoakRunner runner) throws IOException {
		FaultInjectingProxy link = register(
				FaultInjectingProxy.start("--target", Addresses.format(this.registry.address())));
		this.registryLinks.add(link);
		String name = "loader-" + this.loaders.size();
		InetSocketAddress operatorAddress = FreePorts.next();
		SoakProcess loader = register(
				new SoakProcess(this.directory, "loader", name, null, operatorAddress, this.profile.environment()));
		this.loaders.add(loader);
		loader.writeSettings("""
				[process]
				instance = %s
				data-centre = %s
				region = %s
				[registry]
				url = http://%s
				watch-ms = 8000
				[operators]
				listen = %s
				[peers]
				seeds = %s
				shared-key = only-for-the-soak
				[runner]
				address = %s
				service = %s
				[weights]
				change-ms = 8000
				""".formatted(name, runner.dataCentre(), SoakOperator.REGIONS.get(runner.dataCentre()),
				Addresses.format(link.address()), Addresses.format(operatorAddress), seeds(),
				Addresses.format(runner.proxy().address()), runner.service()));
		loader.start();
	}

	private void awaitReady() {
		Awaitility.await("gateways ready")
			.atMost(START_LIMIT)
			.until(() -> this.gateways.stream().allMatch(SoakProcess::isReady));
		Awaitility.await("weights loaded").atMost(START_LIMIT).until(this::areWeightsLoaded);
		this.runners.forEach(SoakRunner::register);
	}

	boolean areWeightsLoaded() {
		return this.runners.stream().allMatch((runner) -> runner.weights() == null || runner.weights().areLoaded());
	}

	List<SoakProcess> gateways() {
		return this.gateways;
	}

	List<SoakProcess> loaders() {
		return this.loaders;
	}

	List<SoakRunner> runners() {
		return this.runners;
	}

	/**
	 * Returns the proxies between the processes and the registry.
	 */
	List<FaultInjectingProxy> registryLinks() {
		return this.registryLinks;
	}

	RegistryStandIn registry() {
		return this.registry;
	}

	OriginStandIn origin() {
		return this.origin;
	}

	SoakOperator operator() {
		return this.operator;
	}

	@Override
	public void close() {
		while (!this.resources.isEmpty()) {
			try {
				this.resources.pop().close();
			}
			catch (Exception ex) {
				throw new IllegalStateException("a resource of the soak cannot be closed", ex);
			}
		}
	}

	/**
	 * The size of a fleet.
	 *
	 * @param gateways the number of gateways
	 * @param runnersOfEachService the number of runners of each service; each model
	 * runner has a loader
	 * @param callers the number of callers that send requests at the same time
	 */
	record Size(int gateways, int runnersOfEachService, int callers) {

	}

}
