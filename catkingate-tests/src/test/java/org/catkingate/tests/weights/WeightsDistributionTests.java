package org.catkingate.tests.weights;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.catkingate.agent.weights.WeightsDistribution;
import org.catkingate.decisions.distribution.InstanceLocation;
import org.catkingate.decisions.distribution.SourceDistance;
import org.catkingate.decisions.distribution.SourcePreference;
import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;
import org.catkingate.model.RegionName;
import org.catkingate.model.Selector;
import org.catkingate.model.VersionId;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.Service;
import org.catkingate.model.published.WeightsVersion;
import org.catkingate.standins.StandIn;
import org.catkingate.standins.engine.Engine;
import org.catkingate.standins.weights.GeneratedWeights;
import org.catkingate.standins.weights.WeightsServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link WeightsDistribution} with stand-ins for the origin, the weight store
 * and the engines.
 */
class WeightsDistributionTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(60);

	private static final int CHUNK_BYTES = 256 * 1024;

	private static final long SIZE_BYTES = 4L << 20;

	private static final long SEED = 4711;

	private final GeneratedWeights version1 = weights("1", SEED, 1);

	private final GeneratedWeights version2 = weights("2", SEED + 1, 2);

	private final GeneratedWeights version3 = weights("3", SEED + 2, 2);

	private final List<LoopbackAgent> agents = new ArrayList<>();

	private final List<AutoCloseable> standIns = new ArrayList<>();

	private WeightsServer origin;

	private WeightsServer store;

	private boolean checksFencing = true;

	private long revision;

	private static GeneratedWeights weights(String version, long seed, int ownEvery) {
		return GeneratedWeights
			.of(new GeneratedWeights.Specification("model", version, seed, SEED, ownEvery, SIZE_BYTES, CHUNK_BYTES));
	}

	@BeforeEach
	void startSources() {
		this.origin = startSource();
		this.store = startSource();
	}

	private WeightsServer startSource(String... arguments) {
		WeightsServer server = WeightsServer.start(arguments);
		List.of(this.version1, this.version2, this.version3).forEach(server::add);
		this.standIns.add(server);
		return server;
	}

	@AfterEach
	void stop() throws Exception {
		this.agents.forEach(LoopbackAgent::close);
		for (AutoCloseable standIn : this.standIns) {
			standIn.close();
		}
	}

	private static URI uri(StandIn standIn) {
		return URI.create("http://127.0.0.1:" + standIn.address().getPort());
	}

	private LoopbackAgent.AgentOptions options() {
		LoopbackAgent.AgentOptions options = new LoopbackAgent.AgentOptions();
		options.origin = uri(this.origin);
		Engine engine = Engine.start("--checks-fencing", Boolean.toString(this.checksFencing));
		this.standIns.add(engine);
		options.engine = uri(engine);
		return options;
	}

	private LoopbackAgent startAgent(String region, LoopbackAgent.AgentOptions options) throws IOException {
		String name = "agent-" + this.agents.size();
		InstanceLocation location = new InstanceLocation(new InstanceId(name), new DataCentreName("dc-" + region),
				new RegionName(region));
		LoopbackAgent agent = LoopbackAgent.start(location, options);
		this.agents.add(agent);
		return agent;
	}

	private void startFleet(String... regions) throws IOException {
		for (String region : regions) {
			startAgent(region, options());
		}
	}

	private void publish(GeneratedWeights... versions) {
		this.revision++;
		notifyAgents(versions);
	}

	private void notifyAgents(GeneratedWeights... versions) {
		FleetSnapshot fleet = fleet(versions);
		this.agents.forEach((agent) -> agent.distribution().onFleetChanged(fleet));
	}

	private FleetSnapshot fleet(GeneratedWeights... versions) {
		Service service = new Service(LoopbackAgent.SERVICE, Service.Kind.ENGINE, this.checksFencing, "all", List.of(),
				List.of(), 0, 0, 50, 1, 1);
		Map<VersionId, WeightsVersion> versionsById = new HashMap<>();
		for (GeneratedWeights version : versions) {
			VersionId id = VersionId.of(version.specification().model(), version.specification().version());
			versionsById.put(id, new WeightsVersion(id, LoopbackAgent.SERVICE, new Digest(version.manifestDigest()),
					Selector.everything(), false));
		}
		Map<InstanceId, AgentView> views = new HashMap<>();
		this.agents.forEach((agent) -> views.put(agent.instanceRecord().id(),
				new AgentView(agent.instanceRecord(), 1, true, false, List.of(), List.of(), 0)));
		return new FleetSnapshot(
				new PublishedConfiguration(
						new ConfigurationVersion(this.revision, Digest.of(new byte[] { (byte) this.revision })),
						Map.of(), Map.of(LoopbackAgent.SERVICE, service), Map.of(), versionsById, Map.of(), List.of()),
				views);
	}

	private void awaitServing(GeneratedWeights weights) {
		Awaitility.await()
			.atMost(TIMEOUT)
			.until(() -> this.agents.stream().allMatch((agent) -> agent.serves(weights.digest())));
	}

	private static double copiesSentBy(WeightsServer server) {
		return server.servedCounts().get("dataBytes").asDouble() / SIZE_BYTES;
	}

	@Nested
	class ANewVersion {

		@Test
		void isServedEverywhereWithAboutOneCopyFromTheOriginPerRegion() throws IOException {
			startFleet("a", "a", "b", "b", "c");
			publish(WeightsDistributionTests.this.version1);
			awaitServing(WeightsDistributionTests.this.version1);
			assertThat(copiesSentBy(WeightsDistributionTests.this.origin)).isLessThanOrEqualTo(4);
		}

		@Test
		void reusesTheChunksThatItSharesWithThePreviousOne() throws IOException {
			startFleet("a");
			publish(WeightsDistributionTests.this.version2);
			awaitServing(WeightsDistributionTests.this.version2);
			publish(WeightsDistributionTests.this.version3);
			awaitServing(WeightsDistributionTests.this.version3);
			assertThat(copiesSentBy(WeightsDistributionTests.this.origin)).isEqualTo(1.5);
		}

		@Test
		void isServedAfterTwoChangesDuringTheTransfer() throws Exception {
			WeightsDistributionTests.this.origin.configure("--bytes-per-s", Long.toString(SIZE_BYTES));
			startFleet("a", "a", "b");
			publish(WeightsDistributionTests.this.version1);
			Thread.sleep(300);
			publish(WeightsDistributionTests.this.version2);
			Thread.sleep(300);
			publish(WeightsDistributionTests.this.version3);
			awaitServing(WeightsDistributionTests.this.version3);
		}

		@Test
		void isSentByPeersToAnInstanceThatJoinsLate() throws IOException {
			startFleet("a", "a");
			publish(WeightsDistributionTests.this.version1);
			awaitServing(WeightsDistributionTests.this.version1);
			double copiesBefore = copiesSentBy(WeightsDistributionTests.this.origin);
			LoopbackAgent lateAgent = startAgent("a", options());
			notifyAgents(WeightsDistributionTests.this.version1);
			awaitServing(WeightsDistributionTests.this.version1);
			assertThat(copiesSentBy(WeightsDistributionTests.this.origin)).isEqualTo(copiesBefore);
			assertThat(lateAgent.distribution().progress().receivedBytes())
				.containsOnlyKeys(SourceDistance.DATA_CENTRE);
		}

		@Test
		void isRejectedWhereItDoesNotFitAndServedByTheOthers() throws IOException {
			startFleet("a");
			LoopbackAgent.AgentOptions smallMemoryOptions = options();
			smallMemoryOptions.memoryBytes = SIZE_BYTES / 2;
			LoopbackAgent rejectingAgent = startAgent("a", smallMemoryOptions);
			publish(WeightsDistributionTests.this.version1);
			Awaitility.await()
				.atMost(TIMEOUT)
				.until(() -> WeightsDistributionTests.this.agents.get(0)
					.serves(WeightsDistributionTests.this.version1.digest()));
			assertThat(rejectingAgent.distribution().progress().versions().values())
				.allMatch((progress) -> progress.refused());
			assertThat(rejectingAgent.distribution().progress().usedBytes()).isZero();
		}

	}

	@Nested
	class AFaultySource {

		@ParameterizedTest
		@ValueSource(strings = { "--corrupt-chunk 3 --corrupt-times 2", "--refuse true", "--down true",
				"--reset-after-bytes 1000", "--delay-ms 400" })
		void doesNotPreventTheVersionFromBeingServed(String faults) throws Exception {
			WeightsDistributionTests.this.origin.configure(faults.split(" "));
			startFleet("a", "a", "b");
			publish(WeightsDistributionTests.this.version1);
			Thread.sleep(2000);
			WeightsDistributionTests.this.origin.configure("--refuse", "false", "--down", "false",
					"--reset-after-bytes", "-1", "--delay-ms", "0");
			awaitServing(WeightsDistributionTests.this.version1);
			assertThat(copiesSentBy(WeightsDistributionTests.this.origin)).isLessThanOrEqualTo(5);
		}

		@ParameterizedTest
		@ValueSource(strings = { "--refuse true", "--corrupt-chunk 3", "--requests-per-s 20" })
		void isReplacedByTheOriginIfItIsTheStore(String faults) throws IOException {
			WeightsDistributionTests.this.store.configure(faults.split(" "));
			LoopbackAgent.AgentOptions options = options();
			options.store = uri(WeightsDistributionTests.this.store);
			options.preference = SourcePreference.ORIGIN_BYTES;
			startAgent("a", options);
			publish(WeightsDistributionTests.this.version1);
			awaitServing(WeightsDistributionTests.this.version1);
		}

	}

	@Nested
	class TwoAgentsForOneEngine {

		@ParameterizedTest
		@ValueSource(booleans = { true, false })
		void doNotRevertEachOther(boolean engineChecksFencing) throws Exception {
			WeightsDistributionTests.this.checksFencing = engineChecksFencing;
			LoopbackAgent.AgentOptions options = options();
			LoopbackAgent previous = startAgent("a", options);
			publish(WeightsDistributionTests.this.version1);
			awaitServing(WeightsDistributionTests.this.version1);
			options.startedAt = 2;
			startAgent("a", options).distribution();
			WeightsDistributionTests.this.revision++;
			FleetSnapshot olderSnapshot = fleet(WeightsDistributionTests.this.version1);
			WeightsDistributionTests.this.revision++;
			FleetSnapshot newestSnapshot = fleet(WeightsDistributionTests.this.version2);
			LoopbackAgent replacement = WeightsDistributionTests.this.agents.get(1);
			replacement.distribution().onFleetChanged(newestSnapshot);
			Awaitility.await()
				.atMost(TIMEOUT)
				.until(() -> replacement.serves(WeightsDistributionTests.this.version2.digest()));
			previous.distribution().onFleetChanged(olderSnapshot);
			Thread.sleep(5000);
			assertThat(replacement.serves(WeightsDistributionTests.this.version2.digest())).isTrue();
			assertThat(previous.serves(WeightsDistributionTests.this.version1.digest())).isFalse();
		}

	}

}
