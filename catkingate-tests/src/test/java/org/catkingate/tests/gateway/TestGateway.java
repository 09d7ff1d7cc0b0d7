package org.catkingate.tests.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;

import org.catkingate.gateway.GatewayProcess;
import org.catkingate.model.AccountName;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.RegionName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.CallKind;
import org.catkingate.model.registry.CallerLimits;
import org.catkingate.model.registry.RegisteredAccount;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.model.registry.RegisteredService;
import org.catkingate.model.registry.RegistryItem;
import org.catkingate.model.registry.RegistryPage;
import org.catkingate.model.registry.RegistryValue;
import org.catkingate.model.registry.Route;
import org.catkingate.model.registry.RouteTable;
import org.catkingate.model.registry.ServingConfiguration;
import org.catkingate.platform.PlatformHeaderCodec;
import org.catkingate.runtime.calls.HeaderCodec;
import org.catkingate.runtime.registry.Registry;
import org.catkingate.runtime.settings.GatewaySettings;
import org.catkingate.runtime.staging.PieceOriginFactory;
import org.catkingate.tests.harness.FreePorts;

/**
 * A gateway in this process, with an in-memory registry. Not thread-safe.
 */
final class TestGateway implements AutoCloseable {

	static final String HOST = "songs.example";

	static final String API_KEY = "key-1";

	private static final ServiceName SERVICE = new ServiceName("songs");

	private final GatewayProcess process;

	private final InetSocketAddress callers;

	private final InetSocketAddress operators;

	private TestGateway(GatewayProcess process, InetSocketAddress callers, InetSocketAddress operators) {
		this.process = process;
		this.callers = callers;
		this.operators = operators;
	}

	/**
	 * Starts a gateway with one route.
	 * @param kind the kind of the route's calls, which decides on retries
	 * @param runners the addresses of the runners of its service
	 * @return the gateway, after it has read its configuration
	 */
	static TestGateway start(CallKind kind, InetSocketAddress... runners) throws Exception {
		return start(items(kind, runners), FreePorts.next(), (client, address) -> null);
	}

	/**
	 * Starts a gateway with one route for streams that may not be resumed.
	 * @param runners the addresses of the runners of its service
	 * @return the gateway, after it has read its configuration
	 */
	static TestGateway startWithStreamsThatMayNotBeResumed(InetSocketAddress... runners) throws Exception {
		return start(items(configuration(7, CallKind.STREAM, false, Set.of(), Set.of()), runners), FreePorts.next(),
				(client, address) -> null);
	}

	/**
	 * Creates the content of a registry with one route.
	 * @param kind the kind of the route's calls
	 * @param runners the addresses of the runners of its service
	 * @return the items
	 */
	static List<RegistryItem> items(CallKind kind, InetSocketAddress... runners) {
		return items(configuration(7, kind, Set.of(), Set.of()), runners);
	}

	private static List<RegistryItem> items(ServingConfiguration configuration, InetSocketAddress... runners) {
		List<RegistryItem> items = new ArrayList<>();
		items.add(new RegistryItem("configuration", 1, new RegistryValue.Configuration(configuration)));
		for (int i = 0; i < runners.length; i++) {
			RegisteredRunner runner = new RegisteredRunner(new RunnerId("runner-" + i), 1, SERVICE, runners[i],
					new DataCentreName("a"), 4, false, Map.of(), 0);
			items.add(new RegistryItem("runners/" + i, 2 + i, new RegistryValue.Runner(runner)));
		}
		return items;
	}

	/**
	 * Starts a gateway.
	 * @param items the content of the registry
	 * @param peers the address on which it listens for other processes
	 * @param originFactory creates the origin of weights
	 * @return the gateway, after it has read its configuration
	 */
	static TestGateway start(List<RegistryItem> items, InetSocketAddress peers, PieceOriginFactory originFactory)
			throws Exception {
		return start(new InMemoryRegistry(items), peers, originFactory, 8000);
	}

	/**
	 * Starts a gateway.
	 * @param registry the registry it follows
	 * @param peers the address on which it listens for other processes
	 * @param originFactory creates the origin of weights
	 * @param changeMillis the time that a version change may take, in milliseconds
	 * @return the gateway, after it has read its configuration
	 */
	static TestGateway start(Registry registry, InetSocketAddress peers, PieceOriginFactory originFactory,
			long changeMillis) throws Exception {
		return start(registry, peers, originFactory, changeMillis, "");
	}

	/**
	 * Starts a gateway that connects to others.
	 * @param registry the registry it follows
	 * @param peers the address on which it listens for other processes
	 * @param originFactory creates the origin of weights
	 * @param changeMillis the time that a version change may take, in milliseconds
	 * @param seeds the addresses of other gateways, separated by commas
	 * @return the gateway, after it has received a configuration
	 */
	static TestGateway start(Registry registry, InetSocketAddress peers, PieceOriginFactory originFactory,
			long changeMillis, String seeds) throws Exception {
		TestGateway gateway = startWithoutWaiting(registry, peers, originFactory, changeMillis, seeds);
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(gateway::isReady);
		return gateway;
	}

	/**
	 * Starts a gateway with one route.
	 * @param kind the kind of the route's calls
	 * @param moreSettings the sections of its settings that no other test has
	 * @param runners the addresses of the runners of its service
	 * @return the gateway, after it has read its configuration
	 */
	static TestGateway startWith(CallKind kind, String moreSettings, InetSocketAddress... runners) throws Exception {
		TestGateway gateway = startWithoutWaiting(new InMemoryRegistry(items(kind, runners)), FreePorts.next(),
				(client, address) -> null, 8000, "", moreSettings);
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(gateway::isReady);
		return gateway;
	}

	/**
	 * Starts a gateway that reads headers in a way of the test's own.
	 * @param registry the registry it follows
	 * @param peers the address on which it listens for other processes
	 * @param codec reads and writes the headers
	 * @return the gateway, after it has read its configuration
	 */
	static TestGateway start(Registry registry, InetSocketAddress peers, HeaderCodec codec) throws Exception {
		TestGateway gateway = startWithoutWaiting(registry, peers, (client, address) -> null, 8000, "", "", codec,
				ShutdownTimes.SHORT);
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(gateway::isReady);
		return gateway;
	}

	/**
	 * Starts a gateway and does not wait until it has received a configuration.
	 * @param registry the registry it follows
	 * @param peers the address on which it listens for other processes
	 * @param originFactory creates the origin of weights
	 * @param changeMillis the time that a version change may take, in milliseconds
	 * @param seeds the addresses of other gateways, separated by commas
	 * @return the gateway
	 */
	static TestGateway startWithoutWaiting(Registry registry, InetSocketAddress peers, PieceOriginFactory originFactory,
			long changeMillis, String seeds) throws Exception {
		return startWithoutWaiting(registry, peers, originFactory, changeMillis, seeds, "");
	}

	/**
	 * Starts a gateway that chooses runners by cost.
	 * @param kind the kind of the route's calls
	 * @param runners the addresses of the runners of its service
	 * @return the gateway, after it has read its configuration
	 */
	static TestGateway startByCost(CallKind kind, InetSocketAddress... runners) throws Exception {
		TestGateway gateway = startWithoutWaiting(new InMemoryRegistry(items(kind, runners)), FreePorts.next(),
				(client, address) -> null, 8000, "", "[routing]\nby-cost = true\n");
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(gateway::isReady);
		return gateway;
	}

	/**
	 * Starts a gateway with other times of its shutdown.
	 * @param noticeSeconds the notice period
	 * @param limitSeconds the time limit after it
	 * @param kind the kind of the route's calls
	 * @param runners the addresses of the runners of its service
	 * @return the gateway, after it has read its configuration
	 */
	static TestGateway startWithShutdown(int noticeSeconds, int limitSeconds, CallKind kind,
			InetSocketAddress... runners) throws Exception {
		TestGateway gateway = startWithoutWaiting(new InMemoryRegistry(items(kind, runners)), FreePorts.next(),
				(client, address) -> null, 8000, "", "", new PlatformHeaderCodec(),
				new ShutdownTimes(noticeSeconds, limitSeconds));
		Awaitility.await().atMost(Duration.ofSeconds(20)).until(gateway::isReady);
		return gateway;
	}

	private static TestGateway startWithoutWaiting(Registry registry, InetSocketAddress peers,
			PieceOriginFactory originFactory, long changeMillis, String seeds, String moreSettings) throws Exception {
		return startWithoutWaiting(registry, peers, originFactory, changeMillis, seeds, moreSettings,
				new PlatformHeaderCodec(), ShutdownTimes.SHORT);
	}

	private static TestGateway startWithoutWaiting(Registry registry, InetSocketAddress peers,
			PieceOriginFactory originFactory, long changeMillis, String seeds, String moreSettings, HeaderCodec codec,
			ShutdownTimes shutdown) throws Exception {
		InetSocketAddress callers = FreePorts.next();
		InetSocketAddress operators = FreePorts.next();
		GatewaySettings settings = GatewaySettings.parse("""
				[process]
				instance = gateway-%d
				data-centre = a
				region = r
				[data-centres]
				a = r
				b = s
				c = t
				[registry]
				url = http://127.0.0.1:1
				[callers]
				listen = 127.0.0.1:%d
				[operators]
				listen = 127.0.0.1:%d
				[peers]
				listen = 127.0.0.1:%d
				seeds = %s
				shared-key = only-for-these-tests
				[shutdown]
				notice-s = %d
				limit-s = %d
				[keys]
				certain-ms = 5000
				[retries]
				ratio = 0.2
				free = 600
				window-s = 10
				[weights]
				change-ms = %d
				%s""".formatted(peers.getPort(), callers.getPort(), operators.getPort(), peers.getPort(), seeds,
				shutdown.noticeSeconds(), shutdown.limitSeconds(), changeMillis, moreSettings));
		GatewayProcess process = GatewayProcess.start(settings, (client, url) -> registry, originFactory, codec);
		return new TestGateway(process, callers, operators);
	}

	boolean isReady() throws IOException {
		HttpURLConnection connection = (HttpURLConnection) URI
			.create("http://127.0.0.1:" + this.operators.getPort() + "/readyz")
			.toURL()
			.openConnection();
		try {
			return connection.getResponseCode() == HttpURLConnection.HTTP_OK;
		}
		finally {
			connection.disconnect();
		}
	}

	String readFromOperators(String path) throws IOException {
		try (InputStream body = URI.create("http://127.0.0.1:" + this.operators.getPort() + path)
			.toURL()
			.openStream()) {
			return new String(body.readAllBytes(), StandardCharsets.UTF_8);
		}
	}

	/**
	 * Reads a counter of the gateway.
	 * @param name the end of its name, after the prefix that all counters of gateways
	 * have
	 * @return its value
	 */
	double counter(String name) throws IOException {
		URI metrics = URI.create("http://127.0.0.1:" + this.operators.getPort() + "/metrics");
		try (InputStream input = metrics.toURL().openStream()) {
			return new String(input.readAllBytes(), StandardCharsets.UTF_8).lines()
				.filter((line) -> line.startsWith("catkingate_gateway_" + name + "_total "))
				.mapToDouble((line) -> Double.parseDouble(line.split(" ")[1]))
				.findFirst()
				.orElseThrow();
		}
	}

	/**
	 * Creates a configuration with one route and one client account.
	 * @param version its version
	 * @param kind the kind of the route's calls
	 * @param routeRegions the regions that the route allows; empty for all
	 * @param accountRegions the regions that the account allows; empty for all
	 * @return the configuration
	 */
	static ServingConfiguration configuration(long version, CallKind kind, Set<RegionName> routeRegions,
			Set<RegionName> accountRegions) {
		return configuration(version, kind, true, routeRegions, accountRegions);
	}

	private static ServingConfiguration configuration(long version, CallKind kind, boolean resumable,
			Set<RegionName> routeRegions, Set<RegionName> accountRegions) {
		Route route = new Route("route-1", HOST, "/songs/", kind, resumable, false, 3000, 1000, 1, 2,
				List.of(new Route.Target(SERVICE, 1)), Long.MAX_VALUE, routeRegions);
		return new ServingConfiguration(version, RouteTable.of(List.of(route)),
				Map.of(SERVICE,
						new RegisteredService(SERVICE, 100, Optional.empty(), Optional.empty(), Optional.empty())),
				Map.of(API_KEY, new RegisteredAccount(new AccountName("bar-1"), 0, accountRegions)),
				new CallerLimits(16_384, 100_000, 3000, 15_000));
	}

	RawCaller connect() throws Exception {
		return RawCaller.connectTo(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.callers.getPort()));
	}

	@Override
	public void close() {
		this.process.stop();
	}

	/**
	 * The times of a graceful shutdown.
	 *
	 * @param noticeSeconds the notice period
	 * @param limitSeconds the time limit after it
	 */
	private record ShutdownTimes(int noticeSeconds, int limitSeconds) {

		private static final ShutdownTimes SHORT = new ShutdownTimes(0, 1);

	}

	/**
	 * A registry that never changes.
	 *
	 * @param items the content of the registry
	 */
	record InMemoryRegistry(List<RegistryItem> items) implements Registry {

		@Override
		public CompletableFuture<RegistryPage> read(String afterKey) {
			return CompletableFuture.completedFuture(new RegistryPage(this.items, false, 100));
		}

		@Override
		public CompletableFuture<RegistryPage> watch(long afterRevision, long waitMillis) {
			return CompletableFuture.supplyAsync(() -> new RegistryPage(List.of(), false, 100),
					CompletableFuture.delayedExecutor(200, TimeUnit.MILLISECONDS));
		}

		@Override
		public RegistryValue decode(String key, byte[] content) {
			return new RegistryValue.Unreadable("no item has a published content");
		}

	}

}
