package org.catkingate.bench.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkingate.decisions.membership.Self;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.Labels;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.WrittenAddress;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.fleet.Fleet;
import org.catkingate.runtime.fleet.FleetSettings;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerListener;
import org.catkingate.standins.platform.Platform;
import org.catkingate.wire.Message;
import org.catkingate.wire.SharedKey;

/**
 * A platform and many fleet states over loopback, in one Java process: three regions with
 * seven data centres, one entry for seven agents. The first process reads a platform of
 * its own, so that the other can be stale. For use by one thread.
 */
final class BenchFleet implements AutoCloseable {

	private static final int DATA_CENTRES = 7;

	private static final int REGIONS = 3;

	private static final int PROCESSES_PER_ENTRY = 8;

	private static final SharedKey KEY = SharedKey.of("a key for this benchmark");

	private final Platform shared = Platform.start("--listen", "127.0.0.1:0");

	private final Platform first = Platform.start("--listen", "127.0.0.1:0");

	private final List<Fleet> processes = new ArrayList<>();

	BenchFleet(int size) throws IOException {
		this.shared.configure("--instances-down", "true");
		for (int i = 0; i < size; i++) {
			start(i);
		}
		this.shared.configure("--instances-down", "false");
	}

	private void start(int number) throws IOException {
		int dataCentre = number % DATA_CENTRES;
		boolean entry = number % PROCESSES_PER_ENTRY == PROCESSES_PER_ENTRY - 1;
		Self self = new Self(new InstanceId("p" + number), entry ? Role.ENTRY : Role.AGENT, number + 1L,
				new DataCentreName("dc-" + dataCentre), new RegionName("region-" + dataCentre % REGIONS),
				Labels.none());
		InetSocketAddress listen = entry ? null : new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		URI configuration = url((number == 0) ? this.first : this.shared);
		Fleet fleet = Fleet.create(new FleetSettings(self, configuration, url(this.shared), listen, KEY, 1),
				MonotonicClock.system());
		fleet.start(new Ignoring());
		this.processes.add(fleet);
		list(self, fleet.address().orElse(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
	}

	private void list(Self self, InetSocketAddress address) {
		ObjectNode instance = new ObjectMapper().createObjectNode()
			.put("id", self.instance().value())
			.put("role", (self.role() == Role.ENTRY) ? "entry" : "agent")
			.put("address", WrittenAddress.of(address))
			.put("dataCentre", self.dataCentre().value())
			.put("region", self.region().value())
			.put("leaving", false);
		instance.putObject("labels");
		this.shared.instance(instance);
	}

	private static URI url(Platform platform) {
		return URI.create("http://127.0.0.1:" + platform.address().getPort());
	}

	List<Fleet> processes() {
		return this.processes;
	}

	Platform shared() {
		return this.shared;
	}

	Platform first() {
		return this.first;
	}

	long sentBytes() {
		return this.processes.stream().mapToLong(Fleet::sentBytes).sum();
	}

	long calls() {
		return calls(this.shared) + calls(this.first);
	}

	private static long calls(Platform platform) {
		return platform.calls().get("configuration").asLong() + platform.calls().get("instances").asLong();
	}

	long platformBytes() {
		return this.shared.calls().get("bytes").asLong() + this.first.calls().get("bytes").asLong();
	}

	@Override
	public void close() {
		this.processes.forEach(Fleet::close);
		this.shared.close();
		this.first.close();
	}

	/**
	 * Takes no part in traffic.
	 */
	private static final class Ignoring implements PeerListener {

		@Override
		public void opened(PeerConnection connection) {
		}

		@Override
		public void received(PeerConnection connection, Message message) {
		}

		@Override
		public void lost(PeerConnection connection) {
		}

		@Override
		public void drained(PeerConnection connection) {
		}

	}

}
