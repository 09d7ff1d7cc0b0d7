package org.catkingate.decisions.runners;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.ReductionResult;
import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Labels;
import org.catkingate.model.Manifest;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.RunnerId;
import org.catkingate.model.RunnerStatus;
import org.catkingate.model.Selector;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.Service;
import org.catkingate.model.published.WeightsVersion;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RunnersReducer}.
 */
class RunnersReducerTests {

	private static final RunnerId RUNNER = new RunnerId("r1");

	private static final ServiceName SERVICE = new ServiceName("llm");

	private static final long START = 1_700_000_000;

	private final Manifest manifestOne = manifest("1");

	private final Manifest manifestTwo = manifest("2");

	private boolean checksFencing = true;

	private int expectedRunners;

	private RunnersState state = initial(START);

	private long now = 5000;

	private final List<Effect> effects = new ArrayList<>();

	private static RunnersState initial(long startedAt) {
		return RunnersState
			.initial(new RunnersSettings(new InstanceId("own"), Labels.none(), startedAt, Map.of(RUNNER, SERVICE)));
	}

	private static Manifest manifest(String version) {
		return new Manifest(VersionId.of("model", version), 10, 10, Digest.of(("whole " + version).getBytes()),
				List.of(Digest.of(("chunk " + version).getBytes())));
	}

	private static WeightsVersion version(Manifest manifest, boolean withdrawn) {
		return new WeightsVersion(manifest.version(), SERVICE, Digest.of(manifest.toString().getBytes()),
				Selector.everything(), withdrawn);
	}

	private FleetSnapshot fleet(long revision, List<AgentView> agents, WeightsVersion... versions) {
		Service service = new Service(SERVICE, Service.Kind.ENGINE, this.checksFencing, "none", List.of(), List.of(), 0,
				this.expectedRunners, 25, 1, 1);
		Map<VersionId, WeightsVersion> byId = new HashMap<>();
		for (WeightsVersion version : versions) {
			byId.put(version.id(), version);
		}
		Map<InstanceId, AgentView> byInstance = new HashMap<>();
		agents.forEach((agent) -> byInstance.put(agent.instance().id(), agent));
		return new FleetSnapshot(new PublishedConfiguration(
				new ConfigurationVersion(revision, Digest.of(new byte[] { (byte) revision })), Map.of(),
				Map.of(SERVICE, service), Map.of(), byId, Map.of(), List.of()), byInstance);
	}

	private static AgentView agent(String name, Manifest serving) {
		InstanceRecord record = new InstanceRecord(new InstanceId(name), Role.AGENT,
				InetSocketAddress.createUnresolved("none", 1), new DataCentreName("dc"), new RegionName("region"),
				Labels.none(), false);
		RunnerStatus status = new RunnerStatus(RUNNER, SERVICE, serving.version(), serving.digest(), true);
		return new AgentView(record, 1, true, false, List.of(status), List.of(), 0);
	}

	private List<Effect> apply(RunnersEvent event) {
		ReductionResult<RunnersState> result = RunnersReducer.create().reduce(this.state, this.now, event);
		this.state = result.state();
		this.effects.addAll(result.effects());
		return result.effects();
	}

	private List<Effect> advance(long millis, int inProgress) {
		int from = this.effects.size();
		long end = this.now + millis;
		while (this.now < end) {
			this.now += 20;
			apply(new RunnersEvent.Ticked(Map.of(RUNNER, inProgress), Set.of()));
		}
		return List.copyOf(this.effects.subList(from, this.effects.size()));
	}

	private List<Effect> report(Manifest held, long fence) {
		return apply(new RunnersEvent.EngineReported(RUNNER, this.now, (held != null) ? held.digest() : null, fence));
	}

	private void provideVersion(long revision, Manifest manifest) {
		apply(new RunnersEvent.FleetChanged(fleet(revision, List.of(), version(manifest, false))));
		apply(new RunnersEvent.VersionComplete(version(manifest, false), manifest));
	}

	private void serveVersionOne() {
		provideVersion(1, this.manifestOne);
		advance(20, 0);
		report(this.manifestOne, 0);
		assertThat(this.effects)
			.contains(new RunnersEffect.OpenGate(RUNNER, this.manifestOne.version(), this.manifestOne.digest()));
		this.effects.clear();
	}

	private static List<RunnersEffect.SendLoadCommand> loadCommands(List<Effect> effects) {
		return effects.stream()
			.filter((effect) -> effect instanceof RunnersEffect.SendLoadCommand)
			.map((effect) -> (RunnersEffect.SendLoadCommand) effect)
			.toList();
	}

	private WeightsVersion provideVersionTwoWhileAnotherRunnerSwitches() {
		AgentView serving = agent("other", this.manifestOne);
		RunnerStatus closed = new RunnerStatus(RUNNER, SERVICE, null, null, false);
		AgentView switching = new AgentView(serving.instance(), 1, true, false, List.of(closed), List.of(), 0);
		WeightsVersion next = version(this.manifestTwo, false);
		apply(new RunnersEvent.VersionDropped(this.manifestOne.version()));
		apply(new RunnersEvent.FleetChanged(fleet(2, List.of(switching), next)));
		apply(new RunnersEvent.VersionComplete(next, this.manifestTwo));
		advance(1000, 0);
		return next;
	}

	private void replaceVersionOneByTwo() {
		this.apply(new RunnersEvent.VersionDropped(this.manifestOne.version()));
		provideVersion(2, this.manifestTwo);
	}

	@Nested
	class ANewAgent {

		@Test
		void opensTheGateImmediatelyIfTheEngineHoldsTheWeights() {
			serveVersionOne();
		}

		@Test
		void loadsAndVerifiesTheWeightsBeforeItOpensTheGate() {
			provideVersion(1, RunnersReducerTests.this.manifestOne);
			advance(20, 0);
			assertThat(loadCommands(report(null, 0))).hasSize(1);
			apply(new RunnersEvent.LoadCommandEnded(RUNNER, RunnersEvent.Outcome.DONE));
			assertThat(RunnersReducerTests.this.effects)
				.noneMatch((effect) -> effect instanceof RunnersEffect.OpenGate);
			advance(20, 0);
			report(RunnersReducerTests.this.manifestOne, 1);
			assertThat(RunnersReducerTests.this.effects).contains(new RunnersEffect.OpenGate(RUNNER,
					RunnersReducerTests.this.manifestOne.version(), RunnersReducerTests.this.manifestOne.digest()));
		}

		@Test
		void neverOpensTheGateForAnotherDigest() {
			provideVersion(1, RunnersReducerTests.this.manifestOne);
			advance(20, 0);
			report(RunnersReducerTests.this.manifestTwo, 0);
			apply(new RunnersEvent.LoadCommandEnded(RUNNER, RunnersEvent.Outcome.DONE));
			advance(20, 0);
			report(RunnersReducerTests.this.manifestTwo, 0);
			assertThat(RunnersReducerTests.this.effects)
				.noneMatch((effect) -> effect instanceof RunnersEffect.OpenGate);
		}

		@Test
		void sendsNoCommandDuringTheGracePeriodToAnEngineThatIgnoresFencing() {
			RunnersReducerTests.this.checksFencing = false;
			provideVersion(1, RunnersReducerTests.this.manifestOne);
			long end = RunnersReducerTests.this.now + RunnerStateMachine.GRACE_PERIOD_MILLIS - 100;
			while (RunnersReducerTests.this.now < end) {
				advance(20, 0);
				report(null, 0);
			}
			assertThat(loadCommands(RunnersReducerTests.this.effects)).isEmpty();
			advance(200, 0);
			report(null, 0);
			assertThat(loadCommands(RunnersReducerTests.this.effects)).hasSize(1);
		}

	}

	@Nested
	class ASwitch {

		@Test
		void drainsTheRunnerBeforeItSendsTheLoadCommand() {
			serveVersionOne();
			replaceVersionOneByTwo();
			assertThat(RunnersReducerTests.this.effects).contains(new RunnersEffect.CloseGate(RUNNER));
			for (int i = 0; i < 50; i++) {
				advance(100, 1);
				report(RunnersReducerTests.this.manifestOne, 0);
			}
			assertThat(loadCommands(RunnersReducerTests.this.effects)).isEmpty();
			advance(100, 0);
			report(RunnersReducerTests.this.manifestOne, 0);
			assertThat(loadCommands(RunnersReducerTests.this.effects)).hasSize(1);
		}

		@Test
		void servesThePreviousVersionUntilTheNewOneIsComplete() {
			serveVersionOne();
			apply(new RunnersEvent.VersionDropped(RunnersReducerTests.this.manifestOne.version()));
			WeightsVersion next = version(RunnersReducerTests.this.manifestTwo, false);
			apply(new RunnersEvent.FleetChanged(fleet(2, List.of(), next)));
			apply(new RunnersEvent.VersionKnown(next, RunnersReducerTests.this.manifestTwo));
			for (int i = 0; i < 20; i++) {
				advance(500, 0);
				report(RunnersReducerTests.this.manifestOne, 0);
			}
			assertThat(RunnersReducerTests.this.effects)
				.noneMatch((effect) -> effect instanceof RunnersEffect.CloseGate);
		}

		@Test
		void waitsWhileTheMaximumNumberOfRunnersSwitch() {
			serveVersionOne();
			List<AgentView> others = new ArrayList<>();
			for (int i = 0; i < 7; i++) {
				AgentView serving = agent("other-" + i, RunnersReducerTests.this.manifestOne);
				RunnerStatus closed = new RunnerStatus(RUNNER, SERVICE, null, null, false);
				others.add((i < 2) ? new AgentView(serving.instance(), 1, true, false, List.of(closed), List.of(), 0)
						: agent("other-" + i, RunnersReducerTests.this.manifestTwo));
			}
			WeightsVersion next = version(RunnersReducerTests.this.manifestTwo, false);
			apply(new RunnersEvent.VersionDropped(RunnersReducerTests.this.manifestOne.version()));
			apply(new RunnersEvent.FleetChanged(fleet(2, others, next)));
			apply(new RunnersEvent.VersionComplete(next, RunnersReducerTests.this.manifestTwo));
			advance(1000, 0);
			assertThat(RunnersReducerTests.this.effects)
				.noneMatch((effect) -> effect instanceof RunnersEffect.CloseGate);
			List<AgentView> done = new ArrayList<>(others.subList(2, 7));
			done.add(agent("other-0", RunnersReducerTests.this.manifestTwo));
			done.add(others.get(1));
			apply(new RunnersEvent.FleetChanged(fleet(2, done, next)));
			advance(SwitchLimiter.PROPAGATION_DELAY_MILLIS, 0);
			assertThat(RunnersReducerTests.this.effects).contains(new RunnersEffect.CloseGate(RUNNER));
		}

		@Test
		void waitsUntilEntriesHaveReceivedTheOpeningOfThePreviousRunner() {
			serveVersionOne();
			WeightsVersion next = provideVersionTwoWhileAnotherRunnerSwitches();
			apply(new RunnersEvent.FleetChanged(
					fleet(2, List.of(agent("other", RunnersReducerTests.this.manifestTwo)), next)));
			advance(SwitchLimiter.PROPAGATION_DELAY_MILLIS - 100, 0);
			assertThat(RunnersReducerTests.this.effects)
				.noneMatch((effect) -> effect instanceof RunnersEffect.CloseGate);
			advance(200, 0);
			assertThat(RunnersReducerTests.this.effects).contains(new RunnersEffect.CloseGate(RUNNER));
		}

		@Test
		void computesTheShareFromPresentRunnersAndNotFromExpectedOnes() {
			RunnersReducerTests.this.expectedRunners = 10;
			serveVersionOne();
			provideVersionTwoWhileAnotherRunnerSwitches();
			assertThat(RunnersReducerTests.this.effects)
				.noneMatch((effect) -> effect instanceof RunnersEffect.CloseGate);
		}

		@Test
		void closesTheGateImmediatelyIfTheVersionIsWithdrawn() {
			serveVersionOne();
			apply(new RunnersEvent.FleetChanged(
					fleet(2, List.of(), version(RunnersReducerTests.this.manifestOne, true))));
			assertThat(RunnersReducerTests.this.effects).contains(new RunnersEffect.CloseGate(RUNNER));
		}

	}

	@Nested
	class AfterAPause {

		@Test
		void theGateIsClosedUntilTheEngineHasReportedAgain() {
			serveVersionOne();
			RunnersReducerTests.this.now += 60_000;
			List<Effect> resumed = apply(new RunnersEvent.Ticked(Map.of(), Set.of()));
			assertThat(resumed).contains(new RunnersEffect.CloseGate(RUNNER), new RunnersEffect.RequestState(RUNNER));
			assertThat(report(RunnersReducerTests.this.manifestOne, 0)).contains(new RunnersEffect.OpenGate(RUNNER,
					RunnersReducerTests.this.manifestOne.version(), RunnersReducerTests.this.manifestOne.digest()));
		}

		@Test
		void aReportRequestedBeforeThePauseIsIgnored() {
			provideVersion(1, RunnersReducerTests.this.manifestOne);
			advance(20, 0);
			long requestedAt = RunnersReducerTests.this.now;
			RunnersReducerTests.this.now += 60_000;
			List<Effect> late = apply(new RunnersEvent.EngineReported(RUNNER, requestedAt,
					RunnersReducerTests.this.manifestOne.digest(), 0));
			assertThat(late).noneMatch((effect) -> effect instanceof RunnersEffect.OpenGate);
		}

		@Test
		void aLoadCommandCarriesATimeAfterWhichItMustNotBeSent() {
			provideVersion(1, RunnersReducerTests.this.manifestOne);
			advance(20, 0);
			RunnersEffect.SendLoadCommand command = loadCommands(report(null, 0)).get(0);
			assertThat(command.notAfterMillis())
				.isLessThanOrEqualTo(RunnersReducerTests.this.now + RunnerStateMachine.MAX_REPORT_AGE_MILLIS);
		}

		@Test
		void theReplacedAgentDoesNotOverrideTheCommandOfItsReplacement() {
			serveVersionOne();
			replaceVersionOneByTwo();
			RunnersReducerTests.this.now += 60_000;
			apply(new RunnersEvent.Ticked(Map.of(), Set.of()));
			long newer = Fencing.number(2, START + 30);
			for (int i = 0; i < 50; i++) {
				report(RunnersReducerTests.this.manifestOne, newer);
				advance(200, 0);
			}
			assertThat(loadCommands(RunnersReducerTests.this.effects)).isEmpty();
		}

	}

	@Nested
	class AResponseWithAnotherDigest {

		@Test
		void closesTheGateUntilTheEngineHasReportedAgain() {
			serveVersionOne();
			List<Effect> mismatched = apply(new RunnersEvent.Ticked(Map.of(), Set.of(RUNNER)));
			assertThat(mismatched).contains(new RunnersEffect.RequestState(RUNNER))
				.noneMatch((effect) -> effect instanceof RunnersEffect.OpenGate);
			assertThat(report(RunnersReducerTests.this.manifestOne, 0))
				.anyMatch((effect) -> effect instanceof RunnersEffect.OpenGate);
		}

	}

	@Nested
	class FencingNumbers {

		@Test
		void increaseWithTheRevisionAndThenWithTheStartOfTheAgent() {
			assertThat(Fencing.number(2, START)).isGreaterThan(Fencing.number(1, START + 1000));
			assertThat(Fencing.number(2, START + 1)).isGreaterThan(Fencing.number(2, START));
		}

	}

}
