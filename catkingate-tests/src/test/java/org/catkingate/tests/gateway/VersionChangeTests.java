package org.catkingate.tests.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

import org.catkingate.model.DataCentreName;
import org.catkingate.model.ModelName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.CallKind;
import org.catkingate.model.registry.CallerLimits;
import org.catkingate.model.registry.Engine;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.model.registry.RegisteredService;
import org.catkingate.model.registry.RegistryEntry;
import org.catkingate.model.registry.RegistryItem;
import org.catkingate.model.registry.RegistryItems;
import org.catkingate.model.registry.Route;
import org.catkingate.model.registry.RouteTable;
import org.catkingate.model.registry.ServingConfiguration;
import org.catkingate.runtime.registry.Registry;
import org.catkingate.standins.raw.RawServer;
import org.catkingate.tests.harness.FreePorts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that are at a runner when the time for a change of versions ends.
 */
class VersionChangeTests {

	private static final ModelName MODEL = new ModelName("lyrics");

	private static final ServiceName SERVICE = new ServiceName("songs");

	private static final long CHANGE_MILLIS = 2500;

	/** Longer than the change, so that it is not this that ends the request. */
	private static final long TIMEOUT_MILLIS = 9000;

	private static ServingConfiguration configuration() {
		Engine engine = new Engine(16, 5, 9.27, 0.0232, 20.7, 2048, 979, 92, 64, List.of(MODEL));
		Route route = new Route("route-1", TestGateway.HOST, "/songs/", CallKind.STREAM, false, true, TIMEOUT_MILLIS,
				1000, 1, 2, List.of(new Route.Target(SERVICE, 1)));
		return new ServingConfiguration(7, RouteTable.of(List.of(route)),
				Map.of(SERVICE, new RegisteredService(SERVICE, 100, Optional.of(engine), Optional.empty())), Map.of(),
				new CallerLimits(16_384, 100_000, 3000, 15_000));
	}

	private static RegistryItem runner(InetSocketAddress address, long version) {
		return new RegistryItem("runners/a", 2, new RegistryEntry.Runner(new RegisteredRunner(new RunnerId("runner-a"),
				1, SERVICE, address, new DataCentreName("a"), 4, false, Map.of(MODEL, version))));
	}

	// Guards against requests that begin on an older version because they wait at its
	// runner.
	@Test
	void aRequestThatHasNotBegunOnTheOlderVersionIsWithdrawnBeforeTheTimeIsOver() throws Exception {
		try (RawServer mute = RawServer.answering("");
				TestGateway gateway = TestGateway.with(new Declaring(
						new RegistryItem("configuration", 1, new RegistryEntry.Configuration(configuration())),
						runner(mute.address(), 1)), FreePorts.next(), (calls, address) -> null, CHANGE_MILLIS);
				RawCaller caller = gateway.connect()) {
			caller.send("POST /songs/1 HTTP/1.1\r\nHost: " + TestGateway.HOST
					+ "\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 9000\r\nContent-Length: 5\r\n\r\nhello");
			Awaitility.await().atMost(Duration.ofSeconds(5)).until(() -> mute.requests().size() == 1);
			assertThat(caller.answer()).as("the request may have run").startsWith("HTTP/1.1 502 ");
			Awaitility.await().atMost(Duration.ofSeconds(5)).until(() -> mute.connectionsLeft() == 1);
			assertThat(mute.requests()).hasSize(1);
		}
	}

	/**
	 * A registry in which version 2 is declared right after the first reading.
	 *
	 * @param configuration the configuration
	 * @param runner the only runner
	 */
	private record Declaring(RegistryItem configuration, RegistryItem runner) implements Registry {

		private static final long BEFORE = 100;

		private static final long AFTER = 101;

		@Override
		public CompletableFuture<RegistryItems> read(String afterKey) {
			return CompletableFuture
				.completedFuture(new RegistryItems(List.of(this.configuration, this.runner), false, BEFORE));
		}

		@Override
		public CompletableFuture<RegistryItems> watch(long afterRevision, long waitMillis) {
			List<RegistryItem> news = (afterRevision < AFTER)
					? List.of(new RegistryItem("version", AFTER, new RegistryEntry.DeclaredVersion(MODEL, 2)))
					: List.of();
			return CompletableFuture.supplyAsync(() -> new RegistryItems(news, false, AFTER),
					CompletableFuture.delayedExecutor(200, TimeUnit.MILLISECONDS));
		}

	}

}
