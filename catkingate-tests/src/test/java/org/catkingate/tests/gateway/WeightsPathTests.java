package org.catkingate.tests.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

import org.catkingate.loader.LoaderProcess;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.ModelName;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.CallerLimits;
import org.catkingate.model.registry.EngineProfile;
import org.catkingate.model.registry.RegisteredService;
import org.catkingate.model.registry.RegistryItem;
import org.catkingate.model.registry.RegistryValue;
import org.catkingate.model.registry.RouteTable;
import org.catkingate.model.registry.ServingConfiguration;
import org.catkingate.model.registry.WeightsOrigin;
import org.catkingate.runtime.registry.Registry;
import org.catkingate.runtime.settings.LoaderSettings;
import org.catkingate.tests.harness.FreePorts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the path of weights from an origin that sends corrupt pieces, through a
 * gateway, to runners that corrupt staged pieces.
 */
class WeightsPathTests {

	private static final ModelName MODEL = new ModelName("lyrics");

	private static final ServiceName SERVICE = new ServiceName("songs");

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	/** Enough for several attempts by the gateway and by each loader. */
	private static final int MIN_FAILED_CALLS = 12;

	/** Half of the scale of a deployment: a copy takes 2.5 s to leave the origin. */
	private static final long MILLIS_PER_PIECE = 160;

	private static final int GATEWAYS = 4;

	private static final int LOADERS = 6;

	/** The time that the newest version may be later than the links allow. */
	private static final long MAX_LATE_MILLIS = 700;

	private static List<RegistryItem> registryItems(long version) {
		EngineProfile engine = new EngineProfile(16, 5, 9.27, 0.0232, 0, 20.7, 0, 2048, 979, 92, Long.MAX_VALUE,
				InMemoryOrigin.PIECE_COUNT, List.of(MODEL));
		WeightsOrigin origin = new WeightsOrigin(new InetSocketAddress("127.0.0.1", 1), new DataCentreName("a"), 8);
		ServingConfiguration configuration = new ServingConfiguration(1, RouteTable.of(List.of()),
				Map.of(SERVICE,
						new RegisteredService(SERVICE, 100, Optional.of(engine), Optional.empty(), Optional.empty()),
						new ServiceName("weights"), new RegisteredService(new ServiceName("weights"), 8,
								Optional.empty(), Optional.empty(), Optional.of(origin))),
				Map.of(), new CallerLimits(16_384, 100_000, 3000, 15_000));
		return List.of(new RegistryItem("configuration", 1, new RegistryValue.Configuration(configuration)),
				new RegistryItem("version", 2, new RegistryValue.DeclaredVersion(MODEL, version)));
	}

	private static LoaderProcess startLoader(String name, InetSocketAddress gateway, InMemoryRunner runner,
			long version) throws Exception {
		return startLoader(name, gateway, runner, version, new InMemoryOrigin());
	}

	private static LoaderProcess startLoader(String name, InetSocketAddress gateway, InMemoryRunner runner,
			long version, InMemoryOrigin origin) throws Exception {
		return startLoader(name, String.valueOf(gateway.getPort()), runner,
				new TestGateway.InMemoryRegistry(registryItems(version)), origin, 3000);
	}

	private static LoaderProcess startLoader(String name, String gatewayPorts, InMemoryRunner runner, Registry registry,
			InMemoryOrigin origin, long changeMillis) throws Exception {
		String seeds = "127.0.0.1:" + gatewayPorts.replace(",", ", 127.0.0.1:");
		LoaderSettings settings = LoaderSettings.parse("""
				[process]
				instance = %s
				data-centre = a
				region = r
				[registry]
				url = http://127.0.0.1:1
				[operators]
				listen = 127.0.0.1:%d
				[peers]
				seeds = %s
				shared-key = only-for-these-tests
				[runner]
				address = 127.0.0.1:%d
				service = songs
				[weights]
				change-ms = %d
				""".formatted(name, FreePorts.next().getPort(), seeds, FreePorts.next().getPort(), changeMillis));
		return LoaderProcess.start(settings, (client, url) -> registry, (client, address) -> origin,
				(client, url) -> runner);
	}

	// Corrupt pieces are fetched again, so the origin sends more pieces than one copy
	// has, but fewer than two copies have.
	@Test
	void everyRunnerLoadsTheCompleteDeclaredVersionAndTheOriginSendsItOnce() throws Exception {
		InMemoryOrigin origin = new InMemoryOrigin();
		InetSocketAddress peers = FreePorts.next();
		InMemoryRunner firstRunner = new InMemoryRunner();
		InMemoryRunner secondRunner = new InMemoryRunner();
		firstRunner.corruptOnce(3);
		secondRunner.corruptOnce(11);
		try (TestGateway gateway = TestGateway.start(registryItems(2), peers, (client, address) -> origin)) {
			assertThat(gateway).isNotNull();
			LoaderProcess firstLoader = startLoader("loader-1", peers, firstRunner, 2);
			LoaderProcess secondLoader = startLoader("loader-2", peers, secondRunner, 2);
			try {
				Awaitility.await()
					.atMost(TIMEOUT)
					.untilAsserted(
							() -> assertThat(List.of(firstRunner.servedVersions(), secondRunner.servedVersions()))
								.containsOnly(Map.of(MODEL, 2L)));
				assertThat(firstRunner.hasLoaded(InMemoryOrigin.pieceDigests(MODEL, 2))).isTrue();
				assertThat(secondRunner.hasLoaded(InMemoryOrigin.pieceDigests(MODEL, 2))).isTrue();
				assertThat(origin.sentPieceCount()).isBetween(InMemoryOrigin.PIECE_COUNT,
						2 * InMemoryOrigin.PIECE_COUNT - 1);
			}
			finally {
				firstLoader.stop();
				secondLoader.stop();
			}
		}
	}

	@Test
	void anOriginThatWasUnreachableSendsItsPiecesOnlyToTheGateway() throws Exception {
		InMemoryOrigin origin = new InMemoryOrigin();
		origin.failAfterPieces(InMemoryOrigin.PIECE_COUNT / 2);
		InetSocketAddress peers = FreePorts.next();
		List<InMemoryRunner> runners = List.of(new InMemoryRunner(), new InMemoryRunner(), new InMemoryRunner());
		List<LoaderProcess> loaders = new ArrayList<>();
		try (TestGateway gateway = TestGateway.start(registryItems(2), peers, (client, address) -> origin)) {
			assertThat(gateway).isNotNull();
			for (int i = 0; i < runners.size(); i++) {
				loaders.add(startLoader("loader-" + i, peers, runners.get(i), 2, origin));
			}
			Awaitility.await().atMost(TIMEOUT).until(() -> origin.failedCallCount() > MIN_FAILED_CALLS);
			origin.recover();
			Awaitility.await()
				.atMost(TIMEOUT)
				.untilAsserted(() -> assertThat(runners)
					.allMatch((runner) -> runner.servedVersions().equals(Map.of(MODEL, 2L))));
			assertThat(origin.sentPieceCount()).isLessThan(2 * InMemoryOrigin.PIECE_COUNT);
		}
		finally {
			loaders.forEach(LoaderProcess::stop);
		}
	}

	private static void sleepUntil(long nanos) throws InterruptedException {
		TimeUnit.NANOSECONDS.sleep(nanos - System.nanoTime());
	}

	// Guards against pieces that leave the origin several times, against bytes of the
	// origin for a version that is replaced, against a late continuation after an outage,
	// and against a refused connection that is tried again at once.
	@Test
	void theNewestOfTwoVersionsArrivesAsFastAsTheLinksAllowAfterAnOutageOfTheOrigin() throws Exception {
		InMemoryOrigin origin = InMemoryOrigin.throttled(MILLIS_PER_PIECE);
		ScriptedRegistry registry = ScriptedRegistry.of(registryItems(1));
		List<InetSocketAddress> peers = new ArrayList<>();
		List<InMemoryRunner> runners = new ArrayList<>();
		List<TestGateway> gateways = new ArrayList<>();
		List<LoaderProcess> loaders = new ArrayList<>();
		for (int i = 0; i < GATEWAYS; i++) {
			peers.add(FreePorts.next());
		}
		String ports = peers.stream().map((peer) -> String.valueOf(peer.getPort())).collect(Collectors.joining(","));
		String seeds = "127.0.0.1:" + ports.replace(",", ", 127.0.0.1:");
		try {
			for (InetSocketAddress peer : peers) {
				gateways.add(TestGateway.start(registry, peer, (client, address) -> origin, 10_000, seeds));
			}
			for (int i = 0; i < LOADERS; i++) {
				runners.add(new InMemoryRunner());
				loaders.add(startLoader("loader-" + i, ports, runners.get(i), registry, origin, 10_000));
			}
			awaitVersion(runners, 1);

			long declaredAt = System.nanoTime();
			registry.declare(MODEL, 2);
			sleepUntil(declaredAt + TimeUnit.MILLISECONDS.toNanos(2000));
			registry.declare(MODEL, 3);
			sleepUntil(declaredAt + TimeUnit.MILLISECONDS.toNanos(2500));
			origin.failAfterPieces(0);
			int sentOfOlder = origin.sendCounts(2).size();
			int sentOfNewest = origin.sendCounts(3).size();
			sleepUntil(declaredAt + TimeUnit.MILLISECONDS.toNanos(8500));
			int failedCalls = origin.failedCallCount();
			origin.recover();
			long recoveredAt = System.nanoTime();
			awaitVersion(runners, 3);
			long takenMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - recoveredAt);

			assertThat(takenMillis).as("time after the outage, of which the link of the origin needs the rest")
				.isLessThanOrEqualTo((InMemoryOrigin.PIECE_COUNT - sentOfNewest) * MILLIS_PER_PIECE + MAX_LATE_MILLIS);
			assertThat(origin.sendCounts(3)).hasSize(InMemoryOrigin.PIECE_COUNT).containsOnly(1);
			assertThat(origin.sendCounts(2)).as("older pieces after the newer version is known").hasSize(sentOfOlder);
			assertThat(failedCalls).as("probes of %d gateways in 6 s", GATEWAYS).isLessThan(GATEWAYS * 40);
		}
		finally {
			loaders.forEach(LoaderProcess::stop);
			gateways.forEach(TestGateway::close);
		}
	}

	private static void awaitVersion(List<InMemoryRunner> runners, long version) {
		Awaitility.await()
			.pollInterval(Duration.ofMillis(10))
			.atMost(TIMEOUT)
			.until(() -> runners.stream()
				.allMatch((runner) -> runner.servedVersions().equals(Map.of(MODEL, version))
						&& runner.hasLoaded(InMemoryOrigin.pieceDigests(MODEL, version))));
	}

}
