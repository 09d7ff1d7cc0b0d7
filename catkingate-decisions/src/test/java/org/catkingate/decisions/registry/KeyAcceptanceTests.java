package org.catkingate.decisions.registry;

import java.util.OptionalLong;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link KeyAcceptance}.
 */
class KeyAcceptanceTests {

	private final KeyAcceptance acceptance = new KeyAcceptance(4750);

	@Test
	void acceptsKeysUpToTheMaximumAge() {
		assertThat(this.acceptance.canAccept(4750)).isTrue();
		assertThat(this.acceptance.canAccept(4751)).isFalse();
		assertThat(this.acceptance.canAccept(Long.MAX_VALUE)).isFalse();
	}

	/**
	 * The load pattern: the registry turns some gateways away for seconds and serves the
	 * others, so that a share of the callers is rejected on a day with enough capacity.
	 */
	@Nested
	class ACallerRejectedAtOneGateway {

		// Guards against callers that wait a second for a response that another gateway
		// could start at once.
		@Test
		void comesBackWithinASmallPartOfItsGoal() {
			assertThat(KeyAcceptanceTests.this.acceptance.retryAfterMillis(OptionalLong.empty(), 1))
				.isLessThanOrEqualTo(40);
			assertThat(KeyAcceptanceTests.this.acceptance.retryAfterMillis(OptionalLong.of(1500), 0)).isPositive()
				.isLessThanOrEqualTo(40);
		}

		// Guards against callers that spend their retry during an outage of the registry.
		@Test
		void waitsLongerIfNoGatewayCanCheckKeys() {
			assertThat(KeyAcceptanceTests.this.acceptance.retryAfterMillis(OptionalLong.of(4900), 0.5)).isEqualTo(1500);
		}

	}

}
