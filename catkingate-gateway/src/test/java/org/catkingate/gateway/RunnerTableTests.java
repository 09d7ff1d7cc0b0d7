package org.catkingate.gateway;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.junit.jupiter.api.Test;

import org.catkingate.decisions.admission.AdmissionDecision;
import org.catkingate.decisions.admission.AdmissionPolicies;
import org.catkingate.decisions.admission.CallDescription;
import org.catkingate.decisions.admission.CallRequirements;
import org.catkingate.decisions.coldstart.KnownGateways;
import org.catkingate.decisions.memory.MemoryNeed;
import org.catkingate.decisions.permits.RunnerLimits;
import org.catkingate.decisions.registry.RegistryView;
import org.catkingate.decisions.routing.Distance;
import org.catkingate.decisions.sending.CallScope;
import org.catkingate.decisions.sending.Residency;
import org.catkingate.decisions.sending.Urgency;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.ModelName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.CallerLimits;
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
import org.catkingate.wire.RunnerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RunnerTable}.
 */
class RunnerTableTests {

	private static final ModelName MODEL = new ModelName("m");

	private static final ServiceName SERVICE = new ServiceName("songs");

	private static final EngineProfile ENGINE = new EngineProfile(16, 5, 9.27, 0.0232, 0, 20.7, 0, 2048, 979, 92,
			Long.MAX_VALUE, 64, List.of(MODEL));

	private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 8080);

	private final DeclaredVersions versions = new DeclaredVersions(7000, 3000);

	private final RunnerIntakeLog intakeLog = new RunnerIntakeLog(GatewayMetrics.registerIn(new PrometheusRegistry()));

	private final RunnerPermits permits = new RunnerPermits(new RunnerLimits(new InstanceId("gateway-1"), 0, 1),
			this.intakeLog, MonotonicClock.system());

	private final ColdRunners coldRunners = new ColdRunners(new GatewaySettings.ColdRunners(1.5, 5),
			new KnownGateways(new InstanceId("gateway-1"), 0, false, 0), () -> 0, () -> 0);

	private final RunnerTable table = new RunnerTable(this::createState, AdmissionPolicies.earliestFirstEvent(),
			this.versions);

	private RunnerState createState(RegisteredRunner runner) {
		return new RunnerState(runner, Optional.empty(), Distance.DATA_CENTRE,
				ConnectionPool.to(runner.address(), null, null, 1, MonotonicClock.system()), this.intakeLog,
				this.permits, this.coldRunners.of(runner));
	}

	// Guards against runners that get requests although they leave because the
	// registration of another one could not be applied (DRAIN).
	@Test
	void registrationThatCannotBeAppliedDoesNotKeepOthersFromBeingApplied() {
		RunnerTable failing = new RunnerTable((runner) -> {
			if (runner.id().value().startsWith("bad")) {
				throw new IllegalStateException("expected by the test");
			}
			return createState(runner);
		}, AdmissionPolicies.earliestFirstEvent(), this.versions);
		RegisteredRunner[] registered = new RegisteredRunner[16];
		for (int i = 0; i < registered.length; i++) {
			registered[i] = runner(((i % 2 == 0) ? "bad-" : "good-") + i, false, Map.of());
		}
		failing.update(view(Map.of(), registered), 1000);
		assertThat(failing.count(SERVICE)).isEqualTo(registered.length / 2);
	}

	private static RegistryView view(Map<ModelName, Long> versions, RegisteredRunner... runners) {
		ServingConfiguration configuration = new ServingConfiguration(1, RouteTable.of(List.of()),
				Map.of(SERVICE,
						new RegisteredService(SERVICE, 100, Optional.of(ENGINE), Optional.empty(), Optional.empty())),
				Map.of(), new CallerLimits(1, 1, 1, 1));
		Map<RunnerId, RegisteredRunner> byId = new HashMap<>();
		for (RegisteredRunner runner : runners) {
			byId.put(runner.id(), runner);
		}
		return new RegistryView(RegistryPosition.START, Optional.of(configuration), byId, versions, Set.of());
	}

	private static RegisteredRunner runner(String id, boolean draining, Map<ModelName, Long> models) {
		return new RegisteredRunner(new RunnerId(id), 1, SERVICE, ADDRESS, new DataCentreName("a"), 16, draining,
				models, 0);
	}

	private static RunnerMessage.RunnerUpdate report(boolean loading, Map<String, Long> models) {
		return new RunnerMessage.RunnerUpdate("127.0.0.1:8080", 1, loading, 0, 0, models, -1);
	}

	private CallDescription call(ServiceName service, CallRequirements requirements) {
		return new CallDescription(new CallScope(service, this.table.models(service), Residency.anywhere(), false),
				new Urgency(0, 0), null, requirements);
	}

	private boolean canServe(long nowMillis) {
		return decide(nowMillis) instanceof AdmissionDecision.Send;
	}

	private AdmissionDecision decide(long nowMillis) {
		return this.table.decide(call(SERVICE, new CallRequirements(100, 600, 6000, 1)), Set.of(), 3, 0.5, nowMillis);
	}

	@Test
	void versionDeclaredBeforeTheStartIsDueAfterTheSettlingTime() {
		this.table.update(view(Map.of(MODEL, 2L), runner("a", false, Map.of(MODEL, 1L))), 1000);
		assertThat(canServe(2400)).isTrue();
		assertThat(canServe(2900)).isFalse();
		assertThat(this.versions.startLimitMillis(MODEL, 1)).isEqualTo(3000);
	}

	@Test
	void ageReceivedBeforeTheFirstViewOfTheRegistryIsUsed() {
		this.versions.addReported(new RunnerMessage.VersionDeclaration(MODEL, 2, 100), 900);
		this.table.update(view(Map.of(MODEL, 2L), runner("a", false, Map.of(MODEL, 1L))), 1000);
		assertThat(canServe(1001)).isTrue();
		assertThat(canServe(7200)).isTrue();
		assertThat(canServe(7700)).isFalse();
		assertThat(this.versions.startLimitMillis(MODEL, 1)).isEqualTo(7800);
	}

	@Test
	void assumedAgeIsNotSentToOtherProcesses() {
		this.table.update(view(Map.of(MODEL, 2L), runner("a", false, Map.of(MODEL, 1L))), 1000);
		assertThat(this.versions.pruneAndListMessages(1500)).containsExactly(
				new RunnerMessage.VersionDeclaration(MODEL, 2, RunnerMessage.VersionDeclaration.UNKNOWN_AGE));
		this.versions.addReported(new RunnerMessage.VersionDeclaration(MODEL, 2, 700), 1600);
		assertThat(this.versions.pruneAndListMessages(1700))
			.containsExactly(new RunnerMessage.VersionDeclaration(MODEL, 2, 800));
	}

	// Guards against requests that start on an older version because a gateway was
	// suspended or disconnected when the newer one was declared.
	@Test
	void higherAgeReceivedLaterMakesTheStartLimitEarlier() {
		this.table.update(view(Map.of(), runner("a", false, Map.of(MODEL, 1L))), 500);
		this.table.update(view(Map.of(MODEL, 2L), runner("a", false, Map.of(MODEL, 1L))), 5000);
		this.versions.addReported(new RunnerMessage.VersionDeclaration(MODEL, 2, 4000), 6000);
		assertThat(this.versions.startLimitMillis(MODEL, 1)).isEqualTo(9000);
		this.versions.addReported(new RunnerMessage.VersionDeclaration(MODEL, 2, 10), 6100);
		assertThat(this.versions.startLimitMillis(MODEL, 1)).isEqualTo(9000);
	}

	@Test
	void versionsOlderThanADueVersionAreRemoved() {
		for (long version = 2; version < 100; version++) {
			this.table.update(view(Map.of(MODEL, version)), 10_000 * version);
		}
		assertThat(this.versions.pruneAndListMessages(1_000_000)).hasSizeLessThan(4);
		assertThat(this.versions.startLimitMillis(MODEL, 1)).isLessThan(1_000_000);
	}

	@Test
	void removedVersionsThatOthersStillReportAreNotAddedAgain() {
		this.table.update(view(Map.of()), 500);
		this.table.update(view(Map.of(MODEL, 2L)), 10_000);
		this.table.update(view(Map.of(MODEL, 3L)), 14_000);
		assertThat(this.versions.pruneAndListMessages(14_001)).extracting(RunnerMessage.VersionDeclaration::version)
			.containsExactly(2L, 3L);
		assertThat(this.versions.pruneAndListMessages(40_000)).extracting(RunnerMessage.VersionDeclaration::version)
			.containsExactly(3L);
		this.versions.addReported(new RunnerMessage.VersionDeclaration(MODEL, 2, 29_000), 40_000);
		assertThat(this.versions.pruneAndListMessages(40_000)).extracting(RunnerMessage.VersionDeclaration::version)
			.containsExactly(3L);
	}

	@Test
	void runnerOfAnOlderVersionGetsNoRequestAfterTheTimeForTheChange() {
		this.table.update(view(Map.of(), runner("a", false, Map.of(MODEL, 1L))), 500);
		this.table.update(view(Map.of(MODEL, 2L), runner("a", false, Map.of(MODEL, 1L))), 1000);
		assertThat(canServe(7400)).isTrue();
		assertThat(canServe(7900)).isFalse();
		assertThat(this.versions.startLimitMillis(MODEL, 1)).isEqualTo(8000);
		assertThat(this.versions.startLimitMillis(MODEL, 2)).isEqualTo(DeclaredVersions.NO_START_LIMIT_MILLIS);
	}

	// Guards against requests that start on an older version too late because they have
	// waited at its runner.
	@Test
	void runnerOfAnOlderVersionGetsNoRequestThatWouldStartAfterTheTimeForTheChange() {
		this.table.update(view(Map.of(), runner("a", false, Map.of(MODEL, 1L))), 500);
		this.table.update(view(Map.of(MODEL, 2L), runner("a", false, Map.of(MODEL, 1L))), 1000);
		this.table.recordReport(new RunnerMessage.RunnerUpdate("127.0.0.1:8080", 1, false, 8, 4, Map.of("m", 1L), -1),
				7700);
		AdmissionDecision decision = decide(7700);
		assertThat(decision).as("four requests with usual prompts are waiting, and 300 ms remain")
			.isInstanceOf(AdmissionDecision.Reject.class);
	}

	// Guards against calls that wait for a runner by an estimate that is out of date.
	@Test
	void theTimeUntilARunnerIsReadyRunsDownAndEndsWithTheReportsOfItsLoader() {
		RunnerState state = new RunnerState(runner("a", false, Map.of(MODEL, 1L)), Optional.empty(),
				Distance.DATA_CENTRE, null, null, null, null);
		assertThat(state.readyInMillis(1000)).isEmpty();
		state.recordReport(new RunnerMessage.RunnerUpdate("127.0.0.1:8080", 1, false, 0, 0, Map.of(), 1500), 1000);
		assertThat(state.readyInMillis(1400)).hasValue(1100);
		assertThat(state.readyInMillis(2700)).hasValue(0);
		assertThat(state.readyInMillis(3000)).isEmpty();
		state.recordReport(new RunnerMessage.RunnerUpdate("127.0.0.1:8080", 1, false, 0, 0, Map.of(), -1), 3000);
		assertThat(state.readyInMillis(3000)).isEmpty();
	}

	@Test
	void newerVersionDoesNotDelayTheStartLimitOfOlderVersions() {
		this.table.update(view(Map.of(), runner("a", false, Map.of(MODEL, 1L))), 500);
		this.table.update(view(Map.of(MODEL, 2L), runner("a", false, Map.of(MODEL, 1L))), 1000);
		this.table.update(view(Map.of(MODEL, 3L), runner("a", false, Map.of(MODEL, 1L))), 3000);
		assertThat(canServe(8000)).isFalse();
		this.table.update(view(Map.of(MODEL, 3L), runner("a", false, Map.of(MODEL, 2L))), 8100);
		assertThat(canServe(8200)).isTrue();
		assertThat(canServe(9900)).isFalse();
		assertThat(this.versions.startLimitMillis(MODEL, 1)).isEqualTo(8000);
		assertThat(this.versions.startLimitMillis(MODEL, 2)).isEqualTo(10_000);
	}

	@Test
	void runnerWithoutWeightsGetsNoRequestUntilItsLoaderReportsAVersion() {
		this.table.update(view(Map.of(), runner("a", false, Map.of())), 1000);
		assertThat(canServe(1100)).isFalse();
		this.table.recordReport(report(false, Map.of("m", 1L)), 1200);
		assertThat(canServe(1300)).isTrue();
	}

	@Test
	void loadingRunnerGetsNoRequest() {
		this.table.update(view(Map.of(), runner("a", false, Map.of(MODEL, 1L))), 1000);
		this.table.recordReport(report(true, Map.of("m", 1L)), 1200);
		assertThat(canServe(1300)).isFalse();
	}

	@Test
	void gatewaysThatSeeTheSameLoadsDoNotAllSendToTheIdleRunner() {
		RegisteredRunner idle = runner("free", false, Map.of(MODEL, 1L));
		RegisteredRunner busy = new RegisteredRunner(new RunnerId("busy"), 1, SERVICE,
				new InetSocketAddress("127.0.0.1", 8081), new DataCentreName("a"), 16, false, Map.of(MODEL, 1L), 0);
		this.table.update(view(Map.of(), idle, busy), 1000);
		this.table.recordReport(new RunnerMessage.RunnerUpdate("127.0.0.1:8080", 1, false, 0, 0, Map.of("m", 1L), -1),
				1000);
		this.table.recordReport(new RunnerMessage.RunnerUpdate("127.0.0.1:8081", 1, false, 4, 3, Map.of("m", 1L), -1),
				1000);
		int sentToIdle = 0;
		for (int i = 0; i < 6; i++) {
			AdmissionDecision decision = this.table.decide(call(SERVICE, new CallRequirements(979, 2000, 6000, 1)),
					Set.of(), 3, 0.5, 1001 + i);
			RunnerId chosen = ((AdmissionDecision.Send) decision).runner();
			this.table.state(chosen).work().addPending(979, 1001 + i);
			sentToIdle += (chosen.equals(idle.id())) ? 1 : 0;
		}
		// if four gateways choose like this, both runners receive about the same
		// number of requests, except for the first ones
		assertThat(sentToIdle).isBetween(2, 4);
	}

	@Test
	void drainingRunnerGetsNoRequest() {
		this.table.update(view(Map.of(), runner("a", true, Map.of(MODEL, 1L))), 1000);
		assertThat(canServe(1100)).isFalse();
	}

	// Guards against callers that are rejected although all runners will soon have
	// loaded.
	@Test
	void callsToAServiceWithoutWeightsWaitUntilItsRunnersAreExpectedToServe() {
		this.table.update(view(Map.of(), runner("a", false, Map.of())), 500);
		long first = ((AdmissionDecision.Wait) decide(1000)).maxMillis();
		long later = ((AdmissionDecision.Wait) decide(1800)).maxMillis();
		assertThat(1000 + first).isEqualTo(1800 + later);
		assertThat(decide(2600)).isInstanceOf(AdmissionDecision.Reject.class);
		this.table.update(view(Map.of(), runner("a", false, Map.of(MODEL, 1L))), 2700);
		assertThat(canServe(2701)).isTrue();
		this.table.update(view(Map.of(), runner("a", false, Map.of())), 90_000);
		assertThat(((AdmissionDecision.Wait) decide(90_001)).maxMillis()).isEqualTo(first);
	}

	// Guards against calls that wait, and are late, each time a version changes.
	@Test
	void callsDoNotWaitWhileRunnersChangeToAnotherVersion() {
		this.table.update(view(Map.of(), runner("a", false, Map.of(MODEL, 1L))), 500);
		this.table.recordReport(report(true, Map.of()), 1000);
		assertThat(decide(1100)).isInstanceOf(AdmissionDecision.Reject.class);
	}

	// Guards against calls that are rejected, and rejected again, when the time of a
	// version is over before the next one has arrived.
	@Test
	void callsWaitWhileRunnersHoldOnlyAVersionWhoseTimeIsOver() {
		this.table.update(view(Map.of(), runner("a", false, Map.of(MODEL, 1L))), 500);
		this.table.update(view(Map.of(MODEL, 2L), runner("a", false, Map.of(MODEL, 1L))), 1000);
		AdmissionDecision.Wait wait = (AdmissionDecision.Wait) decide(8001);
		assertThat(wait.maxMillis()).isEqualTo(2300);
		this.table.recordReport(report(false, Map.of("m", 2L)), 8500);
		assertThat(canServe(8501)).isTrue();
	}

	// Guards against calls of a service without weights that wait for nothing.
	@Test
	void callsOfAServiceWithoutEnginesDoNotWait() {
		ServiceName plain = new ServiceName("plain");
		this.table.update(new RegistryView(RegistryPosition.START, view(Map.of()).configuration(),
				Map.of(new RunnerId("p"), new RegisteredRunner(new RunnerId("p"), 1, plain, ADDRESS,
						new DataCentreName("a"), 4, false, Map.of(), 0)),
				Map.of(), Set.of()), 500);
		this.table.state(new RunnerId("p")).recordMisdirected(1000);
		assertThat(this.table.decide(call(plain, new CallRequirements(0, 600, 6000, 1)), Set.of(), 3, 0.5, 1100))
			.isInstanceOf(AdmissionDecision.Reject.class);
	}

	// Guards against sending to runners whose registration dates from before a loss of
	// power, which costs callers their retries.
	@Test
	void aRunnerThatRejectsRequestsAsMisdirectedServesNothingUntilSomethingIsKnownAnew() {
		this.table.update(view(Map.of(), runner("a", false, Map.of(MODEL, 1L))), 500);
		this.table.state(new RunnerId("a")).recordMisdirected(1000);
		this.table.update(view(Map.of(), runner("a", false, Map.of(MODEL, 1L))), 1100);
		assertThat(decide(1200)).isInstanceOf(AdmissionDecision.Wait.class);
		this.table.recordReport(report(false, Map.of("m", 1L)), 1300);
		assertThat(canServe(1301)).isTrue();
		this.table.state(new RunnerId("a")).recordMisdirected(2000);
		this.table.update(view(Map.of(), runner("a", false, Map.of(MODEL, 2L))), 2100);
		assertThat(canServe(2101)).isTrue();
		this.table.state(new RunnerId("a")).recordMisdirected(3000);
		assertThat(canServe(4400)).isFalse();
		assertThat(canServe(4600)).isTrue();
	}

	private void receive(String id, int status, boolean misdirected, boolean leaving, long nowMillis) {
		this.table.state(new RunnerId(id))
			.recordResponseHead(status, new RunnerResponseHead("r1", true, false, misdirected, Optional.empty(), 0,
					leaving, RequestedPause.NONE, StatedLimit.NONE), nowMillis, nowMillis);
	}

	// Guards against new requests to a runner that leaves while its registration still
	// says that it is ready, or is lost and listed again.
	@Test
	void aRunnerThatStatesThatItLeavesGetsNoRequestUntilItsNextStart() {
		RegisteredRunner runner = runner("a", false, Map.of(MODEL, 1L));
		this.table.update(view(Map.of(), runner), 500);
		receive("a", 200, false, true, 1000);
		assertThat(canServe(1001)).isFalse();
		this.table.update(view(Map.of(), runner), 1100);
		assertThat(canServe(1101)).isFalse();
		this.table.update(view(Map.of()), 1200);
		this.table.update(view(Map.of(), runner), 1300);
		assertThat(canServe(1_000_000)).isFalse();
		this.table.update(view(Map.of(), new RegisteredRunner(new RunnerId("a"), 2, SERVICE, ADDRESS,
				new DataCentreName("a"), 16, false, Map.of(MODEL, 1L), 0)), 1_000_100);
		assertThat(canServe(1_000_101)).isTrue();
		this.table.update(view(Map.of(), runner), 1_000_200);
		assertThat(canServe(1_000_201)).as("an old registration of the start that left").isFalse();
	}

	@Test
	void aMisdirectedRequestDoesNotShowThatTheRunnerLeaves() {
		this.table.update(view(Map.of(), runner("a", false, Map.of(MODEL, 1L))), 500);
		receive("a", 421, true, true, 1000);
		assertThat(canServe(1001)).isTrue();
	}

	private void askForPause(String id, long pauseMillis, long nowMillis) {
		this.table.state(new RunnerId(id))
			.recordResponseHead(503, new RunnerResponseHead("r1", true, true, false, Optional.empty(), 0, false,
					new RequestedPause(pauseMillis, Optional.empty()), StatedLimit.NONE), nowMillis, nowMillis);
	}

	private static RegisteredRunner runnerAt(int port, long startedAtEpochMillis) {
		return new RegisteredRunner(new RunnerId("runner-" + port), startedAtEpochMillis, SERVICE,
				new InetSocketAddress("127.0.0.1", port), new DataCentreName("a"), 16, false, Map.of(MODEL, 1L), 0);
	}

	private AdmissionDecision decide(double draw, long nowMillis) {
		return this.table.decide(call(SERVICE, new CallRequirements(979, 2000, 6000, 1)), Set.of(), 0, draw, nowMillis);
	}

	// Load pattern: a burst fills all runners of a service, and all of them ask for a
	// pause at once, of different lengths. Guards against callers that return before the
	// first runner takes requests again, or all at the same moment.
	@Test
	void callsAreRejectedUntilTheFirstOfTheRunnersThatAllAskedForAPauseTakesRequests() {
		this.table.update(view(Map.of(), runnerAt(1, 1), runnerAt(2, 1), runnerAt(3, 1)), 500);
		askForPause("runner-1", 4000, 1000);
		askForPause("runner-2", 2500, 1000);
		askForPause("runner-3", 9000, 1000);
		Set<Long> delays = new HashSet<>();
		for (int call = 0; call < 100; call++) {
			AdmissionDecision.Reject rejection = (AdmissionDecision.Reject) decide(call / 100.0, 1100);
			assertThat(rejection.retryAfterMillis()).isBetween(2400L, 2400L + 1500);
			delays.add(rejection.retryAfterMillis());
		}
		assertThat(delays).as("callers return at different times").hasSizeGreaterThan(50);
		assertThat(decide(0.5, 3499)).isInstanceOf(AdmissionDecision.Reject.class);
		assertThat(decide(0.5, 3500)).isInstanceOfSatisfying(AdmissionDecision.Send.class,
				(send) -> assertThat(send.runner()).isEqualTo(new RunnerId("runner-2")));
	}

	// Load pattern: one runner asks this gateway alone for a pause while a burst goes on.
	// Guards against sending to it during the pause, and against overloading the others.
	@Test
	void theOtherRunnersOfOneThatAskedForAPauseAreNotOverloadedByABurst() {
		this.table.update(view(Map.of(), runnerAt(1, 1), runnerAt(2, 1)), 500);
		askForPause("runner-1", 3000, 1000);
		int sent = 0;
		for (int call = 0; call < 200; call++) {
			AdmissionDecision decision = decide(0.5, 1100);
			if (decision instanceof AdmissionDecision.Send send) {
				assertThat(send.runner()).isEqualTo(new RunnerId("runner-2"));
				assertThat(send.predictedMillis()).isLessThan(2000);
				this.table.state(send.runner()).work().addPending(979, 1100);
				sent++;
			}
			else {
				assertThat(((AdmissionDecision.Reject) decision).retryAfterMillis()).isLessThan(3100);
			}
		}
		assertThat(sent).as("the slots of the other runner and what it can prepare within the goal").isBetween(8, 40);
		assertThat(decide(0.5, 4000)).isInstanceOfSatisfying(AdmissionDecision.Send.class,
				(send) -> assertThat(send.runner()).isEqualTo(new RunnerId("runner-1")));
	}

	@Test
	void aLaterShorterPauseDoesNotShortenTheFirstAndTheNextStartEndsIt() {
		this.table.update(view(Map.of(), runnerAt(1, 1)), 500);
		askForPause("runner-1", 3000, 1000);
		askForPause("runner-1", 100, 1100);
		assertThat(decide(0.5, 3999)).isInstanceOf(AdmissionDecision.Reject.class);
		this.table.update(view(Map.of()), 3000);
		this.table.update(view(Map.of(), runnerAt(1, 1)), 3100);
		assertThat(decide(0.5, 3999)).as("listed again").isInstanceOf(AdmissionDecision.Reject.class);
		this.table.update(view(Map.of(), runnerAt(1, 2)), 3200);
		assertThat(decide(0.5, 3201)).isInstanceOf(AdmissionDecision.Send.class);
	}

	private AdmissionDecision decide(MemoryNeed need) {
		CallScope scope = new CallScope(SERVICE, List.of(MODEL), Residency.anywhere(), false, need);
		return this.table.decide(
				new CallDescription(scope, new Urgency(0, 0), null, new CallRequirements(100, 600, 6000, 1)), Set.of(),
				3, 0.5, 1000);
	}

	// Guards against a runner that crashes since a call is sent there beside others that
	// fill its memory, and against a call that is rejected although another has room.
	@Test
	void callIsSentWhereTheMemoryHasRoomForIt() {
		this.table.update(view(Map.of(), runner("a", false, Map.of(MODEL, 1L)), runner("b", false, Map.of(MODEL, 1L))),
				500);
		MemoryNeed need = new MemoryNeed(600, 100, 5, 700, 1000);
		this.table.state(new RunnerId("a")).work().memory().reserve(need, 900);
		assertThat(((AdmissionDecision.Send) decide(need)).runner()).isEqualTo(new RunnerId("b"));
		this.table.state(new RunnerId("b")).work().memory().reserve(need, 900);
		assertThat(((AdmissionDecision.Reject) decide(need)).reason()).contains("memory of the runner has no room");
	}

	// Guards against a call that waits for a place although no runner can ever hold it.
	@Test
	void callThatIsLargerThanTheMemoryOfAnyRunnerIsRejectedForThatReason() {
		this.table.update(view(Map.of(), runner("a", false, Map.of(MODEL, 1L))), 500);
		assertThat(((AdmissionDecision.Reject) decide(new MemoryNeed(600, 401, 5, 700, 1000))).reason())
			.contains("more tokens than the memory of any runner");
	}

}
