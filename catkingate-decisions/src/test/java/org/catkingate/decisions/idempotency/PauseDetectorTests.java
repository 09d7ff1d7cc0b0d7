package org.catkingate.decisions.idempotency;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PauseWatch}.
 */
class PauseDetectorTests {

	private final PauseWatch watch = PauseWatch.starting(1_500, 1_000, 0);

	@Test
	void doesNotSuspectInputWhileCallsAreRegular() {
		assertThat(this.watch.isSuspect(1_500)).isFalse();
		assertThat(this.watch.isSuspect(3_000)).isFalse();
	}

	@Test
	void suspectsInputAfterAGap() {
		assertThat(this.watch.isSuspect(1_501)).isTrue();
	}

	@Test
	void suspectsInputUntilTheSettlingTimeHasPassed() {
		this.watch.isSuspect(10_000);
		assertThat(this.watch.isSuspect(10_999)).isTrue();
		assertThat(this.watch.isSuspect(11_000)).isFalse();
	}

}
