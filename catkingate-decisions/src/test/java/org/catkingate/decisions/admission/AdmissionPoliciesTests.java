package org.catkingate.decisions.admission;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.decisions.competition.CompetingLevels;
import org.catkingate.decisions.routing.Distance;
import org.catkingate.decisions.sending.CallScope;
import org.catkingate.decisions.sending.Residency;
import org.catkingate.decisions.sending.Urgency;
import org.catkingate.model.ModelName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.EngineProfile;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link AdmissionPolicies}.
 */
class AdmissionPoliciesTests {

	private static final Optional<EngineProfile> ENGINE = Optional.of(new EngineProfile(16, 5, 9.27, 0.0232, 0, 20.7, 0,
			2048, 979, 92, Long.MAX_VALUE, 64, List.of(new ModelName("m"))));

	private static final CallDescription REQUIREMENTS = call(new CallRequirements(1000, 400, 6000, 1));

	private static final long SEED = 20261204;

	private static final int ARRIVALS = 2000;

	/**
	 * The time in which the engine reads a prompt of the mean length, in milliseconds.
	 */
	private static final double PROMPT_MILLIS = 50;

	private final AdmissionPolicy policy = AdmissionPolicies.earliestFirstEvent();

	private static CallDescription call(CallRequirements requirements) {
		return new CallDescription(new CallScope(new ServiceName("songs"), List.of(), Residency.anywhere(), false),
				new Urgency(0, 0), null, requirements);
	}

	private static RunnerOption runner(String id, Distance distance, int responding, int pending) {
		return new RunnerOption(new RunnerId(id), distance, 16, responding, pending, pending * 1000, 80, false,
				RunnerOption.NO_START_LIMIT_MILLIS);
	}

	private RunnerId chosen(RunnerOption... options) {
		return ((AdmissionDecision.Send) this.policy.decide(List.of(options), REQUIREMENTS, ENGINE, 0.5)).runner();
	}

	@Test
	void aServiceWithoutRunnersRejects() {
		assertThat(this.policy.decide(List.of(), REQUIREMENTS, ENGINE, 0.5))
			.isInstanceOf(AdmissionDecision.Reject.class);
	}

	@Test
	void aServiceWithoutEngineAcceptsOnlyCallsThatCanCompleteInTheirRemainingTime() {
		RunnerOption busy = new RunnerOption(new RunnerId("a"), Distance.DATA_CENTRE, 6, 6, 6, 0, 80, false,
				RunnerOption.NO_START_LIMIT_MILLIS);
		assertThat(this.policy.decide(List.of(busy), REQUIREMENTS, Optional.empty(), 0.5))
			.isInstanceOf(AdmissionDecision.Send.class);
		assertThat(this.policy.decide(List.of(busy), call(new CallRequirements(0, 50, 100, 1)), Optional.empty(), 0.5))
			.isInstanceOf(AdmissionDecision.Reject.class);
	}

	// Load pattern: no place is free, and the caller is about to abandon its call. Guards
	// against calls that are held although their callers will not see the response.
	@Test
	void aCallDoesNotWaitForAPlaceLongerThanItsCaller() {
		CompetingLevels levels = new CompetingLevels(List.of(), 0, true, CompetingLevels.Standing.REGULAR);
		List<RunnerOption> busy = List.of(runner("a", Distance.DATA_CENTRE, 16, 12));
		assertThat(this.policy.decide(busy, call(new CallRequirements(1000, 400, 6000, 1, 2000, 1500, levels)), ENGINE,
				0.5))
			.isInstanceOfSatisfying(AdmissionDecision.Wait.class,
					(wait) -> assertThat(wait.maxMillis()).isLessThan(1500));
		assertThat(this.policy.decide(busy, call(new CallRequirements(1000, 400, 6000, 1, 3000, 200, levels)), ENGINE,
				0.5))
			.isInstanceOf(AdmissionDecision.Reject.class);
	}

	@Nested
	class ACall {

		@Test
		void isSentToTheRunnerWithTheFewestPromptsAhead() {
			assertThat(chosen(runner("busy", Distance.DATA_CENTRE, 10, 3), runner("calm", Distance.DATA_CENTRE, 10, 0)))
				.isEqualTo(new RunnerId("calm"));
		}

		@Test
		void staysInItsRegionWhileTheExtraDelayIsSmall() {
			assertThat(chosen(runner("near", Distance.REGION, 8, 0), runner("far", Distance.ELSEWHERE, 2, 0)))
				.isEqualTo(new RunnerId("near"));
			assertThat(chosen(runner("near", Distance.REGION, 16, 2), runner("far", Distance.ELSEWHERE, 2, 0)))
				.isEqualTo(new RunnerId("far"));
		}

		@Test
		void isSentToASuspectRunnerOnlyIfThereIsNoOther() {
			RunnerOption suspect = new RunnerOption(new RunnerId("suspect"), Distance.DATA_CENTRE, 16, 0, 0, 0, 80,
					true, RunnerOption.NO_START_LIMIT_MILLIS);
			assertThat(chosen(suspect, runner("other", Distance.ELSEWHERE, 12, 1))).isEqualTo(new RunnerId("other"));
			assertThat(chosen(suspect)).isEqualTo(new RunnerId("suspect"));
		}

		@Test
		void isSpreadOverEqualRunners() {
			List<RunnerOption> equal = List.of(runner("a", Distance.DATA_CENTRE, 4, 0),
					runner("b", Distance.DATA_CENTRE, 4, 0), runner("c", Distance.DATA_CENTRE, 4, 0));
			Set<RunnerId> chosenRunners = new HashSet<>();
			for (double draw = 0; draw < 1; draw += 0.1) {
				chosenRunners.add(((AdmissionDecision.Send) AdmissionPoliciesTests.this.policy.decide(equal,
						REQUIREMENTS, ENGINE, draw))
					.runner());
			}
			assertThat(chosenRunners).hasSize(3);
		}

	}

	@Nested
	class ARunnerWhoseVersionIsReplaced {

		private static final CallDescription LONG_GOAL = call(new CallRequirements(1000, 4000, 6000, 1));

		private RunnerOption runnerWithStartLimit(int pending, long startWithinMillis) {
			return new RunnerOption(new RunnerId("ending"), Distance.DATA_CENTRE, 16, 8, pending, pending * 1000, 80,
					false, startWithinMillis);
		}

		private AdmissionDecision decide(RunnerOption... options) {
			return AdmissionPoliciesTests.this.policy.decide(List.of(options), LONG_GOAL, ENGINE, 0.5);
		}

		@Test
		void getsACallPredictedToStartWellBeforeItsStartLimit() {
			double predicted = ((AdmissionDecision.Send) decide(runnerWithStartLimit(0, 2000))).predictedMillis();
			assertThat(decide(runnerWithStartLimit(0, (long) predicted + 300)))
				.isInstanceOf(AdmissionDecision.Send.class);
			assertThat(decide(runnerWithStartLimit(0, (long) predicted + 200)))
				.isInstanceOf(AdmissionDecision.Reject.class);
		}

		@Test
		void getsNoCallThatWouldStartAfterItsStartLimit() {
			assertThat(decide(runnerWithStartLimit(6, 700))).isInstanceOf(AdmissionDecision.Reject.class);
			assertThat(decide(runnerWithStartLimit(6, 2000))).isInstanceOf(AdmissionDecision.Send.class);
		}

		@Test
		void getsNoCallAfterItsStartLimit() {
			assertThat(decide(runnerWithStartLimit(0, 0))).isInstanceOf(AdmissionDecision.Reject.class);
			assertThat(decide(runnerWithStartLimit(0, -5000))).isInstanceOf(AdmissionDecision.Reject.class);
		}

		@Test
		void isPassedOverForABusierRunnerWithoutAStartLimit() {
			assertThat(((AdmissionDecision.Send) decide(runnerWithStartLimit(0, 300),
					runner("busy", Distance.ELSEWHERE, 12, 4)))
				.runner()).isEqualTo(new RunnerId("busy"));
		}

	}

	@Nested
	class AnOverloadedService {

		@Test
		void rejectsCallsThatCannotStartWithinTheirGoalAndSuggestsARetryDelay() {
			List<RunnerOption> full = List.of(runner("a", Distance.DATA_CENTRE, 16, 6));
			AdmissionDecision.Reject rejection = (AdmissionDecision.Reject) AdmissionPoliciesTests.this.policy
				.decide(full, REQUIREMENTS, ENGINE, 0.5);
			assertThat(rejection.predictedMillis()).isGreaterThan(400);
			assertThat(rejection.retryAfterMillis()).isBetween(150L, 3000L);
		}

		@Test
		void spreadsTheRetriesOfRejectedCalls() {
			List<RunnerOption> full = List.of(runner("a", Distance.DATA_CENTRE, 16, 6));
			List<Long> retryDelays = new ArrayList<>();
			for (double draw = 0; draw < 1; draw += 0.25) {
				retryDelays.add(((AdmissionDecision.Reject) AdmissionPoliciesTests.this.policy.decide(full,
						REQUIREMENTS, ENGINE, draw))
					.retryAfterMillis());
			}
			assertThat(retryDelays).doesNotHaveDuplicates();
		}

		@Test
		void rejectsLongPromptsNoMoreThanShortOnes() {
			for (int pending = 0; pending < 8; pending++) {
				List<RunnerOption> busy = List.of(runner("a", Distance.DATA_CENTRE, 12, pending));
				boolean shortAccepted = AdmissionPoliciesTests.this.policy.decide(busy,
						call(new CallRequirements(100, 400, 6000, 1)), ENGINE, 0.5) instanceof AdmissionDecision.Send;
				boolean longAccepted = AdmissionPoliciesTests.this.policy.decide(busy,
						call(new CallRequirements(3800, 400, 6000, 1)), ENGINE, 0.5) instanceof AdmissionDecision.Send;
				assertThat(longAccepted).as("with %d pending", pending).isEqualTo(shortAccepted);
			}
		}

		@Test
		void rejectsMoreWhileFirstEventsComeLaterThanPredicted() {
			List<RunnerOption> busy = List.of(runner("a", Distance.DATA_CENTRE, 12, 2));
			PredictionCorrection correction = PredictionCorrection.none();
			for (int i = 0; i < 200; i++) {
				correction = correction.withObservation(200, 500);
			}
			assertThat(AdmissionPoliciesTests.this.policy.decide(busy, REQUIREMENTS, ENGINE, 0.5))
				.isInstanceOf(AdmissionDecision.Send.class);
			assertThat(AdmissionPoliciesTests.this.policy.decide(busy,
					call(new CallRequirements(1000, 400, 6000, correction.factor())), ENGINE, 0.5))
				.isInstanceOf(AdmissionDecision.Reject.class);
		}

		@Test
		void acceptsCallsThatStillMeetTheirGoal() {
			assertThat(AdmissionPoliciesTests.this.policy.decide(List.of(runner("a", Distance.DATA_CENTRE, 14, 1)),
					REQUIREMENTS, ENGINE, 0.5))
				.isInstanceOf(AdmissionDecision.Send.class);
		}

		@Test
		void keepsTheRunnerBusyAndMostAcceptedCallsInTimeUnderTwiceItsCapacity() {
			Random random = new Random(SEED);
			double queuedMillis = 0;
			int idle = 0;
			int accepted = 0;
			int inTime = 0;
			for (int arrival = 0; arrival < ARRIVALS; arrival++) {
				queuedMillis = Math.max(0, queuedMillis - PROMPT_MILLIS / 2);
				idle += (queuedMillis == 0) ? 1 : 0;
				RunnerOption runner = runner("a", Distance.DATA_CENTRE, 8,
						(int) Math.ceil(queuedMillis / PROMPT_MILLIS));
				if (AdmissionPoliciesTests.this.policy.decide(List.of(runner), REQUIREMENTS, ENGINE,
						0.5) instanceof AdmissionDecision.Send send) {
					queuedMillis += PROMPT_MILLIS;
					accepted++;
					// observed times are scattered around the predicted time
					double observedMillis = send.predictedMillis() * (0.7 + 0.8 * random.nextDouble());
					inTime += (observedMillis <= REQUIREMENTS.requirements().goalMillis()) ? 1 : 0;
				}
			}
			assertThat((double) inTime / accepted).isGreaterThan(0.9);
			assertThat((double) idle / ARRIVALS).isLessThan(0.05);
		}

	}

	/**
	 * The load pattern: all machines have lost power, the runners hold no weights, and
	 * callers who may retry once arrive all the while.
	 */
	@Nested
	class CallersWhileAllRunnersLoadWeights {

		// Load pattern: more calls arrive while no runner serves than can be sent before
		// their callers abandon them. Guards against calls that are held in vain.
		@Test
		void waitOnlyInTheNumberThatCanBeSentInTime() {
			CallRequirements call = new CallRequirements(1000, 400, 5600, 1, 0, 3200, CompetingLevels.none());
			assertThat(AdmissionPolicies.whileLoading(0, OptionalLong.of(1900), 10, call, 0.5)).isInstanceOfSatisfying(
					AdmissionDecision.Wait.class, (wait) -> assertThat(wait.maxCalls()).isBetween(1, 13));
		}

		// Load pattern: no runner serves for longer than callers wait for a first event.
		// Guards against calls that wait until their callers abandon them.
		@Test
		void thatWouldAbandonTheirCallReturnWhenTheyCanWaitForTheRest() {
			CallRequirements call = new CallRequirements(1000, 400, 5600, 1, 0, 3200, CompetingLevels.none());
			for (int i = 0; i <= 10; i++) {
				AdmissionDecision.Reject rejection = (AdmissionDecision.Reject) AdmissionPolicies.whileLoading(0,
						OptionalLong.of(3500), 100, call, i / 10.0);
				assertThat(rejection.retryAfterMillis()).isBetween(3500L - 3200, 5600L / 3);
			}
			assertThat(AdmissionPolicies.whileLoading(0, OptionalLong.of(2500), 100, call, 0.5)).isInstanceOfSatisfying(
					AdmissionDecision.Wait.class, (wait) -> assertThat(wait.maxMillis()).isLessThan(3200));
		}

		private static final long LOADED_AT_MILLIS = 1500;

		private static final long REMAINING_MILLIS = 5000;

		private final Random random = new Random(SEED);

		private AdmissionDecision decide(long elapsedMillis, long remainingMillis) {
			return AdmissionPolicies.whileLoading(elapsedMillis, OptionalLong.empty(), 100,
					new CallRequirements(1000, 400, remainingMillis, 1), this.random.nextDouble());
		}

		// Guards against callers that are rejected a second time, after the failure
		// itself,
		// although a runner can serve them within their time.
		@Test
		void waitForTheRunnersAndSomeTimeBeyond() {
			for (long arrival = 0; arrival < LOADED_AT_MILLIS; arrival += 10) {
				AdmissionDecision decision = decide(arrival, REMAINING_MILLIS);
				assertThat(decision).isInstanceOf(AdmissionDecision.Wait.class);
				assertThat(arrival + ((AdmissionDecision.Wait) decision).maxMillis()).isGreaterThan(LOADED_AT_MILLIS)
					.isLessThan(2 * LOADED_AT_MILLIS);
			}
		}

		// Guards against calls that have waited, and are late, delaying calls that could
		// be
		// in time.
		@Test
		void leavePlacesToCallsThatCanStillBeInTime() {
			RunnerOption busy = runner("a", Distance.DATA_CENTRE, 8, 2);
			assertThat(AdmissionPoliciesTests.this.policy.decide(List.of(busy), REQUIREMENTS, ENGINE, 0.5))
				.isInstanceOf(AdmissionDecision.Send.class);
			assertThat(AdmissionPoliciesTests.this.policy.decide(List.of(busy),
					call(REQUIREMENTS.requirements().afterWaiting()), ENGINE, 0.5))
				.isInstanceOf(AdmissionDecision.Reject.class);
		}

		// Guards against calls that wait in vain where weights take longer than expected.
		@Test
		void areRejectedAtOnceWhenLoadingTakesLongerThanExpected() {
			assertThat(decide(LOADED_AT_MILLIS, REMAINING_MILLIS)).isInstanceOf(AdmissionDecision.Reject.class);
			AdmissionDecision.Reject late = (AdmissionDecision.Reject) decide(60_000, REMAINING_MILLIS);
			assertThat(late.retryAfterMillis()).isPositive().isLessThan(1000);
		}

		// Guards against calls that return before a reported arrival, or wait for one
		// that
		// comes after their deadline.
		@Test
		void waitForAReportedArrivalAsFarAsTheirDeadlineAllows() {
			CallRequirements call = new CallRequirements(1000, 400, REMAINING_MILLIS, 1);
			assertThat(((AdmissionDecision.Wait) AdmissionPolicies.whileLoading(60_000, OptionalLong.of(3500), 100,
					call, 0))
				.maxMillis()).isEqualTo(REMAINING_MILLIS - 1000);
			assertThat(
					((AdmissionDecision.Reject) AdmissionPolicies.whileLoading(0, OptionalLong.of(4100), 100, call, 0))
						.retryAfterMillis())
				.isEqualTo(4100);
		}

		@Test
		void areRejectedAtOnceIfTheyHaveTooLittleTime() {
			AdmissionDecision decision = decide(0, 1500);
			assertThat(decision).isInstanceOf(AdmissionDecision.Reject.class);
			assertThat(((AdmissionDecision.Reject) decision).retryAfterMillis())
				.isGreaterThanOrEqualTo(LOADED_AT_MILLIS);
		}

		// Guards against callers that spend their only retry before any runner has
		// weights.
		@Test
		void comeBackToAGatewayWithoutConfigurationWhenRunnersAreExpectedToServe() {
			assertThat(AdmissionPolicies.startupRetryAfterMillis(500, 0)).isEqualTo(LOADED_AT_MILLIS);
			assertThat(AdmissionPolicies.startupRetryAfterMillis(500, 1)).isLessThan(2 * LOADED_AT_MILLIS);
		}

		// Guards against callers that are kept away from the other gateways when only one
		// has restarted.
		@Test
		void comeBackSoonToAGatewayThatHasJustStarted() {
			assertThat(AdmissionPolicies.startupRetryAfterMillis(0, 1)).isLessThanOrEqualTo(300);
		}

		// Guards against runners that are flooded the moment they have loaded.
		@Test
		void doNotReturnAtTheSameMoment() {
			long busiest = 0;
			List<Long> times = new ArrayList<>();
			for (int i = 0; i < ARRIVALS; i++) {
				long arrival = LOADED_AT_MILLIS * i / ARRIVALS;
				times.add(arrival + ((AdmissionDecision.Reject) decide(arrival, 1000)).retryAfterMillis());
			}
			for (long from = 0; from < 2 * LOADED_AT_MILLIS; from += 100) {
				long start = from;
				busiest = Math.max(busiest, times.stream().filter((t) -> t >= start && t < start + 100).count());
			}
			assertThat(busiest).as("seed %d", SEED).isLessThan(ARRIVALS / 5);
		}

	}

	@Nested
	class CallersWhoseRunnersHaveAllAskedForAPause {

		private static final long PAUSE_MILLIS = 4000;

		// Load pattern: callers arrive evenly while all runners of their service have
		// asked for a pause. Guards against runners that are flooded when it is over.
		@Test
		void returnAfterThePauseAndNotAtTheSameMoment() {
			Random random = new Random(SEED);
			List<Long> times = new ArrayList<>();
			for (int i = 0; i < ARRIVALS; i++) {
				long arrival = PAUSE_MILLIS * i / ARRIVALS;
				AdmissionDecision decision = AdmissionPolicies.whilePaused(PAUSE_MILLIS - arrival, random.nextDouble());
				times.add(arrival + ((AdmissionDecision.Reject) decision).retryAfterMillis());
			}
			long busiest = 0;
			for (long from = 0; from < 2 * PAUSE_MILLIS; from += 100) {
				long start = from;
				busiest = Math.max(busiest, times.stream().filter((t) -> t >= start && t < start + 100).count());
			}
			assertThat(times).allMatch((time) -> time >= PAUSE_MILLIS && time <= 2 * PAUSE_MILLIS);
			assertThat(busiest).as("seed %d", SEED).isLessThan(ARRIVALS / 8);
		}

	}

	@Nested
	class CallersWhoseRunnersHaveAllStatedLimits {

		private static final long REMAINING_MILLIS = 5000;

		private static AdmissionDecision.Wait decide(double callsPerSecond, double draw) {
			return (AdmissionDecision.Wait) AdmissionPolicies.whileLimited(callsPerSecond, REMAINING_MILLIS, draw);
		}

		// Load pattern: calls arrive at many times the rate that the runners take. Guards
		// against calls that wait although no permit can come for them.
		@Test
		void waitOnlyIfAPermitIsExpectedInTheMeantime() {
			assertThat(decide(0.3, 0.5).maxCalls()).isEqualTo(1);
			assertThat(decide(20, 0.5).maxCalls()).isEqualTo(5);
			assertThat(decide(20, 0.5).maxMillis()).isLessThan(500);
			assertThat(AdmissionPolicies.whileLimited(20, 100, 0.5)).isInstanceOf(AdmissionDecision.Reject.class);
		}

		// Guards against callers that return before the next permit, or all at the same
		// moment.
		@Test
		void returnAfterTheIntervalOfTheLimitsAtDifferentTimes() {
			for (double callsPerSecond : new double[] { 0.5, 1.25, 4 }) {
				long interval = (long) (1000 / callsPerSecond);
				assertThat(decide(callsPerSecond, 0).otherwise().retryAfterMillis()).isEqualTo(interval);
				assertThat(decide(callsPerSecond, 1).otherwise().retryAfterMillis()).isEqualTo(2 * interval);
			}
		}

		@Test
		void areNeverToldToReturnAtOnceOrAfterLong() {
			for (double callsPerSecond : new double[] { 0, 1e-9, 1e9 }) {
				assertThat(decide(callsPerSecond, 0.5).otherwise().retryAfterMillis()).isBetween(150L, 4000L);
			}
		}

	}

}
