package org.catkingate.bench.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkingate.decisions.membership.ProcessIdentity;
import org.catkingate.model.AddressFormatter;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.Labels;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.fleet.Fleet;
import org.catkingate.runtime.fleet.FleetSettings;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerListener;
import org.catkingate.standins.platform.Platform;
import org.catkingate.wire.Message;
import org.catkingate.wire.SharedKey;

/**
 * A platform and the control planes of many processes, run in one Java process and
 * connected over loopback: three regions with seven data centres, and one entry for every
 * seven agents. The first process reads a separate platform, so that the shared one can
 * be stale. Not thread-safe.
 */
final class ControlFleet implements AutoCloseable {

	private static final int DATA_CENTRE_COUNT = 7;

	private static final int REGION_COUNT = 3;

	private static final int PROCESSES_PER_ENTRY = 8;

	private static final SharedKey KEY = SharedKey.of("a key for this benchmark");

	private final Platform sharedPlatform = Platform.start("--listen", "127.0.0.1:0");

	private final Platform firstPlatform = Platform.start("--listen", "127.0.0.1:0");

	private final List<Fleet> processes = new ArrayList<>();

	ControlFleet(int size) throws IOException {
		// the processes receive the list of instances only when it is complete
		this.sharedPlatform.configure("--instances-down", "true");
		for (int i = 0; i < size; i++) {
			start(i);
		}
		this.sharedPlatform.configure("--instances-down", "false");
	}

	private void start(int number) throws IOException {
		int dataCentre = number % DATA_CENTRE_COUNT;
		boolean isEntry = number % PROCESSES_PER_ENTRY == PROCESSES_PER_ENTRY - 1;
		ProcessIdentity self = new ProcessIdentity(new InstanceId("p" + number), isEntry ? Role.ENTRY : Role.AGENT,
				number + 1L, new DataCentreName("dc-" + dataCentre),
				new RegionName("region-" + dataCentre % REGION_COUNT), Labels.none());
		InetSocketAddress listen = isEntry ? null : new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		URI configuration = url((number == 0) ? this.firstPlatform : this.sharedPlatform);
		Fleet fleet = Fleet.create(new FleetSettings(self, configuration, url(this.sharedPlatform), listen, KEY, 1),
				MonotonicClock.system());
		fleet.start(new IgnoringPeerListener());
		this.processes.add(fleet);
		addToInstanceList(self, fleet.address().orElse(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
	}

	private void addToInstanceList(ProcessIdentity self, InetSocketAddress address) {
		ObjectNode instance = new ObjectMapper().createObjectNode()
			.put("id", self.instance().value())
			.put("role", (self.role() == Role.ENTRY) ? "entry" : "agent")
			.put("address", AddressFormatter.format(address))
			.put("dataCentre", self.dataCentre().value())
			.put("region", self.region().value())
			.put("leaving", false);
		instance.putObject("labels");
		this.sharedPlatform.putInstance(instance);
	}

	private static URI url(Platform platform) {
		return URI.create("http://127.0.0.1:" + platform.address().getPort());
	}

	List<Fleet> processes() {
		return this.processes;
	}

	Platform sharedPlatform() {
		return this.sharedPlatform;
	}

	Platform firstPlatform() {
		return this.firstPlatform;
	}

	long sentBytes() {
		return this.processes.stream().mapToLong(Fleet::sentBytes).sum();
	}

	long platformCalls() {
		return callsOf(this.sharedPlatform) + callsOf(this.firstPlatform);
	}

	private static long callsOf(Platform platform) {
		return platform.callCounts().get("configuration").asLong() + platform.callCounts().get("instances").asLong();
	}

	long platformBytes() {
		return this.sharedPlatform.callCounts().get("bytes").asLong()
				+ this.firstPlatform.callCounts().get("bytes").asLong();
	}

	@Override
	public void close() {
		this.processes.forEach(Fleet::close);
		this.sharedPlatform.close();
		this.firstPlatform.close();
	}

	/**
	 * A listener that ignores all events.
	 */
	private static final class IgnoringPeerListener implements PeerListener {

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
