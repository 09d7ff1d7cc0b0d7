package org.catkingate.tests.requests;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.awaitility.Awaitility;

import org.catkingate.agent.idempotency.IdempotencyKeyHandler;
import org.catkingate.agent.idempotency.SelfConnectionProbe;
import org.catkingate.agent.requests.AgentRequestHandler;
import org.catkingate.agent.requests.AgentRequestSettings;
import org.catkingate.agent.requests.RunnerEndpoint;
import org.catkingate.agent.runners.RunnerGate;
import org.catkingate.decisions.idempotency.HomeView;
import org.catkingate.decisions.idempotency.IssuedKey;
import org.catkingate.decisions.idempotency.KeyHome;
import org.catkingate.decisions.idempotency.ScopedKey;
import org.catkingate.decisions.idempotency.VouchingBounds;
import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.decisions.routing.Location;
import org.catkingate.entry.EntryPolicies;
import org.catkingate.entry.EntryServer;
import org.catkingate.entry.EntrySettings;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Labels;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.RunnerStatus;
import org.catkingate.model.Selector;
import org.catkingate.model.published.CallPattern;
import org.catkingate.model.published.ClientAccount;
import org.catkingate.model.published.InstanceGroup;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.RoutingRule;
import org.catkingate.model.published.Service;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.wire.FrameTransport;

/**
 * A fleet of entries and agents in this process, connected over real sockets, with one
 * plain service whose calls may run at most once. The clock for keys is the system clock
 * plus an offset set by the test. Not thread-safe.
 */
final class IdempotencyKeyFleet implements AutoCloseable {

	static final VouchingBounds BOUNDS = VouchingBounds.defaults();

	static final long REPEAT_WINDOW_MILLIS = 60_000;

	private static final ClientAccount ACCOUNT = LocalFleet.account(1000, 1000, 1_000_000);

	private final AtomicLong clockOffsetMillis = new AtomicLong();

	private final MonotonicClock clock = () -> System.nanoTime()
			+ TimeUnit.MILLISECONDS.toNanos(this.clockOffsetMillis.get());

	private final PublishedConfiguration configuration;

	private final List<Entry> entries = new ArrayList<>();

	private final List<Agent> agents = new ArrayList<>();

	IdempotencyKeyFleet(int expectedRunners) {
		Service service = new Service(LocalFleet.PLAIN_SERVICE, Service.Kind.PLAIN, false, "all",
				List.of(new CallPattern("POST", "/purchases")), List.of(), REPEAT_WINDOW_MILLIS, expectedRunners, 100,
				8, 8);
		RoutingRule purchases = new RoutingRule("purchases", Selector.everything(), new CallPattern("*", "/purchases"),
				LocalFleet.PLAIN_SERVICE, null, Selector.everything());
		this.configuration = new PublishedConfiguration(new ConfigurationVersion(1, LocalFleet.DIGEST), Map.of(),
				Map.of(LocalFleet.PLAIN_SERVICE, service),
				Map.of("all", new InstanceGroup("all", Selector.everything())), Map.of(),
				Map.of(ACCOUNT.name(), ACCOUNT), List.of(purchases));
	}

	static HttpRequest purchaseRequest(Entry entry, String key) {
		return request(entry, "/purchases").header("Idempotency-Key", key)
			.POST(HttpRequest.BodyPublishers.ofString("one licence"))
			.build();
	}

	static HttpRequest keyRequest(Entry entry) {
		return request(entry, "/catkingate/idempotency-keys?service=" + LocalFleet.PLAIN_SERVICE)
			.POST(HttpRequest.BodyPublishers.noBody())
			.build();
	}

	private static HttpRequest.Builder request(Entry entry, String path) {
		return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.server.address().getPort() + path))
			.version(HttpClient.Version.HTTP_1_1)
			.timeout(LocalFleet.TIMEOUT)
			.header("Authorization", "Bearer callers-key");
	}

	Entry startEntry(String name) throws IOException {
		Entry entry = new Entry(name);
		this.entries.add(entry);
		return entry;
	}

	Agent startAgent(String name, InetSocketAddress runner) throws IOException {
		Agent agent = new Agent(name, runner);
		this.agents.add(agent);
		return agent;
	}

	/**
	 * Advances the clock for keys; the instance list stays confirmed.
	 * @param millis the time by which to advance, in milliseconds
	 */
	void advanceClock(long millis) {
		this.clockOffsetMillis.addAndGet(millis);
		this.agents.forEach(Agent::confirmList);
	}

	void advanceClockPastRetention() {
		advanceClock(BOUNDS.retentionMillis(REPEAT_WINDOW_MILLIS));
	}

	/**
	 * Connects a part of the fleet and makes it the fleet that these processes see.
	 * @param someEntries the entries
	 * @param someAgents the agents, which are the instance list of all these processes
	 */
	void connect(List<Entry> someEntries, List<Agent> someAgents) {
		someAgents.forEach((agent) -> agent.setFleet(someAgents));
		someEntries.forEach((entry) -> entry.setFleet(someAgents));
	}

	/**
	 * Makes agents exchange statements and waits until each has received those of all
	 * others.
	 * @param someAgents the agents
	 */
	void exchangeStatements(List<Agent> someAgents) {
		someAgents.forEach((agent) -> agent.keyHandler.tick());
		Awaitility.await()
			.atMost(LocalFleet.TIMEOUT)
			.until(() -> someAgents.stream().allMatch((agent) -> agent.hasRecentStatements(someAgents.size() - 1)));
	}

	@Override
	public void close() {
		this.entries.forEach(Entry::close);
		this.agents.forEach(Agent::close);
	}

	private static void connect(FrameTransport transport, PeerListenerAdapter adapter, Agent agent) {
		Object previous = adapter.newestConnection(agent.home.instance());
		transport.connect(agent.address, adapter, () -> {
		});
		Awaitility.await().atMost(LocalFleet.TIMEOUT).until(() -> {
			Object current = adapter.newestConnection(agent.home.instance());
			return current != null && current != previous;
		});
	}

	/**
	 * An entry.
	 */
	final class Entry {

		private final FrameTransport transport;

		private final EntryServer server;

		private final PeerListenerAdapter adapter;

		private volatile FleetSnapshot snapshot = new FleetSnapshot(IdempotencyKeyFleet.this.configuration, Map.of());

		private Entry(String name) throws IOException {
			this.transport = FrameTransport.create(1, LocalFleet.SHARED_KEY,
					LocalAgent.identity(name, Role.ENTRY, System.nanoTime()));
			PeerListenerAdapter[] adapterHolder = new PeerListenerAdapter[1];
			this.server = EntryServer.start(
					EntrySettings.withDefaults(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)),
					new Location(new DataCentreName("ahd-a"), new RegionName("guj-west")), () -> this.snapshot,
					(instance) -> Optional.ofNullable(adapterHolder[0].newestConnection(instance)), () -> 1,
					EntryPolicies.defaults(1), MonotonicClock.system());
			adapterHolder[0] = new PeerListenerAdapter(this.server);
			this.adapter = adapterHolder[0];
		}

		void setFleet(List<Agent> visibleAgents) {
			visibleAgents.forEach((agent) -> IdempotencyKeyFleet.connect(this.transport, this.adapter, agent));
			Map<InstanceId, AgentView> views = new HashMap<>();
			visibleAgents.forEach((agent) -> views.put(agent.home.instance(), agent.view()));
			this.snapshot = new FleetSnapshot(IdempotencyKeyFleet.this.configuration, views);
		}

		private void close() {
			this.server.close();
			this.transport.close();
		}

	}

	/**
	 * An agent with one runner.
	 */
	final class Agent {

		private final long incarnation = System.nanoTime();

		private final RunnerGate gate = RunnerGate.closed(LocalAgent.RUNNER, LocalFleet.PLAIN_SERVICE);

		private final FrameTransport transport;

		private final IdempotencyKeyHandler keyHandler;

		private final AgentRequestHandler requestHandler;

		private final PeerListenerAdapter adapter;

		private final InetSocketAddress address;

		private final KeyHome home;

		private Agent(String name, InetSocketAddress runner) throws IOException {
			this.gate.open(null, null);
			this.transport = FrameTransport.create(1, LocalFleet.SHARED_KEY,
					LocalAgent.identity(name, Role.AGENT, this.incarnation));
			PeerListenerAdapter[] adapterHolder = new PeerListenerAdapter[1];
			InetSocketAddress loopback = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
			this.address = this.transport.listen(loopback, new DeferredListener(adapterHolder));
			this.home = KeyHome.of(new InstanceId(name), this.address);
			this.keyHandler = IdempotencyKeyHandler.start(this.home, this.incarnation,
					Map.of(LocalFleet.PLAIN_SERVICE, 1), BOUNDS,
					(instance) -> Optional.ofNullable(adapterHolder[0].newestConnection(instance)),
					SelfConnectionProbe.create((probed, listener) -> this.transport.connect(probed, listener, () -> {
					}), this.incarnation), IdempotencyKeyFleet.this.clock, System::currentTimeMillis);
			this.requestHandler = AgentRequestHandler.start(List.of(new RunnerEndpoint(this.gate, runner)),
					() -> new FleetSnapshot(IdempotencyKeyFleet.this.configuration, Map.of()), (sequence) -> 0,
					this.keyHandler.guard(), MonotonicClock.system(), AgentRequestSettings.defaults());
			adapterHolder[0] = new PeerListenerAdapter(this.keyHandler.interceptKeyMessages(this.requestHandler));
			this.adapter = adapterHolder[0];
		}

		private void setFleet(List<Agent> visibleAgents) {
			visibleAgents.stream()
				.filter((other) -> other != this)
				.forEach((other) -> IdempotencyKeyFleet.connect(this.transport, this.adapter, other));
			this.keyHandler.fleetChanged(IdempotencyKeyFleet.this.configuration,
					visibleAgents.stream().map(Agent::instanceRecord).toList());
			confirmList();
		}

		private void confirmList() {
			this.keyHandler.listConfirmed(IdempotencyKeyFleet.this.clock.millis());
		}

		private boolean hasRecentStatements(int expectedCount) {
			long now = IdempotencyKeyFleet.this.clock.millis();
			return this.keyHandler.state()
				.services()
				.get(LocalFleet.PLAIN_SERVICE)
				.statements()
				.values()
				.stream()
				.filter((statement) -> now - statement.requestedAtMillis() < BOUNDS.maxStatementAgeMillis())
				.count() == expectedCount;
		}

		private InstanceRecord instanceRecord() {
			return new InstanceRecord(this.home.instance(), Role.AGENT, this.address, new DataCentreName("ahd-a"),
					new RegionName("guj-west"), Labels.none(), false);
		}

		private AgentView view() {
			RunnerStatus status = new RunnerStatus(LocalAgent.RUNNER, LocalFleet.PLAIN_SERVICE, null, null, true);
			return new AgentView(instanceRecord(), this.incarnation, true, false, List.of(status), List.of(), 0);
		}

		String name() {
			return this.home.instance().value();
		}

		boolean isHomeOf(String key) {
			ScopedKey scopedKey = new ScopedKey(ACCOUNT.name(), LocalFleet.PLAIN_SERVICE, key);
			List<KeyHome> homes = IdempotencyKeyFleet.this.agents.stream().map((agent) -> agent.home).toList();
			return HomeView.of(0, homes).home(scopedKey).orElseThrow().equals(this.home);
		}

		boolean hasIssued(String key) {
			return IssuedKey.parse(key).orElseThrow().incarnation() == this.incarnation;
		}

		boolean isBusy() {
			return this.gate.inProgress() > 0;
		}

		void kill() {
			IdempotencyKeyFleet.this.agents.remove(this);
			close();
		}

		private void close() {
			this.transport.close();
			this.requestHandler.close();
		}

	}

}
