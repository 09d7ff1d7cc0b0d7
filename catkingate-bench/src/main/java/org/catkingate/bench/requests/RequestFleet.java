package org.catkingate.bench.requests;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.decisions.routing.Location;
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
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.wire.FrameTransport;
import org.catkingate.wire.HandshakeMessage;
import org.catkingate.wire.SharedKey;

/**
 * A fleet of one entry and several agents with one engine each, run in the process of the
 * benchmark. Safe for use by any thread.
 */
final class RequestFleet implements AutoCloseable {

	static final SharedKey SHARED_KEY = SharedKey.of("a key for the benchmark");

	static final String CLIENT_KEY = "callers-key";

	static final ServiceName SERVICE = new ServiceName("llm");

	static final VersionId VERSION = VersionId.of("model", "1");

	static final Digest DIGEST = Digest.of("weights".getBytes(StandardCharsets.UTF_8));

	static final DataCentreName DATA_CENTRE = new DataCentreName("dc-1");

	static final RegionName REGION = new RegionName("region-1");

	private static final int ENTRY_IO_THREADS = 4;

	private static final int UNLIMITED = 1_000_000_000;

	private final List<EngineAgent> agents = new ArrayList<>();

	private final AtomicReference<FleetSnapshot> snapshot = new AtomicReference<>();

	private final Set<Long> threadsBeforeStart = ThreadCpuTimes.liveThreads();

	private final FrameTransport transport;

	private final EntryServer entry;

	private final Set<Long> entryThreads;

	private RequestFleet(EntryPolicies policies, int runners, int slots, int queued, String... engineOptions)
			throws IOException {
		PublishedConfiguration configuration = configuration(slots, queued);
		this.snapshot.set(new FleetSnapshot(configuration, Map.of()));
		this.transport = FrameTransport.create(2, SHARED_KEY, identity("entry", Role.ENTRY));
		AtomicReference<BenchConnections> connections = new AtomicReference<>();
		this.entry = EntryServer.start(settings(), new Location(DATA_CENTRE, REGION), this.snapshot::get,
				(instance) -> connectionTo(connections, instance), () -> 1, policies, MonotonicClock.system());
		connections.set(new BenchConnections(this.entry));
		this.entryThreads = ThreadCpuTimes.threadsStartedSince(this.threadsBeforeStart);
		addAgents(connections.get(), runners, engineOptions);
		this.snapshot.set(new FleetSnapshot(configuration, views()));
	}

	private static Optional<PeerConnection> connectionTo(AtomicReference<BenchConnections> connections,
			InstanceId instance) {
		return connections.get().to(instance);
	}

	private static EntrySettings settings() {
		InetSocketAddress listenAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		return new EntrySettings(listenAddress, ENTRY_IO_THREADS, 1 << 20, Long.MAX_VALUE, 1 << 14, 40_000, 10_000,
				10_000, 60_000, 60_000, 600_000, 3000);
	}

	static RequestFleet start(EntryPolicies policies, int runners, int slots, int queued, String... engineOptions)
			throws IOException {
		return new RequestFleet(policies, runners, slots, queued, engineOptions);
	}

	static HandshakeMessage.PeerIdentity identity(String name, Role role) {
		return new HandshakeMessage.PeerIdentity(new InstanceId(name), role, System.nanoTime(), DATA_CENTRE, REGION);
	}

	private static PublishedConfiguration configuration(int slots, int queued) {
		CallPattern call = new CallPattern("POST", "/v1/completions");
		Service service = new Service(SERVICE, Service.Kind.ENGINE, true, "all", List.of(), List.of(call), 60_000, 1,
				25, slots, queued);
		RoutingRule rule = new RoutingRule("all", Selector.everything(), call, SERVICE, VERSION, Selector.everything());
		ClientAccount account = new ClientAccount(new AccountName("bench"),
				Digest.of(CLIENT_KEY.getBytes(StandardCharsets.UTF_8)), Labels.none(), UNLIMITED, UNLIMITED, UNLIMITED,
				5);
		return new PublishedConfiguration(new ConfigurationVersion(1, DIGEST), Map.of(), Map.of(SERVICE, service),
				Map.of("all", new InstanceGroup("all", Selector.everything())), Map.of(),
				Map.of(account.name(), account), List.of(rule));
	}

	private void addAgents(BenchConnections connections, int runners, String... engineOptions) throws IOException {
		for (int i = 0; i < runners; i++) {
			EngineAgent agent = new EngineAgent("agent-" + i, this.snapshot::get, engineOptions);
			this.agents.add(agent);
			this.transport.connect(agent.address(), connections, () -> {
			});
		}
		while (connections.count() < runners) {
			pause();
		}
	}

	private static void pause() throws IOException {
		try {
			TimeUnit.MILLISECONDS.sleep(5);
		}
		catch (InterruptedException ex) {
			throw new IOException("interrupted while connecting agents", ex);
		}
	}

	private Map<InstanceId, AgentView> views() {
		Map<InstanceId, AgentView> views = new HashMap<>();
		this.agents.forEach((agent) -> views.put(agent.instance(), agent.view()));
		return views;
	}

	EntryServer entry() {
		return this.entry;
	}

	List<EngineAgent> agents() {
		return this.agents;
	}

	/**
	 * Returns the CPU time of the entry's threads, including those of its connections to
	 * agents.
	 * @return the CPU time in nanoseconds
	 */
	long entryCpuNanos() {
		return ThreadCpuTimes.cpuNanos(this.entryThreads);
	}

	@Override
	public void close() {
		this.entry.close();
		this.transport.close();
		this.agents.forEach(EngineAgent::close);
	}

}
