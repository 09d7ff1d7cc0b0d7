package org.catkingate.tests.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkingate.standins.Addresses;
import org.catkingate.standins.HttpService;
import org.catkingate.standins.platform.Platform;
import org.catkingate.standins.platform.Publication;
import org.catkingate.standins.proxy.FaultInjectingProxy;
import org.catkingate.standins.weights.WeightsServer;

/**
 * The processes of the fleet of one test: entries and agents, stand-ins for external
 * systems, and proxies between them. Closing it ends all of them in reverse order of
 * their start. Not thread-safe.
 */
public final class FleetProcesses implements AutoCloseable {

	private static final String KEEP_OUTPUT_PROPERTY = "catkingate.keep-output";

	private static final String SHARED_KEY = "a key that all processes of the test share";

	private static final String DATA_CENTRE = "ahd-a";

	private static final String REGION = "guj-west";

	private final Deque<AutoCloseable> resources = new ArrayDeque<>();

	private final Path directory;

	private final Platform platform;

	private final WeightsServer origin;

	private long revision;

	private FleetProcesses(Path directory) {
		this.directory = directory;
		this.platform = register(Platform.start());
		this.origin = register(WeightsServer.start());
	}

	/**
	 * Creates a fleet and starts the platform and the origin.
	 * @param directory the directory for settings and output, unless
	 * {@code -Dcatkingate.keep-output} names another one
	 */
	public static FleetProcesses create(Path directory) throws IOException {
		String kept = System.getProperty(KEEP_OUTPUT_PROPERTY);
		return new FleetProcesses((kept != null) ? Files.createTempDirectory(Path.of(kept), "fleet") : directory);
	}

	public <T extends AutoCloseable> T register(T resource) {
		this.resources.push(resource);
		return resource;
	}

	public Platform platform() {
		return this.platform;
	}

	public WeightsServer origin() {
		return this.origin;
	}

	public FaultInjectingProxy startProxy(InetSocketAddress target) {
		return register(FaultInjectingProxy.start("--target", Addresses.format(target)));
	}

	public StandInProcess startStandIn(String name, String... arguments) {
		return register(StandInProcess.start(this.directory, name, arguments));
	}

	/**
	 * Publishes a configuration under the next revision.
	 */
	public long publish(String... parts) {
		this.revision++;
		this.platform.publish(Publication.of(this.revision, List.of(parts)));
		return this.revision;
	}

	public Member startEntry(String instance) {
		return startEntry(instance, this.platform.address());
	}

	public Member startEntry(String instance, InetSocketAddress platformAddress) {
		InetSocketAddress operators = FreePorts.next();
		InetSocketAddress callers = FreePorts.next();
		String settings = sharedSettings(instance, "role=entry", platformAddress, operators) + """
				[peers]
				shared-key = %s
				[callers]
				listen = %s
				""".formatted(SHARED_KEY, Addresses.format(callers));
		return startMember("entry", instance, callers, operators, null, settings);
	}

	public Member startAgent(String instance, String role, String service, InetSocketAddress... runners) {
		return startAgent(instance, role, service, this.platform.address(), this.origin.address(), runners);
	}

	public Member startAgent(String instance, String role, String service, InetSocketAddress platformAddress,
			InetSocketAddress originAddress, InetSocketAddress... runners) {
		InetSocketAddress operators = FreePorts.next();
		InetSocketAddress peers = FreePorts.next();
		StringBuilder settings = new StringBuilder(
				sharedSettings(instance, "role=" + role, platformAddress, operators));
		settings.append("""
				[peers]
				listen = %s
				shared-key = %s
				[weights]
				memory-mb = 64
				origin-url = http://%s
				""".formatted(Addresses.format(peers), SHARED_KEY, Addresses.format(originAddress)));
		for (int i = 0; i < runners.length; i++) {
			settings.append("[runner r%d]%naddress = %s%nservice = %s%n".formatted(i + 1, Addresses.format(runners[i]),
					service));
		}
		FaultInjectingProxy proxy = startProxy(peers);
		this.platform.putInstance(instanceRecord(instance, role, proxy.address()));
		return startMember("agent", instance, peers, operators, proxy, settings.toString());
	}

	private static String sharedSettings(String instance, String labels, InetSocketAddress platform,
			InetSocketAddress operators) {
		return """
				[process]
				instance = %s
				data-centre = %s
				region = %s
				labels = %s
				[platform]
				configuration-url = http://%s
				instances-url = http://%s
				[operators]
				listen = %s
				[shutdown]
				notice-s = 0
				""".formatted(instance, DATA_CENTRE, REGION, labels, Addresses.format(platform),
				Addresses.format(platform), Addresses.format(operators));
	}

	/**
	 * Creates the record of an agent in the instance list.
	 */
	public static ObjectNode instanceRecord(String instance, String role, InetSocketAddress address) {
		ObjectNode json = HttpService.JSON.createObjectNode()
			.put("id", instance)
			.put("role", "agent")
			.put("address", Addresses.format(address))
			.put("dataCentre", DATA_CENTRE)
			.put("region", REGION)
			.put("leaving", false);
		json.putObject("labels").put("role", role);
		return json;
	}

	private Member startMember(String role, String instance, InetSocketAddress address, InetSocketAddress operators,
			FaultInjectingProxy proxy, String settings) {
		try {
			return register(Member.start(this.directory, role, instance, address, operators, proxy, settings));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	public void close() {
		while (!this.resources.isEmpty()) {
			try {
				this.resources.pop().close();
			}
			catch (Exception ex) {
				throw new IllegalStateException("failed to close a resource of the test", ex);
			}
		}
	}

}
