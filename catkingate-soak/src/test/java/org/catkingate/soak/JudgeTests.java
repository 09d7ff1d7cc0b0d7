package org.catkingate.soak;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the judge finds a planted breach of each promise, and none where the promise
 * is kept.
 */
class JudgeTests {

	private static final long DEADLINE_MILLIS = 2500;

	private static final String GATEWAY = "gateway-0#1";

	private static final String RUNNER = "shop0-1";

	private final Judge judge = new Judge();

	@BeforeEach
	void issueKey() {
		this.judge.keyIssued("key1", "bar-1");
	}

	private SoakRequest send(String id, RequestKind kind, String path, long sentMillis) {
		SoakRequest request = new SoakRequest(id, kind, GATEWAY, path, "body", "key1", sentMillis, 0, DEADLINE_MILLIS);
		this.judge.requestSent(request);
		return request;
	}

	private SoakRequest send(String id, RequestKind kind) {
		return send(id, kind, kind.pathPrefix() + id, 0);
	}

	private static RunnerRun createRun(SoakRequest request, String signature, int resumesAfter, int status,
			String response) {
		return new RunnerRun(signature, request.id(), RUNNER, request.kind().service(), request.path(), request.body(),
				"bar-1", false, resumesAfter, status, response, true, request.sentMillis() + 10);
	}

	private RunnerRun run(SoakRequest request, String signature) {
		RunnerRun run = createRun(request, signature, 0, 200, "response to " + request.id());
		this.judge.runStarted(run);
		return run;
	}

	private void receive(SoakRequest request, int status, String signature, String body, boolean complete) {
		receive(request, status, Map.of("x-server-seal", signature, "x-request-id", request.id()), body, complete);
	}

	private void receive(SoakRequest request, int status, Map<String, String> headers, String body, boolean complete) {
		this.judge.responseReceived(request.id(), new CallerResponse(status, headers, body, complete),
				request.sentMillis() + 20);
	}

	private void receiveRejection(SoakRequest request, int status) {
		receive(request, status, Map.of(), "", true);
	}

	private List<Promise> broken() {
		return this.judge.breaches().stream().map(Breach::promise).distinct().toList();
	}

	@Nested
	class ARequestThatReachedARunner {

		@Test
		void isFoundIfItEndsWithoutAWholeResponse() {
			SoakRequest request = send("a", RequestKind.READ);
			JudgeTests.this.judge.requestArrived("a", RUNNER, 5);
			run(request, "s1");
			receive(request, 200, "s1", "response", false);
			assertThat(broken()).containsExactly(Promise.ANSWERED);
		}

	}

	@Nested
	class AHeap {

		@Test
		void isFoundIfMoreThanHalfOfItIsOccupied() {
			JudgeTests.this.judge.heapMeasured(GATEWAY, 50, 100);
			assertThat(broken()).isEmpty();
			JudgeTests.this.judge.heapMeasured(GATEWAY, 51, 100);
			assertThat(broken()).containsExactly(Promise.MEMORY);
		}

	}

	@Nested
	class Responses {

		@Test
		void areAcceptedIfTheyAreWhole() {
			SoakRequest request = send("a", RequestKind.READ);
			receive(request, 200, "s1", run(request, "s1").response(), true);
			assertThat(broken()).isEmpty();
		}

		@Test
		void areAcceptedIfTheyEndEarlyAndLookIncomplete() {
			SoakRequest request = send("a", RequestKind.READ);
			run(request, "s1");
			receive(request, 200, "s1", "response", false);
			assertThat(broken()).isEmpty();
		}

		@Test
		void areFoundIfTheyEndEarlyAndLookComplete() {
			SoakRequest request = send("a", RequestKind.READ);
			run(request, "s1");
			receive(request, 200, "s1", "response", true);
			assertThat(broken()).containsExactly(Promise.OWN_RESPONSE);
		}

		@Test
		void areFoundIfABodyIsNotTheRunners() {
			SoakRequest request = send("a", RequestKind.READ);
			run(request, "s1");
			receive(request, 200, "s1", "other", false);
			assertThat(broken()).containsExactly(Promise.OWN_RESPONSE);
		}

		@Test
		void areFoundIfASuccessHasNoRun() {
			receive(send("a", RequestKind.READ), 200, Map.of(), "body", true);
			assertThat(broken()).containsExactly(Promise.OWN_RESPONSE);
		}

		@Test
		void areFoundIfTheyBelongToAnotherRequest() {
			SoakRequest other = send("b", RequestKind.READ);
			RunnerRun run = run(other, "s1");
			receive(send("a", RequestKind.READ), 200, "s1", run.response(), true);
			assertThat(broken()).containsExactly(Promise.OWN_RESPONSE);
		}

		@Test
		void areFoundIfTheyNameAnotherRequest() {
			receive(send("a", RequestKind.READ), 502, Map.of("x-request-id", "b"), "", true);
			assertThat(broken()).containsExactly(Promise.OWN_RESPONSE);
		}

		@Test
		void areFoundIfAFailureBecomesASuccess() {
			SoakRequest request = send("a", RequestKind.READ);
			RunnerRun failed = createRun(request, "s1", 0, 500, "failed");
			JudgeTests.this.judge.runStarted(failed);
			receive(request, 200, "s1", "failed", true);
			assertThat(broken()).containsExactly(Promise.OWN_RESPONSE);
		}

		@Test
		void areFoundIfASignedFailureHasAnotherStatus() {
			SoakRequest request = send("a", RequestKind.READ);
			run(request, "s1");
			receive(request, 502, "s1", "", true);
			assertThat(broken()).containsExactly(Promise.OWN_RESPONSE);
		}

		@Test
		void areFoundIfTheBytesAreNoResponse() {
			receive(send("a", RequestKind.READ), CallerResponse.MALFORMED, Map.of(), "garbled", false);
			assertThat(broken()).containsExactly(Promise.OWN_RESPONSE);
		}

		@Test
		void areFoundIfNoRequestIsWaiting() {
			JudgeTests.this.judge.unexpectedBytes(GATEWAY, "surplus");
			assertThat(broken()).containsExactly(Promise.OWN_RESPONSE);
		}

	}

	@Nested
	class Streams {

		private static final int LAST = 3;

		private String events(SoakRequest request, String signature, int... numbers) {
			StringBuilder body = new StringBuilder();
			for (int number : numbers) {
				body.append(StreamEvents.format(request.id(), signature, number, LAST));
			}
			return body.toString();
		}

		private void runFrom(SoakRequest request, String signature, int resumesAfter) {
			JudgeTests.this.judge.runStarted(createRun(request, signature, resumesAfter, 200, ""));
		}

		@Test
		void areAcceptedIfTheyAreWholeAndInOrder() {
			SoakRequest request = send("a", RequestKind.SONG);
			runFrom(request, "s1", 0);
			receive(request, 200, "s1", events(request, "s1", 1, 2, 3), true);
			assertThat(broken()).isEmpty();
		}

		@Test
		void areAcceptedIfAnotherRunnerResumesThem() {
			SoakRequest request = send("a", RequestKind.LYRICS);
			runFrom(request, "s1", 0);
			runFrom(request, "s2", 1);
			receive(request, 200, "s1", events(request, "s1", 1) + events(request, "s2", 2, 3), true);
			assertThat(broken()).isEmpty();
		}

		@Test
		void areAcceptedIfTheyBreakOffInsideAnEvent() {
			SoakRequest request = send("a", RequestKind.SONG);
			runFrom(request, "s1", 0);
			receive(request, 200, "s1", events(request, "s1", 1) + "id: 2\nda", false);
			assertThat(broken()).isEmpty();
		}

		@Test
		void areFoundIfAnEventIsMissing() {
			SoakRequest request = send("a", RequestKind.LYRICS);
			runFrom(request, "s1", 0);
			receive(request, 200, "s1", events(request, "s1", 1, 3), false);
			assertThat(broken()).containsExactly(Promise.EVENT_ORDER);
		}

		@Test
		void areFoundIfAnEventComesTwice() {
			SoakRequest request = send("a", RequestKind.LYRICS);
			runFrom(request, "s1", 0);
			receive(request, 200, "s1", events(request, "s1", 1, 1), false);
			assertThat(broken()).containsExactly(Promise.EVENT_ORDER);
		}

		@Test
		void areFoundIfTheyJoinTwoRunsFromTheStart() {
			SoakRequest request = send("a", RequestKind.LYRICS);
			runFrom(request, "s1", 0);
			runFrom(request, "s2", 0);
			receive(request, 200, "s1", events(request, "s1", 1) + events(request, "s2", 2, 3), true);
			assertThat(broken()).containsExactly(Promise.EVENT_ORDER);
		}

		@Test
		void areFoundIfTheyAreResumedThoughTheyMayNot() {
			SoakRequest request = send("a", RequestKind.SONG);
			runFrom(request, "s1", 0);
			runFrom(request, "s2", 1);
			receive(request, 200, "s1", events(request, "s1", 1) + events(request, "s2", 2, 3), true);
			assertThat(broken()).containsExactlyInAnyOrder(Promise.EVENT_ORDER, Promise.AT_MOST_ONCE);
		}

		@Test
		void areFoundIfTheyEndAsCompleteBeforeTheLastEvent() {
			SoakRequest request = send("a", RequestKind.SONG);
			runFrom(request, "s1", 0);
			receive(request, 200, "s1", events(request, "s1", 1, 2), true);
			assertThat(broken()).containsExactly(Promise.EVENT_ORDER);
		}

		@Test
		void areFoundIfTheyEndAsCompleteInsideAnEvent() {
			SoakRequest request = send("a", RequestKind.SONG);
			runFrom(request, "s1", 0);
			receive(request, 200, "s1", events(request, "s1", 1, 2, 3) + "id: 4", true);
			assertThat(broken()).containsExactly(Promise.EVENT_ORDER);
		}

		@Test
		void areFoundIfTheyAreCompleteWithoutAnEvent() {
			SoakRequest request = send("a", RequestKind.SONG);
			runFrom(request, "s1", 0);
			receive(request, 200, "s1", "", true);
			assertThat(broken()).containsExactly(Promise.EVENT_ORDER);
		}

		@Test
		void areFoundIfAnEventBelongsToAnotherRequest() {
			SoakRequest request = send("a", RequestKind.LYRICS);
			runFrom(request, "s1", 0);
			receive(request, 200, "s1", events(send("b", RequestKind.LYRICS), "s1", 1), false);
			assertThat(broken()).containsExactly(Promise.OWN_RESPONSE);
		}

	}

	@Nested
	class Runs {

		@ParameterizedTest
		@EnumSource(value = RequestKind.class, names = { "PURCHASE", "SONG" })
		void areFoundIfARequestRunsTwiceThoughItMayNot(RequestKind kind) {
			SoakRequest request = send("a", kind);
			run(request, "s1");
			run(request, "s2");
			assertThat(broken()).containsExactly(Promise.AT_MOST_ONCE);
		}

		@Test
		void mayBeRepeatedForALookup() {
			SoakRequest request = send("a", RequestKind.READ);
			run(request, "s1");
			run(request, "s2");
			receiveRejection(request, 503);
			assertThat(broken()).isEmpty();
		}

		@ParameterizedTest
		@ValueSource(ints = { 429, 503, 408, 421 })
		void areFoundIfTheRequestIsRejectedAsNotRun(int status) {
			SoakRequest request = send("a", RequestKind.PURCHASE);
			run(request, "s1");
			receiveRejection(request, status);
			assertThat(broken()).containsExactly(Promise.REJECTED_NOT_RUN);
		}

		@Test
		void areFoundAfterTheRequestWasRejectedAsNotRun() {
			SoakRequest request = send("a", RequestKind.PURCHASE);
			receiveRejection(request, 503);
			run(request, "s1");
			assertThat(broken()).containsExactly(Promise.REJECTED_NOT_RUN);
		}

		@Test
		void areAcceptedIfTheOutcomeIsSaidToBeUnknown() {
			SoakRequest request = send("a", RequestKind.PURCHASE);
			run(request, "s1");
			receiveRejection(request, 502);
			assertThat(broken()).isEmpty();
		}

		@Test
		void areFoundIfNoCallerHasSentTheRequest() {
			JudgeTests.this.judge.requestArrived("unknown", RUNNER, 0);
			assertThat(broken()).containsExactly(Promise.UNCHANGED_REQUEST);
		}

		@Test
		void areFoundIfTheBodyIsChanged() {
			SoakRequest request = send("a", RequestKind.READ);
			JudgeTests.this.judge.runStarted(new RunnerRun("s1", "a", RUNNER, "shop", request.path(), "changed",
					"bar-1", false, 0, 200, "", true, 10));
			assertThat(broken()).containsExactly(Promise.UNCHANGED_REQUEST);
		}

		@Test
		void areFoundIfTheServiceIsAnother() {
			SoakRequest request = send("a", RequestKind.READ);
			JudgeTests.this.judge.runStarted(new RunnerRun("s1", "a", RUNNER, "singers", request.path(), request.body(),
					"bar-1", false, 0, 200, "", true, 10));
			assertThat(broken()).containsExactly(Promise.UNCHANGED_REQUEST);
		}

		@ParameterizedTest
		@ValueSource(booleans = { true, false })
		void areFoundIfTheAccountIsAnotherOrTheKeyIsPassedOn(boolean keyReceived) {
			SoakRequest request = send("a", RequestKind.READ);
			JudgeTests.this.judge.runStarted(new RunnerRun("s1", "a", RUNNER, "shop", request.path(), request.body(),
					keyReceived ? "bar-1" : "bar-2", keyReceived, 0, 200, "", true, 10));
			assertThat(broken()).containsExactly(Promise.UNCHANGED_REQUEST);
		}

		@Test
		void areFoundIfTheWeightsAreNotWhole() {
			SoakRequest request = send("a", RequestKind.GENERATION);
			JudgeTests.this.judge.runStarted(new RunnerRun("s1", "a", "engines0-1", "engines", request.path(),
					request.body(), "bar-1", false, 0, 200, "", false, 10));
			assertThat(broken()).containsExactly(Promise.WHOLE_WEIGHTS);
		}

	}

	@Nested
	class Keys {

		private static final long WITHDRAWN_MILLIS = 1000;

		private void runSentAt(long sentMillis) {
			JudgeTests.this.judge.keyWithdrawn("key1", WITHDRAWN_MILLIS);
			run(send("a", RequestKind.READ, "/catalogue/a", sentMillis), "s1");
		}

		@Test
		void areFoundIfTheyRunLongAfterTheirWithdrawal() {
			runSentAt(WITHDRAWN_MILLIS + Judge.WITHDRAWAL_LIMIT_MILLIS + 1);
			assertThat(broken()).containsExactly(Promise.WITHDRAWN_KEY);
		}

		@Test
		void mayRunShortlyAfterTheirWithdrawal() {
			runSentAt(WITHDRAWN_MILLIS + Judge.WITHDRAWAL_LIMIT_MILLIS);
			assertThat(broken()).isEmpty();
		}

		@Test
		void areFoundIfTheyAreValidAndDeniedOften() {
			JudgeTests.this.judge.keyIsPermanent("key1");
			for (int i = 0; i <= Judge.MAX_DENIED; i++) {
				assertThat(broken()).isEmpty();
				receiveRejection(send("a" + i, RequestKind.READ), 401);
			}
			assertThat(broken()).containsExactly(Promise.VALID_REQUEST_ADMITTED);
		}

		@Test
		void mayBeDeniedIfAnOlderConfigurationDoesNotHaveThem() {
			for (int i = 0; i <= Judge.MAX_DENIED; i++) {
				receiveRejection(send("a" + i, RequestKind.READ), 401);
			}
			assertThat(broken()).isEmpty();
		}

	}

	@Nested
	class Configurations {

		private void probe(String id, long version, long sentMillis) {
			run(send(id, RequestKind.PROBE, "/probe/" + version + "/" + id, sentMillis), "s-" + id);
		}

		@Test
		void areFoundIfAGatewayGoesBack() {
			probe("a", 8, 0);
			probe("b", 7, 11 + Judge.REVERSION_SLACK_MILLIS);
			assertThat(broken()).containsExactly(Promise.NO_REVERSION);
		}

		@Test
		void mayOverlapForAMoment() {
			probe("a", 8, 0);
			probe("b", 7, 10 + Judge.REVERSION_SLACK_MILLIS);
			assertThat(broken()).isEmpty();
		}

		@Test
		void mayOverlapForLongerAtASuspendedGateway() {
			JudgeTests.this.judge.gatewaySuspended(GATEWAY, 500);
			probe("a", 8, 0);
			probe("b", 7, 10 + Judge.DISTURBED_REVERSION_SLACK_MILLIS);
			assertThat(broken()).isEmpty();
			probe("c", 7, 11 + Judge.DISTURBED_REVERSION_SLACK_MILLIS);
			assertThat(broken()).containsExactly(Promise.NO_REVERSION);
		}

	}

	@Nested
	class Runners {

		private static final long PAUSE_MILLIS = 3000;

		private void passOnThatTheRunnerLeaves() {
			SoakRequest request = send("a", RequestKind.READ);
			RunnerRun run = run(request, "s1");
			Map<String, String> headers = new HashMap<>(
					Map.of("x-server-seal", "s1", "x-request-id", "a", "server-leaving", "1"));
			receive(request, 200, headers, run.response(), true);
		}

		private void arrive(String id, long sentMillis) {
			send(id, RequestKind.READ, "/catalogue/" + id, sentMillis);
			JudgeTests.this.judge.requestArrived(id, RUNNER, sentMillis);
		}

		@Test
		void areFoundIfTheyGetRequestsLongAfterTheyLeave() {
			passOnThatTheRunnerLeaves();
			arrive("b", 20 + Judge.LEAVING_LIMIT_MILLIS);
			assertThat(broken()).isEmpty();
			arrive("c", 21 + Judge.LEAVING_LIMIT_MILLIS);
			assertThat(broken()).containsExactly(Promise.LEAVING_RUNNER);
		}

		@Test
		void mayGetRequestsOfAGatewayThatWasSuspendedSince() {
			passOnThatTheRunnerLeaves();
			JudgeTests.this.judge.gatewaySuspended(GATEWAY, 1000);
			arrive("b", 21 + Judge.LEAVING_LIMIT_MILLIS);
			assertThat(broken()).isEmpty();
		}

		@Test
		void areFoundIfTheyGetManyRequestsInAPause() {
			send("a", RequestKind.READ);
			JudgeTests.this.judge.pauseRequested("a", RUNNER, 0, PAUSE_MILLIS);
			arrive("early", Judge.PAUSE_START_MILLIS - 1);
			for (int i = 0; i < Judge.MAX_REQUESTS_IN_PAUSE; i++) {
				arrive("b" + i, Judge.PAUSE_START_MILLIS + i);
			}
			assertThat(broken()).isEmpty();
			arrive("c", PAUSE_MILLIS - 1);
			assertThat(broken()).containsExactly(Promise.RUNNER_PAUSE);
		}

		@Test
		void mayGetRequestsAfterAPause() {
			send("a", RequestKind.READ);
			JudgeTests.this.judge.pauseRequested("a", RUNNER, 0, PAUSE_MILLIS);
			for (int i = 0; i <= Judge.MAX_REQUESTS_IN_PAUSE; i++) {
				arrive("b" + i, PAUSE_MILLIS + i);
			}
			assertThat(broken()).isEmpty();
		}

		@Test
		void mayGetAFewRequestsInEachOfSeveralPauses() {
			send("a", RequestKind.READ);
			JudgeTests.this.judge.pauseRequested("a", RUNNER, 0, PAUSE_MILLIS);
			arrive("b", PAUSE_MILLIS - 2);
			arrive("c", PAUSE_MILLIS - 1);
			JudgeTests.this.judge.pauseRequested("b", RUNNER, PAUSE_MILLIS - 2, PAUSE_MILLIS);
			arrive("d", PAUSE_MILLIS + Judge.PAUSE_START_MILLIS);
			arrive("e", PAUSE_MILLIS + Judge.PAUSE_START_MILLIS + 1);
			assertThat(broken()).isEmpty();
		}

		@Test
		void mayGetRequestsInAPauseIfTheirLinkIsDisturbed() {
			send("a", RequestKind.READ);
			JudgeTests.this.judge.pauseRequested("a", RUNNER, 0, PAUSE_MILLIS);
			JudgeTests.this.judge.runnerLinkDisturbed(RUNNER, Long.MAX_VALUE);
			for (int i = 0; i <= Judge.MAX_REQUESTS_IN_PAUSE; i++) {
				arrive("b" + i, Judge.PAUSE_START_MILLIS + i);
			}
			assertThat(broken()).isEmpty();
		}

	}

	// Each guards against a soak that does not notice what it is there to find.
	@Nested
	class Placement {

		private static final String ELSEWHERE = "shop1-1";

		private static final long LIMIT = Judge.WITHDRAWAL_LIMIT_MILLIS;

		@BeforeEach
		void startRunners() {
			JudgeTests.this.judge.runnerStarted(RUNNER, "a");
			JudgeTests.this.judge.runnerStarted(ELSEWHERE, "b");
		}

		private void arrive(String id, String runner, long sentMillis) {
			send(id, RequestKind.READ, "/catalogue/" + id, sentMillis);
			JudgeTests.this.judge.requestArrived(id, runner, sentMillis);
		}

		private void publish(Map<RequestKind, Set<String>> routes, Map<String, Set<String>> accounts, long millis) {
			JudgeTests.this.judge.regionsPublished(routes, accounts);
			JudgeTests.this.judge.regionsAccepted(millis);
		}

		@Test
		void isFoundIfTheRouteDoesNotAllowTheRegion() {
			publish(Map.of(RequestKind.READ, Set.of("r"), RequestKind.SONG, Set.of("s")), Map.of(), 0);
			arrive("a", RUNNER, 10);
			assertThat(broken()).isEmpty();
			arrive("b", ELSEWHERE, 10);
			assertThat(broken()).containsExactly(Promise.RESIDENCY);
		}

		@Test
		void isFoundIfTheAccountDoesNotAllowTheRegionThatTheRouteAllows() {
			publish(Map.of(RequestKind.READ, Set.of("r")), Map.of("bar-1", Set.of("s")), 0);
			arrive("a", RUNNER, 10);
			assertThat(broken()).containsExactly(Promise.RESIDENCY);
		}

		@Test
		void isFoundLongAfterTheRegionsHaveChangedOnly() {
			publish(Map.of(), Map.of("bar-1", Set.of("s")), 0);
			publish(Map.of(), Map.of("bar-1", Set.of("r")), 1000);
			arrive("a", ELSEWHERE, 1000 + LIMIT);
			arrive("b", RUNNER, 1001);
			assertThat(broken()).isEmpty();
			arrive("c", ELSEWHERE, 1001 + LIMIT);
			assertThat(broken()).containsExactly(Promise.RESIDENCY);
		}

		@Test
		void isFoundInAnEvacuatedDataCentreAfterTheLimit() {
			JudgeTests.this.judge.dataCentreEvacuated("b", 1000);
			JudgeTests.this.judge.dataCentreEvacuated("b", 3000);
			arrive("a", ELSEWHERE, 1000 + LIMIT);
			arrive("b", RUNNER, 1001 + LIMIT);
			assertThat(broken()).isEmpty();
			arrive("c", ELSEWHERE, 1001 + LIMIT);
			assertThat(broken()).containsExactly(Promise.EVACUATION);
		}

		@Test
		void isAcceptedOnceTheDataCentreIsTakenBack() {
			JudgeTests.this.judge.dataCentreEvacuated("b", 1000);
			JudgeTests.this.judge.evacuationEnds("b");
			arrive("a", ELSEWHERE, 1001 + LIMIT);
			assertThat(broken()).isEmpty();
		}

		@Test
		void isFoundIfAColdRunnerGetsTooManyRequestsInAnySecond() {
			JudgeTests.this.judge.runnerCold(RUNNER, 10_000);
			for (int i = 0; i < ColdRunnerJudge.MAX_PER_SECOND; i++) {
				arrive("a" + i, RUNNER, 500);
			}
			arrive("b", RUNNER, 1500);
			arrive("c", ELSEWHERE, 500);
			assertThat(broken()).isEmpty();
			for (int i = 0; i < ColdRunnerJudge.MAX_PER_SECOND; i++) {
				arrive("d" + i, RUNNER, 2400);
			}
			assertThat(broken()).containsExactly(Promise.COLD_RUNNER);
		}

		@Test
		void isAcceptedAtAnyRateIfTheRunnerIsWarmOrItsLinkIsDisturbed() {
			JudgeTests.this.judge.runnerCold(RUNNER, 10_000);
			JudgeTests.this.judge.runnerCold(ELSEWHERE, 1000);
			JudgeTests.this.judge.runnerLinkDisturbed(RUNNER, Long.MAX_VALUE);
			for (int i = 0; i <= ColdRunnerJudge.MAX_PER_SECOND; i++) {
				arrive("a" + i, RUNNER, 500);
				arrive("b" + i, ELSEWHERE, 1000);
			}
			assertThat(broken()).isEmpty();
		}

	}

	@Nested
	class Urgency {

		private void respond(String key, int served) {
			for (int i = 0; i < UrgencyJudge.MIN_REQUESTS; i++) {
				SoakRequest request = new SoakRequest(key + "-" + i, RequestKind.READ, GATEWAY, "/catalogue/" + i,
						"body", key, 0, 0, DEADLINE_MILLIS);
				JudgeTests.this.judge.requestSent(request);
				if (i < served) {
					receive(request, 200, "s" + key + i, run(request, "s" + key + i).response(), true);
				}
				else {
					receiveRejection(request, 503);
				}
			}
		}

		@BeforeEach
		void setPriorities() {
			JudgeTests.this.judge.keyIssued("key2", "bar-1");
			JudgeTests.this.judge.keyIssued("key3", "bar-2");
			JudgeTests.this.judge.accountPriority("bar-1", 0);
			JudgeTests.this.judge.accountPriority("bar-2", 1);
		}

		private List<Promise> urgencyBreaches() {
			return broken().stream().filter(Promise.URGENCY::equals).toList();
		}

		@Test
		void isFoundIfTheMoreUrgentAccountIsServedLessOften() {
			respond("key2", 70);
			respond("key3", 95);
			assertThat(urgencyBreaches()).containsExactly(Promise.URGENCY);
		}

		@Test
		void isAcceptedIfTheLessUrgentAccountIsServedLessOftenOrByChance() {
			respond("key2", 90);
			respond("key3", 95);
			assertThat(urgencyBreaches()).isEmpty();
			JudgeTests.this.judge.accountPriority("bar-1", 2);
			respond("key2", 20);
			assertThat(urgencyBreaches()).isEmpty();
		}

	}

}
