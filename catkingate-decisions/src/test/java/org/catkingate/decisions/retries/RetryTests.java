package org.catkingate.decisions.retries;

import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Tests for {@link RetryPolicy} and {@link RetryBudget}.
 */
class RetryTests {

	private final RetryPolicy policy = RetryPolicy.defaults();

	private boolean mayRetry(boolean notRun, boolean idempotent, boolean responseStarted, int attempts,
			long remainingMillis) {
		return this.policy
			.mayRetry(new RetryPolicy.FailedAttempt(notRun, idempotent, responseStarted, attempts, remainingMillis));
	}

	@Property
	boolean retriesStayBelowTenPercentOfFirstAttempts(@ForAll @IntRange(min = 1000, max = 5000) int firstAttempts) {
		RetryBudget budget = RetryBudget.initial();
		int retries = 0;
		for (int i = 0; i < firstAttempts; i++) {
			budget = budget.afterFirstAttempt();
			while (budget.allowsRetry()) {
				budget = budget.afterRetry();
				retries++;
			}
		}
		return retries <= firstAttempts / 10;
	}

	@Nested
	class ThePolicy {

		@Test
		void retriesAttemptsThatDidNotRunOrAreIdempotent() {
			assertThat(mayRetry(true, false, false, 1, 1000)).isTrue();
			assertThat(mayRetry(false, true, false, 1, 1000)).isTrue();
		}

		@Test
		void neverRetriesANonIdempotentAttemptThatMayHaveRun() {
			assertThat(mayRetry(false, false, false, 1, 1000)).isFalse();
		}

		@Test
		void doesNotRetryAfterTheResponseStartedOrWithoutTimeOrAttemptsLeft() {
			assertThat(mayRetry(true, true, true, 1, 1000)).isFalse();
			assertThat(mayRetry(true, true, false, 1, 20)).isFalse();
			assertThat(mayRetry(true, true, false, 3, 1000)).isFalse();
		}

		@Test
		void keepsEachDelayWithinADoublingBound() {
			for (int i = 0; i < 100; i++) {
				assertThat(RetryTests.this.policy.delayMillis(1, new SplittableRandom(i))).isBetween(0L, 8L);
				assertThat(RetryTests.this.policy.delayMillis(2, new SplittableRandom(i))).isBetween(0L, 16L);
			}
		}

	}

	@Nested
	class TheBudget {

		@Test
		void cannotBeOverdrawn() {
			RetryBudget budget = RetryBudget.initial();
			while (budget.allowsRetry()) {
				budget = budget.afterRetry();
			}
			assertThatIllegalStateException().isThrownBy(budget::afterRetry)
				.withMessage("no retry is left in the budget");
		}

	}

}
