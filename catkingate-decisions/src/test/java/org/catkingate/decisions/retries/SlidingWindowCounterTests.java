package org.catkingate.decisions.retries;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SlidingWindowCounter} and {@link RetryAllowance}.
 */
class SlidingWindowCounterTests {

	@Test
	void countsOnlyEventsInTheWindow() {
		SlidingWindowCounter counter = SlidingWindowCounter.create(10_000);
		counter.add(500);
		counter.add(9_000);
		assertThat(counter.count(10_000)).isEqualTo(2);
		assertThat(counter.count(12_000)).isEqualTo(1);
		assertThat(counter.count(40_000)).isZero();
	}

	@Test
	void neverDropsEventsThatAreStillInTheWindow() {
		SlidingWindowCounter counter = SlidingWindowCounter.create(10_000);
		counter.add(999);
		assertThat(counter.count(10_998)).isEqualTo(1);
	}

	@Test
	void allGatewaysTogetherStayWithinTheAllowance() {
		RetryAllowance allowance = new RetryAllowance(0.2, 100, 10_000);
		int gateways = 6;
		long retries = 0;
		for (int gateway = 0; gateway < gateways; gateway++) {
			long own = 0;
			while (allowance.allows(300, own, gateways)) {
				own++;
			}
			retries += own;
		}
		assertThat(retries).isLessThanOrEqualTo((long) (0.2 * 300 * gateways) + 100);
	}

}
