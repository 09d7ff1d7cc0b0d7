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

	private static final CallerResponse INCOMPLETE = new CallerResponse(200, Map.of(), "response", false);

	private final SoakRequest request = new SoakRequest("a", RequestKind.READ, GATEWAY, "/catalogue/a", "", "key1", 0);

	private final LossJudge judge = new LossJudge();

	private Optional<Promise> judge(CallerResponse response, long nowMillis) {
		return this.judge.judge(this.request, response, nowMillis).map(Breach::promise);
	}

	@Nested
	class ARequestThatReachedARunner {

		@BeforeEach
		void letTheRequestArrive() {
			LossJudgeTests.this.judge.requestArrived("a", RUNNER);
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
			assertThat(judge(CallerResponse.none(), SoakCallers.DEADLINE_MILLIS + 2000)).contains(Promise.ANSWERED);
		}

		@Test
		void isAcceptedIfItsDeadlineHasPassed() {
			assertThat(judge(CallerResponse.none(), SoakCallers.DEADLINE_MILLIS + 100)).isEmpty();
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

	}

}
