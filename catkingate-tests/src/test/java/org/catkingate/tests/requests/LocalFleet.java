package org.catkingate.tests.requests;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.awaitility.Awaitility;

import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.decisions.routing.Location;
import org.catkingate.decisions.routing.RoutingPolicy;
import org.catkingate.entry.EntryPolicies;
import org.catkingate.entry.EntryServer;
import org.catkingate.entry.EntrySettings;
import org.catkingate.model.AccountName;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;
import org.catkingate.model.Labels;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.Selector;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;
import org.catkingate.model.published.CallPattern;
import org.catkingate.model.published.ClientAccount;
import org.catkingate.model.published.InstanceGroup;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.RoutingRule;
import org.catkingate.model.published.Service;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.peers.PeerConnections;
import org.catkingate.wire.FrameTransport;
import org.catkingate.wire.SharedKey;

/**
 * A fleet of one entry and several agents in this process, with one engine service and
 * one plain service. Not thread-safe.
 */
final class LocalFleet implements AutoCloseable {

	static final SharedKey SHARED_KEY = SharedKey.of("a key of some length");

	static final Duration TIMEOUT = Duration.ofSeconds(20);

	static final ServiceName ENGINE_SERVICE = new ServiceName("geet-llm");

	static final ServiceName PLAIN_SERVICE = new ServiceName("catalogue-api");

	static final VersionId VERSION = VersionId.of("lyrics", "1");

	static final Digest DIGEST = Digest.of("weights".getBytes(StandardCharsets.UTF_8));

	private static final String API_KEY = "callers-key";

	private final List<LocalAgent> agents = new ArrayList<>();

	private final List<AgentView> scriptedAgentViews = new ArrayList<>();

	private final FrameTransport transport;

	private final EntryServer entry;

	private final PeerListenerAdapter adapter;

	private volatile FleetSnapshot snapshot;

	private PublishedConfiguration configuration = configuration(account(1000, 1000, 1_000_000), 8, 8);

	private LocalFleet(EntrySettings settings, EntryPolicies policies) throws IOException {
		this.snapshot = new FleetSnapshot(this.configuration, Map.of());
		this.transport = FrameTransport.create(1, SHARED_KEY, LocalAgent.identity("entry", Role.ENTRY, 1));
		PeerListenerAdapter[] adapterHolder = new PeerListenerAdapter[1];
		PeerConnections connections = (instance) -> Optional.ofNullable(adapterHolder[0].newestConnection(instance));
		this.entry = EntryServer.start(settings, new Location(new DataCentreName("ahd-a"), new RegionName("guj-west")),
				() -> this.snapshot, connections, () -> 1, policies, MonotonicClock.system());
		adapterHolder[0] = new PeerListenerAdapter(this.entry);
		this.adapter = adapterHolder[0];
	}

	static LocalFleet start() throws IOException {
		return new LocalFleet(settings(), EntryPolicies.defaults(1));
	}

	/**
	 * Starts a fleet whose entry serves all callers on one I/O thread, so that a routing
	 * policy that blocks also blocks everything else on that thread.
	 * @param routing the routing policy
	 */
	static LocalFleet startOnOneThread(RoutingPolicy routing) throws IOException {
		EntrySettings defaultSettings = settings();
		EntrySettings settings = settings(1, defaultSettings.maxTotalBodyBytes());
		EntryPolicies defaultPolicies = EntryPolicies.defaults(1);
		return new LocalFleet(settings, new EntryPolicies(routing, defaultPolicies.retries(),
				defaultPolicies.retryBudget(), defaultPolicies.seed()));
	}

	/**
	 * Starts a fleet whose entry has little memory for the bodies of requests.
	 * @param bytes the memory for all bodies together
	 */
	static LocalFleet startWithBodyMemory(long bytes) throws IOException {
		return new LocalFleet(settings(settings().ioThreads(), bytes), EntryPolicies.defaults(1));
	}

	private static EntrySettings settings(int ioThreads, long maxTotalBodyBytes) {
		EntrySettings defaults = settings();
		return new EntrySettings(defaults.listen(), ioThreads, defaults.maxBodyBytes(), maxTotalBodyBytes,
				defaults.maxHeaderBytes(), defaults.maxConnections(), defaults.headTimeoutMillis(),
				defaults.bodyTimeoutMillis(), defaults.idleTimeoutMillis(), defaults.defaultDeadlineMillis(),
				defaults.maxDeadlineMillis(), defaults.reattachTimeoutMillis());
	}

	private static EntrySettings settings() {
		return EntrySettings.withDefaults(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
	}

	static ClientAccount account(int requestsPerSecond, int concurrentRequests, int tokensPerSecond) {
		return new ClientAccount(new AccountName("bar-1"), Digest.of(API_KEY.getBytes(StandardCharsets.UTF_8)),
				Labels.none(), requestsPerSecond, concurrentRequests, tokensPerSecond, 5);
	}

	static PublishedConfiguration configuration(ClientAccount account, int concurrentRequests, int queuedRequests) {
		Service engine = new Service(ENGINE_SERVICE, Service.Kind.ENGINE, true, "all", List.of(),
				List.of(new CallPattern("POST", "/v1/completions")), 60_000, 1, 25, concurrentRequests, queuedRequests);
		Service plain = new Service(PLAIN_SERVICE, Service.Kind.PLAIN, false, "all",
				List.of(new CallPattern("POST", "/purchases")), List.of(new CallPattern("POST", "/lookups*")), 60_000,
				1, 25, concurrentRequests, queuedRequests);
		RoutingRule completions = new RoutingRule("completions", Selector.everything(),
				new CallPattern("POST", "/v1/completions"), ENGINE_SERVICE, VERSION, Selector.everything());
		RoutingRule purchases = new RoutingRule("purchases", Selector.everything(), new CallPattern("*", "/purchases"),
				PLAIN_SERVICE, null, Selector.everything());
		RoutingRule lookups = new RoutingRule("lookups", Selector.everything(), new CallPattern("*", "/lookups*"),
				PLAIN_SERVICE, null, Selector.everything());
		return new PublishedConfiguration(new ConfigurationVersion(1, DIGEST), Map.of(),
				Map.of(ENGINE_SERVICE, engine, PLAIN_SERVICE, plain),
				Map.of("all", new InstanceGroup("all", Selector.everything())), Map.of(),
				Map.of(account.name(), account), List.of(completions, purchases, lookups));
	}

	void publish(PublishedConfiguration published) {
		this.configuration = published;
		refreshSnapshot();
	}

	LocalAgent addEngine(String name, InetSocketAddress runner) throws IOException {
		return add(new LocalAgent(name, ENGINE_SERVICE, VERSION, DIGEST, runner, () -> this.snapshot));
	}

	LocalAgent addPlain(String name, InetSocketAddress runner) throws IOException {
		return add(new LocalAgent(name, PLAIN_SERVICE, null, null, runner, () -> this.snapshot));
	}

	/**
	 * Adds an agent whose messages are sent by the test.
	 * @param view the agent as the entry sees it
	 */
	void addScriptedAgent(AgentView view) {
		this.scriptedAgentViews.add(view);
		connect(view.instance().id(), view.instance().address());
		refreshSnapshot();
	}

	private LocalAgent add(LocalAgent agent) {
		this.agents.add(agent);
		connect(agent, agent.address());
		refreshSnapshot();
		return agent;
	}

	/**
	 * Opens another connection to an agent and waits until it is open.
	 * @param agent the agent
	 * @param address the address to connect to, which may be that of a proxy
	 */
	void connect(LocalAgent agent, InetSocketAddress address) {
		connect(agent.instance(), address);
	}

	private void connect(InstanceId instance, InetSocketAddress address) {
		Object previous = this.adapter.newestConnection(instance);
		this.transport.connect(address, this.adapter, () -> {
		});
		Awaitility.await().atMost(TIMEOUT).until(() -> {
			Object current = this.adapter.newestConnection(instance);
			return current != null && current != previous;
		});
	}

	void refreshSnapshot() {
		Map<InstanceId, AgentView> views = new HashMap<>();
		this.agents.forEach((agent) -> views.put(agent.instance(), agent.view()));
		this.scriptedAgentViews.forEach((view) -> views.put(view.instance().id(), view));
		this.snapshot = new FleetSnapshot(this.configuration, views);
	}

	EntryServer entry() {
		return this.entry;
	}

	PeerListenerAdapter adapter() {
		return this.adapter;
	}

	URI uri(String path) {
		return URI.create("http://127.0.0.1:" + this.entry.address().getPort() + path);
	}

	HttpRequest.Builder request(String path) {
		return HttpRequest.newBuilder(uri(path))
			.version(HttpClient.Version.HTTP_1_1)
			.timeout(TIMEOUT)
			.header("Authorization", "Bearer " + API_KEY);
	}

	HttpRequest completion(String prompt, int tokens) {
		String json = "{\"prompt\":\"" + prompt + "\",\"max_tokens\":" + tokens + ",\"stream\":true}";
		return request("/v1/completions").POST(HttpRequest.BodyPublishers.ofString(json)).build();
	}

	@Override
	public void close() {
		this.entry.close();
		this.transport.close();
		this.agents.forEach(LocalAgent::close);
	}

}
