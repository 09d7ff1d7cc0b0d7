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
import org.catkingate.model.registry.Engine;
import org.catkingate.model.registry.RegisteredService;
import org.catkingate.model.registry.RegistryEntry;
import org.catkingate.model.registry.RegistryItem;
import org.catkingate.model.registry.RouteTable;
import org.catkingate.model.registry.ServingConfiguration;
import org.catkingate.model.registry.WeightsOrigin;
import org.catkingate.runtime.settings.LoaderSettings;
import org.catkingate.tests.harness.FreePorts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The way of weights from an origin that sends wrong bytes, through a gateway, to runners
 * that spoil what is staged.
 */
class WeightsPathTests {

	private static final ModelName MODEL = new ModelName("lyrics");

	private static final ServiceName SERVICE = new ServiceName("songs");

	private static final Duration PATIENCE = Duration.ofSeconds(20);

	/** Several tries of the gateway and of each loader. */
	private static final int REFUSALS = 12;

	private static List<RegistryItem> declared(long version) {
		Engine engine = new Engine(16, 5, 9.27, 0.0232, 20.7, 2048, 979, 92, MemoryOrigin.PIECES, List.of(MODEL));
		WeightsOrigin origin = new WeightsOrigin(new InetSocketAddress("127.0.0.1", 1), new DataCentreName("a"), 8);
		ServingConfiguration configuration = new ServingConfiguration(1, RouteTable.of(List.of()),
				Map.of(SERVICE, new RegisteredService(SERVICE, 100, Optional.of(engine), Optional.empty()),
						new ServiceName("weights"),
						new RegisteredService(new ServiceName("weights"), 8, Optional.empty(), Optional.of(origin))),
				Map.of(), new CallerLimits(16_384, 100_000, 3000, 15_000));
		return List.of(new RegistryItem("configuration", 1, new RegistryEntry.Configuration(configuration)),
				new RegistryItem("version", 2, new RegistryEntry.DeclaredVersion(MODEL, version)));
	}

	private static LoaderProcess loader(String name, InetSocketAddress gateway, MemoryRunner runner, long version)
			throws Exception {
		return loader(name, gateway, runner, version, new MemoryOrigin());
	}

	private static LoaderProcess loader(String name, InetSocketAddress gateway, MemoryRunner runner, long version,
			MemoryOrigin origin) throws Exception {
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
		return LoaderProcess.start(settings, (calls, url) -> new TestGateway.InMemory(declared(version)),
				(calls, address) -> origin, (calls, url) -> runner);
	}

	@Test
	void everyRunnerGetsTheDeclaredVersionWholeAndTheOriginSendsItOnce() throws Exception {
		MemoryOrigin origin = new MemoryOrigin();
		InetSocketAddress peers = FreePorts.next();
		MemoryRunner one = new MemoryRunner();
		MemoryRunner other = new MemoryRunner();
		one.spoilOnce(3);
		other.spoilOnce(11);
		try (TestGateway gateway = TestGateway.with(declared(2), peers, (calls, address) -> origin)) {
			assertThat(gateway).isNotNull();
			LoaderProcess first = loader("loader-1", peers, one, 2);
			LoaderProcess second = loader("loader-2", peers, other, 2);
			try {
				Awaitility.await()
					.atMost(PATIENCE)
					.untilAsserted(
							() -> assertThat(List.of(one.serving(), other.serving())).containsOnly(Map.of(MODEL, 2L)));
				assertThat(one.holdsWhole(MemoryOrigin.version(MODEL, 2))).isTrue();
				assertThat(other.holdsWhole(MemoryOrigin.version(MODEL, 2))).isTrue();
				assertThat(origin.piecesSent()).isBetween(MemoryOrigin.PIECES, 2 * MemoryOrigin.PIECES - 1);
			}
			finally {
				first.stop();
				second.stop();
			}
		}
	}

	@Test
	void anOriginThatIsAwayForAWhileSendsItsPiecesToTheGatewayOnlyAsBefore() throws Exception {
		MemoryOrigin origin = new MemoryOrigin();
		origin.endAfter(MemoryOrigin.PIECES / 2);
		InetSocketAddress peers = FreePorts.next();
		List<MemoryRunner> runners = List.of(new MemoryRunner(), new MemoryRunner(), new MemoryRunner());
		List<LoaderProcess> loaders = new ArrayList<>();
		try (TestGateway gateway = TestGateway.with(declared(2), peers, (calls, address) -> origin)) {
			assertThat(gateway).isNotNull();
			for (int i = 0; i < runners.size(); i++) {
				loaders.add(loader("loader-" + i, peers, runners.get(i), 2, origin));
			}
			Awaitility.await().atMost(PATIENCE).until(() -> origin.callsRefused() > REFUSALS);
			origin.returnAgain();
			Awaitility.await()
				.atMost(PATIENCE)
				.untilAsserted(
						() -> assertThat(runners).allMatch((runner) -> runner.serving().equals(Map.of(MODEL, 2L))));
			assertThat(origin.piecesSent()).isLessThan(2 * MemoryOrigin.PIECES);
		}
		finally {
			loaders.forEach(LoaderProcess::stop);
		}
	}

}
