package org.catkingate.soak;

import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that lost requests are found, and only those.
 */
class LossJudgeTests {

	private static final String GATEWAY = "gateway-0#1";

	private static final String RUNNER = "shop0-1";

	private static final long LAST_SIXTH_MILLIS = 6666;

	private static final long WORK_MILLIS = 5000;

	private static final long DEADLINE_MILLIS = 9000;

	private static final CallerResponse INCOMPLETE = new CallerResponse(200, Map.of(), "response", false);

	private final SoakRequest request = new SoakRequest("a", RequestKind.READ, GATEWAY, "/catalogue/a", "", "key1", 0,
			WORK_MILLIS, DEADLINE_MILLIS);

	private final LossJudge judge = new LossJudge();

	private Optional<Promise> judge(CallerResponse response, long nowMillis) {
		return this.judge.judge(this.request, response, nowMillis).map(Breach::promise);
	}

	@Nested
	class ARequestThatReachedARunner {

		@BeforeEach
		void letTheRequestArrive() {
			LossJudgeTests.this.judge.requestArrived("a", RUNNER, 10);
		}

		@Test
		void isFoundIfItEndsWithoutAWholeResponse() {
			assertThat(judge(INCOMPLETE, 20)).contains(Promise.ANSWERED);
		}

		@Test
		void isAcceptedWithAWholeResponse() {
			assertThat(judge(new CallerResponse(200, Map.of(), "response", true), 20)).isEmpty();
		}

		@Test
		void isFoundIfItIsNotAnsweredAfterItsDeadline() {
			assertThat(judge(CallerResponse.none(), DEADLINE_MILLIS + 2000)).contains(Promise.ANSWERED);
		}

		@Test
		void isAcceptedIfItsDeadlineHasPassed() {
			assertThat(judge(CallerResponse.none(), DEADLINE_MILLIS + 100)).isEmpty();
		}

		@Test
		void isAcceptedIfItsRunnerEnded() {
			LossJudgeTests.this.judge.runnerCrashed(RUNNER);
			assertThat(judge(INCOMPLETE, 20)).isEmpty();
		}

		@Test
		void isAcceptedIfItsGatewayIsKilled() {
			LossJudgeTests.this.judge.gatewayKilled(GATEWAY);
			assertThat(judge(INCOMPLETE, 20)).isEmpty();
		}

		// guards against findings about requests that no gateway could have finished
		@Test
		void isAcceptedIfItsRunnerIsAtWorkAtTheEndOfTheShutdown() {
			LossJudgeTests.this.judge.gatewayTerminated(GATEWAY, -LAST_SIXTH_MILLIS + WORK_MILLIS);
			assertThat(judge(INCOMPLETE, WORK_MILLIS)).isEmpty();
		}

		// guards against streams that are passed on late and cut at the end of a shutdown
		@Test
		void isFoundAtTheEndOfTheShutdownIfItWasSentLate() {
			LossJudgeTests.this.judge.gatewayTerminated(GATEWAY, -3001);
			assertThat(judge(INCOMPLETE, LAST_SIXTH_MILLIS - 3001)).contains(Promise.ANSWERED);
		}

		// guards against shutdowns that end before their time
		@Test
		void isFoundBeforeTheEndOfTheShutdown() {
			LossJudgeTests.this.judge.gatewayTerminated(GATEWAY, -LAST_SIXTH_MILLIS + WORK_MILLIS);
			assertThat(judge(INCOMPLETE, WORK_MILLIS - 1)).contains(Promise.ANSWERED);
		}

		@Test
		void isAcceptedIfItsRunnerSendsNoWholeResponse() {
			LossJudgeTests.this.judge.responseWithheld("a");
			assertThat(judge(INCOMPLETE, 20)).isEmpty();
		}

	}

	@Nested
	class ARequestThatReachedNoRunner {

		@Test
		void isAccepted() {
			assertThat(judge(INCOMPLETE, 20)).isEmpty();
		}

		// guards against requests that are read in a shutdown and dropped without a
		// response
		@Test
		void isFoundInAShutdownIfItsGatewayHadTimeToReadIt() {
			LossJudgeTests.this.judge.gatewayTerminated(GATEWAY, 0);
			LossJudgeTests.this.judge.requestCompletelySent("a", 10);
			assertThat(judge(CallerResponse.none(), 10 + LossJudge.UNREAD_MILLIS + 1)).contains(Promise.ANSWERED);
		}

		// guards against findings about requests that crossed the end of their connection
		@Test
		void isAcceptedInAShutdownIfItsGatewayMayNotHaveReadIt() {
			LossJudgeTests.this.judge.gatewayTerminated(GATEWAY, 0);
			LossJudgeTests.this.judge.requestCompletelySent("a", 10);
			assertThat(judge(CallerResponse.none(), 10 + LossJudge.UNREAD_MILLIS)).isEmpty();
		}

		// guards against findings about requests of which no gateway can know the whole
		@Test
		void isAcceptedInAShutdownIfItsBodyHasNotEnded() {
			LossJudgeTests.this.judge.gatewayTerminated(GATEWAY, 0);
			assertThat(judge(CallerResponse.none(), 5000)).isEmpty();
		}

	}

}
