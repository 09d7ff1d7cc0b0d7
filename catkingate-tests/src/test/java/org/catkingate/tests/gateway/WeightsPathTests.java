package org.catkingate.tests.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

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
				seeds = 127.0.0.1:%d
				shared-key = only-for-these-tests
				[runner]
				address = 127.0.0.1:%d
				service = songs
				[weights]
				change-ms = 3000
				""".formatted(name, FreePorts.next().getPort(), gateway.getPort(), FreePorts.next().getPort()));
		return LoaderProcess.start(settings, (client, url) -> new TestGateway.InMemoryRegistry(registryItems(version)),
				(client, address) -> origin, (client, url) -> runner);
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

}
