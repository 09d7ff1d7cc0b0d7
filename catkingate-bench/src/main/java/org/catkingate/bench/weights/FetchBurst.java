package org.catkingate.bench.weights;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.sun.management.OperatingSystemMXBean;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import org.catkingate.agent.weights.WeightsProgress;
import org.catkingate.agent.weights.WeightsSettings;
import org.catkingate.decisions.distribution.InstanceLocation;
import org.catkingate.decisions.distribution.SourcePreference;
import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;
import org.catkingate.model.Labels;
import org.catkingate.model.RegionName;
import org.catkingate.model.Selector;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.Service;
import org.catkingate.model.published.WeightsVersion;
import org.catkingate.standins.weights.GeneratedWeights;
import org.catkingate.standins.weights.WeightsServer;

/**
 * One burst of fetches, in which several agents fetch one version at the same time over
 * rate-limited links. Not thread-safe.
 */
final class FetchBurst {

	private static final ServiceName SERVICE = new ServiceName("llm");

	private static final List<String> DATA_CENTRES = List.of("dc-a1", "dc-b1", "dc-c1", "dc-a2", "dc-b2", "dc-c2",
			"dc-a3");

	private static final long POLL_INTERVAL_MILLIS = 10;

	private static final long AGENT_LOSS_DELAY_MILLIS = 1000;

	private static final int MEMORY_VERSIONS = 2;

	private static final double MILLIS_PER_SECOND = 1000.0;

	private final WeightsBenchOptions options;

	private final GeneratedWeights weights;

	FetchBurst(WeightsBenchOptions options, GeneratedWeights weights) {
		this.options = options;
		this.weights = weights;
	}

	Result run(int agentCount, SourcePreference preference, boolean peersVisible)
			throws IOException, InterruptedException {
		XnioWorker worker = Xnio.getInstance()
			.createWorker(OptionMap.builder()
				.set(Options.WORKER_IO_THREADS, 4)
				.set(Options.THREAD_DAEMON, true)
				.set(Options.WORKER_NAME, "http")
				.getMap());
		List<DistributionAgent> agents = new ArrayList<>();
		try (WeightsServer origin = WeightsServer.start("--bytes-per-s",
				Long.toString(this.options.originBytesPerSecond()))) {
			origin.add(this.weights);
			for (int i = 0; i < agentCount; i++) {
				agents.add(DistributionAgent.listening(location(i)));
			}
			connect(agents);
			URI address = URI.create("http://127.0.0.1:" + origin.address().getPort());
			for (int i = 0; i < agentCount; i++) {
				agents.get(i).start(settings(location(i), address, preference), worker);
			}
			return measure(agents, origin, peersVisible);
		}
		finally {
			agents.forEach(DistributionAgent::close);
			worker.shutdownNow();
		}
	}

	private static InstanceLocation location(int index) {
		String dataCentre = DATA_CENTRES.get(index % DATA_CENTRES.size());
		String region = "region-" + dataCentre.charAt(3);
		return new InstanceLocation(new InstanceId("agent-" + index), new DataCentreName(dataCentre),
				new RegionName(region));
	}

	private static void connect(List<DistributionAgent> agents) throws InterruptedException {
		for (int i = 0; i < agents.size(); i++) {
			for (int j = i + 1; j < agents.size(); j++) {
				agents.get(i).connectTo(agents.get(j));
			}
		}
		while (!agents.stream().allMatch((agent) -> agent.connections() == agents.size() - 1)) {
			Thread.sleep(POLL_INTERVAL_MILLIS);
		}
	}

	private WeightsSettings settings(InstanceLocation location, URI origin, SourcePreference preference) {
		long linkBytesPerSecond = this.options.linkBytesPerSecond();
		return new WeightsSettings(location, Labels.none(), MEMORY_VERSIONS * this.options.versionBytes(), origin, null,
				preference, new WeightsSettings.Rates(0, 0, linkBytesPerSecond, linkBytesPerSecond), 1, List.of());
	}

	private Result measure(List<DistributionAgent> agents, WeightsServer origin, boolean peersVisible)
			throws InterruptedException {
		OperatingSystemMXBean operatingSystem = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
		long cpuNanosBefore = operatingSystem.getProcessCpuTime();
		long start = System.nanoTime();
		for (DistributionAgent agent : agents) {
			agent.fleetChanged(fleetSnapshot(peersVisible ? agents : List.of(agent)));
		}
		List<DistributionAgent> remaining = closeLostAgents(agents);
		long deadline = start + TimeUnit.SECONDS.toNanos(this.options.timeoutSeconds);
		long completeAgents = remaining.stream().filter(DistributionAgent::hasCompleteVersion).count();
		while (completeAgents < remaining.size() && System.nanoTime() < deadline) {
			Thread.sleep(POLL_INTERVAL_MILLIS);
			completeAgents = remaining.stream().filter(DistributionAgent::hasCompleteVersion).count();
		}
		double seconds = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start) / MILLIS_PER_SECOND;
		double cpuSeconds = TimeUnit.NANOSECONDS.toMillis(operatingSystem.getProcessCpuTime() - cpuNanosBefore)
				/ MILLIS_PER_SECOND;
		return result(remaining, origin, (int) completeAgents, seconds, cpuSeconds);
	}

	private List<DistributionAgent> closeLostAgents(List<DistributionAgent> agents) throws InterruptedException {
		if (this.options.lostAgents == 0) {
			return agents;
		}
		Thread.sleep(AGENT_LOSS_DELAY_MILLIS);
		agents.subList(0, this.options.lostAgents).forEach(DistributionAgent::close);
		return agents.subList(this.options.lostAgents, agents.size());
	}

	private Result result(List<DistributionAgent> agents, WeightsServer origin, int completeAgents, double seconds,
			double cpuSeconds) {
		double versionBytes = this.options.versionBytes();
		double busiestLinkBytes = 0;
		double controlBytes = 0;
		for (DistributionAgent agent : agents) {
			WeightsProgress progress = agent.progress();
			busiestLinkBytes = Math.max(busiestLinkBytes, progress.arrivedBytes() + progress.sentBytes());
			controlBytes += agent.controlBytes();
		}
		double idealSeconds = versionBytes / this.options.linkBytesPerSecond();
		return new Result(completeAgents, seconds, seconds / idealSeconds,
				origin.servedCounts().get("dataBytes").asLong() / versionBytes, busiestLinkBytes / versionBytes,
				cpuSeconds / agents.size(), controlBytes / agents.size());
	}

	private FleetSnapshot fleetSnapshot(List<DistributionAgent> agents) {
		Map<InstanceId, AgentView> views = new HashMap<>();
		for (DistributionAgent agent : agents) {
			views.put(agent.instance().id(), new AgentView(agent.instance(), 1, true, false, List.of(), List.of(), 0));
		}
		Service service = new Service(SERVICE, Service.Kind.ENGINE, true, "", List.of(), List.of(), 0, 0, 25, 1, 1);
		WeightsVersion version = new WeightsVersion(
				VersionId.of(this.weights.specification().model(), this.weights.specification().version()), SERVICE,
				new Digest(this.weights.manifestDigest()), Selector.everything(), false);
		PublishedConfiguration configuration = new PublishedConfiguration(
				new ConfigurationVersion(1, Digest.of(new byte[0])), Map.of(), Map.of(SERVICE, service), Map.of(),
				Map.of(version.id(), version), Map.of(), List.of());
		return new FleetSnapshot(configuration, views);
	}

	/**
	 * The measured results of one burst. Immutable.
	 *
	 * @param completeAgents the number of agents that held the complete version at the
	 * end
	 * @param seconds the time until all agents held it
	 * @param slowdown that time, divided by the time to transfer the version once over
	 * the link of an agent
	 * @param originCopies the bytes sent by the origin, in copies of the version
	 * @param busiestLinkCopies the bytes on the link of the busiest agent, in both
	 * directions, in copies of the version
	 * @param cpuSecondsPerAgent the CPU time of the process, including the origin,
	 * divided by the number of agents
	 * @param controlBytesPerAgent the average number of bytes of messages without weights
	 * that an agent received
	 */
	record Result(int completeAgents, double seconds, double slowdown, double originCopies, double busiestLinkCopies,
			double cpuSecondsPerAgent, double controlBytesPerAgent) {

	}

}
