package org.catkingate.decisions.limits;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Tests for {@link AccountUsage}, {@link AccountShare} and {@link SlotOccupancy}.
 */
class AccountUsageTests {

	private static final AccountShare SHARE = new AccountShare(10, 3, 100);

	@Test
	void rejectsRequestsOnlyBeyondTheConcurrencyLimit() {
		AccountUsage usage = AccountUsage.initial(SHARE, 0)
			.withRequestStarted()
			.withRequestStarted()
			.withRequestStarted();
		assertThat(usage.decide(SHARE).limit()).isEqualTo(LimitDecision.Limit.CONCURRENCY);
		assertThat(usage.withRequestEnded().decide(SHARE).isAllowed()).isTrue();
	}

	@Test
	void returnsTheWaitForTheNextRequest() {
		AccountUsage usage = AccountUsage.initial(SHARE, 0);
		for (int i = 0; i < 10; i++) {
			usage = usage.withRequestStarted().withRequestEnded();
		}
		assertThat(usage.decide(SHARE)).isEqualTo(LimitDecision.rejected(LimitDecision.Limit.REQUESTS, 100));
		assertThat(usage.refilled(SHARE, 100).decide(SHARE).isAllowed()).isTrue();
	}

	@Test
	void allowsOverdrawingTokensAndThenWaits() {
		AccountUsage usage = AccountUsage.initial(SHARE, 0).withTokensGenerated(300);
		assertThat(usage.decide(SHARE)).isEqualTo(LimitDecision.rejected(LimitDecision.Limit.TOKENS, 2000));
		assertThat(usage.refilled(SHARE, 2000).decide(SHARE).isAllowed()).isTrue();
	}

	@Test
	void cannotEndMoreRequestsThanWereStarted() {
		assertThatIllegalStateException().isThrownBy(() -> AccountUsage.initial(SHARE, 0).withRequestEnded())
			.withMessage("the account has no request in progress");
	}

	@Test
	void estimatesTheQueueingTimeFromTheRateAtWhichSlotsBecomeFree() {
		SlotOccupancy occupancy = SlotOccupancy.unknown().withObservation(100);
		assertThat(occupancy.waitMillis(0, 4)).isEqualTo(25);
		assertThat(occupancy.waitMillis(7, 4)).isEqualTo(200);
		assertThat(SlotOccupancy.unknown().waitMillis(100, 4)).isZero();
	}

	@Property
	boolean neverAllowsMoreThanBurstAndRate(@ForAll @IntRange(min = 1, max = 50) int rate,
			@ForAll @IntRange(min = 1, max = 40) int stepMillis) {
		AccountShare share = new AccountShare(rate, Integer.MAX_VALUE, 1);
		AccountUsage usage = AccountUsage.initial(share, 0);
		long allowed = 0;
		int steps = 500;
		for (int i = 0; i < steps; i++) {
			usage = usage.refilled(share, (long) i * stepMillis);
			if (usage.decide(share).isAllowed()) {
				usage = usage.withRequestStarted().withRequestEnded();
				allowed++;
			}
		}
		return allowed <= rate + rate * (double) steps * stepMillis / 1000 + 1;
	}

}
