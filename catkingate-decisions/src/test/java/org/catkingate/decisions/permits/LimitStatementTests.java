package org.catkingate.decisions.permits;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link LimitStatement}.
 */
class LimitStatementTests {

	private static LimitStatement limit(double perSecond, long requestedAt, long receivedAt) {
		return new LimitStatement(perSecond, requestedAt, receivedAt);
	}

	private static void assertMerged(LimitStatement first, LimitStatement second, LimitStatement expected) {
		assertThat(first.merge(second)).isEqualTo(expected);
		assertThat(second.merge(first)).isEqualTo(expected);
	}

	// Guards against a late response to an old request that ends a limit.
	@Test
	void theLowerLimitIsInForceIfTheOrderIsUnknown() {
		assertMerged(limit(2, 0, 100), limit(LimitStatement.NO_LIMIT, 50, 150), limit(2, 0, 100));
		assertMerged(limit(2, 0, 100), limit(1, 50, 150), limit(1, 50, 150));
	}

	@Test
	void aResponseToALaterRequestReplacesALowerLimit() {
		assertMerged(limit(2, 0, 100), limit(5, 100, 150), limit(5, 100, 150));
		assertMerged(limit(2, 0, 100), limit(LimitStatement.NO_LIMIT, 120, 150),
				limit(LimitStatement.NO_LIMIT, 120, 150));
	}

	// Guards against a limit that has ended and comes back with a report from before.
	@Test
	void anEarlierStatementIsNotInForce() {
		assertMerged(limit(2, 0, 100), limit(LimitStatement.NO_LIMIT, 200, 300),
				limit(LimitStatement.NO_LIMIT, 200, 300));
	}

	@Test
	void equalLimitsConfirmEachOther() {
		assertMerged(limit(2, 0, 100), limit(2, 50, 150), limit(2, 50, 150));
	}

	@Test
	void isNeverNegativeOrNoNumber() {
		assertThatIllegalArgumentException().isThrownBy(() -> limit(-1, 0, 0));
		assertThatIllegalArgumentException().isThrownBy(() -> limit(Double.NaN, 0, 0));
		assertThatIllegalArgumentException().isThrownBy(() -> limit(1, 1, 0));
	}

}
