package org.catkingate.runtime.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.awaitility.Awaitility;
import org.awaitility.core.ConditionFactory;

import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.ProcessIdentity;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.Labels;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.RunnerId;
import org.catkingate.model.RunnerStatus;
import org.catkingate.model.ServiceName;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerListener;
import org.catkingate.standins.platform.Platform;
import org.catkingate.standins.platform.Publication;
import org.catkingate.wire.Message;
import org.catkingate.wire.SharedKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A simulated platform and a few fleet members, all within the test process. For use by
 * one thread.
 */
final class SmallFleet implements AutoCloseable {

	private static final Duration TIMEOUT = Duration.ofSeconds(40);

	private final Platform platform = Platform.start("--listen", "127.0.0.1:0");

	private final Map<String, Fleet> processes = new TreeMap<>();

	private long incarnation = 1000;

	static ConditionFactory eventually() {
		return Awaitility.await().atMost(TIMEOUT).pollInterval(Duration.ofMillis(20));
	}

	Platform platform() {
		return this.platform;
	}

	void publish(long revision, String... parts) {
		this.platform.publish(Publication.of(revision, List.of(parts)));
	}

	static String group(String name) {
		return "[group " + name + "]\nselector = *\n";
	}

	Fleet entry(String name) throws IOException {
		return entry(name, MonotonicClock.system());
	}

	Fleet entry(String name, MonotonicClock clock) throws IOException {
		URI url = url(this.platform.address());
		return start(self(name, Role.ENTRY, "r1"), url, url, clock);
	}

	Fleet agent(String name) throws IOException {
		return agent(name, url(this.platform.address()));
	}

	Fleet agent(String name, URI configuration) throws IOException {
		return agent(name, "r1", configuration, this.platform);
	}

	Fleet agent(String name, String region, URI configuration, Platform listPlatform) throws IOException {
		Fleet fleet = start(self(name, Role.AGENT, region), configuration, url(listPlatform.address()),
				MonotonicClock.system());
		addToInstanceList(listPlatform, name, region, fleet.address().orElseThrow());
		fleet.setRunners(List.of(new RunnerStatus(new RunnerId("r1"), new ServiceName("s"), null, null, true)));
		return fleet;
	}

	void addToInstanceList(String name, InetSocketAddress address) {
		addToInstanceList(this.platform, name, "r1", address);
	}

	static void addToInstanceList(Platform listPlatform, String name, String region, InetSocketAddress address) {
		ObjectNode instance = new ObjectMapper().createObjectNode()
			.put("id", name)
			.put("role", "agent")
			.put("address", address.getAddress().getHostAddress() + ":" + address.getPort())
			.put("dataCentre", "dc-" + region)
			.put("region", region)
			.put("leaving", false);
		instance.putObject("labels");
		listPlatform.putInstance(instance);
	}

	private ProcessIdentity self(String name, Role role, String region) {
		return new ProcessIdentity(new InstanceId(name), role, this.incarnation++, new DataCentreName("dc-" + region),
				new RegionName(region), Labels.none());
	}

	private Fleet start(ProcessIdentity self, URI configuration, URI instances, MonotonicClock clock)
			throws IOException {
		InetSocketAddress listen = (self.role() == Role.AGENT)
				? new InetSocketAddress(InetAddress.getLoopbackAddress(), 0) : null;
		FleetSettings settings = new FleetSettings(self, configuration, instances, listen,
				SharedKey.of("a key for these tests"), 1);
		Fleet fleet = Fleet.create(settings, clock);
		fleet.start(new IgnoringPeerListener());
		this.processes.put(self.instance().value(), fleet);
		return fleet;
	}

	static URI url(InetSocketAddress address) {
		return URI.create("http://127.0.0.1:" + address.getPort());
	}

	void stop(String name) {
		this.processes.remove(name).close();
	}

	static long revision(Fleet fleet) {
		return fleet.snapshot().configuration().version().revision();
	}

	List<Long> revisions() {
		return new ArrayList<>(this.processes.values().stream().map(SmallFleet::revision).toList());
	}

	void awaitRevision(long revision) {
		eventually().untilAsserted(() -> assertThat(revisions()).allMatch((seen) -> seen == revision));
	}

	static boolean canRouteRequests(Fleet entry, String agent) {
		AgentView view = entry.snapshot().agents().get(new InstanceId(agent));
		return view != null && view.canAcceptRequests() && !view.runners().isEmpty();
	}

	@Override
	public void close() {
		this.processes.values().forEach(Fleet::close);
		this.platform.close();
	}

	/**
	 * A listener that ignores all connections and messages.
	 */
	static final class IgnoringPeerListener implements PeerListener {

		@Override
		public void onOpened(PeerConnection connection) {
		}

		@Override
		public void onReceived(PeerConnection connection, Message message) {
		}

		@Override
		public void onClosed(PeerConnection connection) {
		}

		@Override
		public void onSendQueueEmptied(PeerConnection connection) {
		}

	}

}
