package org.catkingate.gateway;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.decisions.admission.AdmissionDecision;
import org.catkingate.decisions.admission.AdmissionPolicies;
import org.catkingate.decisions.admission.CallDescription;
import org.catkingate.decisions.admission.CallRequirements;
import org.catkingate.decisions.coldstart.KnownGateways;
import org.catkingate.decisions.permits.RunnerLimits;
import org.catkingate.decisions.registry.RegistryView;
import org.catkingate.decisions.routing.Distance;
import org.catkingate.decisions.sending.CallScope;
import org.catkingate.decisions.sending.Residency;
import org.catkingate.decisions.sending.SendCondition;
import org.catkingate.decisions.sending.Urgency;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.ModelName;
import org.catkingate.model.RegionName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.CallerLimits;
import org.catkingate.model.registry.ColdStart;
import org.catkingate.model.registry.EngineProfile;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.model.registry.RegisteredService;
import org.catkingate.model.registry.RegistryPosition;
import org.catkingate.model.registry.RouteTable;
import org.catkingate.model.registry.ServingConfiguration;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.calls.RequestedPause;
import org.catkingate.runtime.calls.RunnerResponseHead;
import org.catkingate.runtime.calls.StatedLimit;
import org.catkingate.runtime.http.ConnectionPool;
import org.catkingate.runtime.settings.GatewaySettings;
import org.catkingate.wire.GatewayMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the conditions of a send as {@link RunnerTable} and {@link ColdRunners} apply
 * them.
 */
class RunnerConditionsTests {

	private static final ModelName MODEL = new ModelName("m");

	private static final ServiceName SERVICE = new ServiceName("songs");

	private static final EngineProfile ENGINE = new EngineProfile(16, 5, 9.27, 0.0232, 0, 20.7, 0, 2048, 979, 92,
			Long.MAX_VALUE, 64, List.of(MODEL));

	private static final long EPOCH_MILLIS = 1_000_000;

	/** 44 requests a second from all gateways to a cold runner. */
	private static final GatewaySettings.ColdRunners SETTINGS = new GatewaySettings.ColdRunners(1.5, 5);

	private final RunnerIntakeLog intakeLog = new RunnerIntakeLog(GatewayMetrics.registerIn(new PrometheusRegistry()));

	private final RunnerPermits permits = new RunnerPermits(new RunnerLimits(new InstanceId("gateway-1"), 0, 1),
			this.intakeLog, MonotonicClock.system());

	private final ColdRunners coldRunners = new ColdRunners(SETTINGS,
			new KnownGateways(new InstanceId("gateway-1"), 0, false, -5000), () -> this.registryAgeMillis,
			() -> EPOCH_MILLIS);

	/* A runner is in the region of the name of its data centre. */
	private final RunnerTable table = new RunnerTable(
			(runner) -> new RunnerState(runner, Optional.of(new RegionName(runner.dataCentre().value())),
					Distance.DATA_CENTRE, ConnectionPool.to(runner.address(), null, null, 1, MonotonicClock.system()),
					this.intakeLog, this.permits, this.coldRunners.of(runner)),
			AdmissionPolicies.earliestFirstEvent(), new DeclaredVersions(7000, 3000));

	private final Set<SendCondition> unmet = new HashSet<>();

	private Optional<ColdStart> coldStart = Optional.of(new ColdStart(3000, 26));

	private Set<DataCentreName> evacuated = Set.of();

	private long registryAgeMillis;

	private long now = 10_000;

	private static RegisteredRunner runner(String id, String dataCentre, long coldLeftMillis) {
		return runner(id, dataCentre, coldLeftMillis, Map.of(MODEL, 1L));
	}

	private static RegisteredRunner runner(String id, String dataCentre, long coldLeftMillis,
			Map<ModelName, Long> models) {
		return new RegisteredRunner(new RunnerId(id), 1, SERVICE,
				new InetSocketAddress("127.0.0.1", 1000 + Math.floorMod(id.hashCode(), 1000)),
				new DataCentreName(dataCentre), 100, false, models, coldLeftMillis);
	}

	private void update(RegisteredRunner... runners) {
		Map<RunnerId, RegisteredRunner> byId = new HashMap<>();
		for (RegisteredRunner runner : runners) {
			byId.put(runner.id(), runner);
		}
		ServingConfiguration configuration = new ServingConfiguration(1, RouteTable.of(List.of()),
				Map.of(SERVICE,
						new RegisteredService(SERVICE, 100, Optional.of(ENGINE), this.coldStart, Optional.empty())),
				Map.of(), new CallerLimits(1, 1, 1, 1));
		RegistryView view = new RegistryView(RegistryPosition.START, Optional.of(configuration), byId, Map.of(),
				this.evacuated);
		this.coldRunners.update(view, this.now);
		this.table.update(view, this.now);
		this.table.onUnmet(this.unmet::add);
	}

	private AdmissionDecision decide(String... regions) {
		Set<RegionName> allowed = new HashSet<>();
		List.of(regions).forEach((region) -> allowed.add(new RegionName(region)));
		Residency residency = Residency.of(allowed, Set.of());
		return this.table.decide(new CallDescription(new CallScope(SERVICE, List.of(MODEL), residency, false),
				new Urgency(0, 0), null, new CallRequirements(1, 60_000, 60_000, 1)), Set.of(), 0, 0.5, this.now);
	}

	/* Sends requests until one is not admitted, and returns how many each runner got. */
	private Map<String, Integer> send(int max) {
		Map<String, Integer> sent = new HashMap<>();
		for (int i = 0; i < max && decide() instanceof AdmissionDecision.Send send; i++) {
			RunnerState state = this.table.state(send.runner());
			state.work().addPending(1, this.now);
			assertThat(state.cold().reserve(this.now).orElseThrow().use(this.now)).isTrue();
			sent.merge(send.runner().value(), 1, Integer::sum);
		}
		return sent;
	}

	@Nested
	class AColdRunner {

		// Guards against a surge that a runner gets since it has just started and is
		// empty, and against calls that are rejected while warm runners have room.
		@Test
		void getsItsAllowanceAndTheWarmOnesTheRest() {
			update(runner("cold", "a", 3000), runner("warm", "a", 0));
			Map<String, Integer> sent = send(200);
			assertThat(sent.get("cold")).isBetween(40, 44);
			assertThat(sent.get("warm")).isEqualTo(200 - sent.get("cold"));
		}

		// Load pattern: loss of power of all machines. Guards against calls that are
		// rejected with a time that has nothing to do with the allowance.
		@Test
		void makesCallsWaitIfThereIsNoOther() {
			update(runner("cold", "a", 3000));
			assertThat(send(200)).containsEntry("cold", 44);
			assertThat(decide()).isInstanceOfSatisfying(AdmissionDecision.Wait.class,
					(wait) -> assertThat(wait.otherwise().retryAfterMillis()).isBetween(150L, 1000L));
			assertThat(RunnerConditionsTests.this.unmet).containsExactly(SendCondition.WITHIN_COLD_ALLOWANCE);
			RunnerConditionsTests.this.now += 1300;
			assertThat(send(200)).containsEntry("cold", 44);
		}

		// Guards against the requests of the last second that are forgotten when a
		// registration disappears and returns, or when a warm runner turns cold.
		@Test
		void isChargedWithWhatItGotBefore() {
			update(runner("r", "a", 0));
			send(30);
			update();
			update(runner("r", "a", 3000));
			assertThat(send(200)).containsEntry("r", 14);
		}

		// Guards against a registration without the cold time, or an old one.
		@Test
		void isOneThatIsNotKnownToBeWarm() {
			RegisteredRunner started = new RegisteredRunner(new RunnerId("r"), EPOCH_MILLIS - 2900, SERVICE,
					new InetSocketAddress("127.0.0.1", 1), new DataCentreName("a"), 100, false, Map.of(MODEL, 1L), 0);
			update(started);
			assertThat(send(100)).containsEntry("r", 44);
			RunnerConditionsTests.this.registryAgeMillis = 5001;
			update(runner("old", "a", 0));
			assertThat(send(100)).containsEntry("old", 44);
			RunnerConditionsTests.this.registryAgeMillis = 0;
			RunnerConditionsTests.this.coldRunners.update(RunnerConditionsTests.this.now);
			assertThat(send(100)).containsEntry("old", 100);
		}

		// Guards against new behaviour for services that publish no cold start.
		@Test
		void isNotLimitedIfItsServiceHasNoColdStart() {
			RunnerConditionsTests.this.coldStart = Optional.empty();
			update(runner("r", "a", 3000));
			assertThat(send(100)).containsEntry("r", 100);
			assertThat(RunnerConditionsTests.this.coldRunners.addConnected(new InstanceId("gateway-2"))).isEmpty();
		}

		// Guards against a gateway that keeps its part when it learns of others.
		@Test
		void getsLessFromAGatewayThatLearnsOfOthers() {
			update(runner("r", "a", 3000));
			RunnerConditionsTests.this.coldRunners.receive(new InstanceId("gateway-2"), true,
					new GatewayMessage.KnownGateways(List.of("gateway-2", "gateway-3", "gateway-4"), false), 0);
			assertThat(send(100)).containsEntry("r", 11);
		}

	}

	@Nested
	class AnEvacuatedDataCentre {

		// Guards against a rejection that does not name the cause, and against runners
		// that count as loading although nothing is expected of them.
		@Test
		void isNamedInTheRejection() {
			RunnerConditionsTests.this.evacuated = Set.of(new DataCentreName("a"));
			update(runner("r1", "a", 0), runner("r2", "a", 0, Map.of()));
			assertThat(decide()).isInstanceOfSatisfying(AdmissionDecision.Reject.class,
					(reject) -> assertThat(reject.reason()).contains("evacuated"));
			assertThat(RunnerConditionsTests.this.unmet).containsExactly(SendCondition.NOT_EVACUATED);
		}

	}

	@Nested
	class Residencies {

		// Guards against a call that waits, or is told to return, as runners of other
		// regions load weights or pause.
		@Test
		void decideWhoseLoadingAndPausesCount() {
			update(runner("r1", "a", 0, Map.of()), runner("r2", "a", 0, Map.of()), runner("r3", "b", 0));
			assertThat(decide("a")).isInstanceOf(AdmissionDecision.Wait.class);
			assertThat(decide("b")).isInstanceOf(AdmissionDecision.Send.class);
			update(runner("r1", "a", 0), runner("r2", "b", 0));
			pause("r1", 4000);
			pause("r2", 2500);
			assertThat(((AdmissionDecision.Reject) decide("a")).retryAfterMillis()).isBetween(4000L, 6000L);
			assertThat(((AdmissionDecision.Reject) decide("b")).retryAfterMillis()).isBetween(2500L, 4000L);
		}

		private void pause(String runner, long millis) {
			RunnerConditionsTests.this.table.state(new RunnerId(runner))
				.recordResponseHead(503,
						new RunnerResponseHead("r1", true, true, false, Optional.empty(), 0, false,
								new RequestedPause(millis, Optional.empty()), StatedLimit.NONE),
						RunnerConditionsTests.this.now, RunnerConditionsTests.this.now);
		}

	}

}
