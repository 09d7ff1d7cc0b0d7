package org.catkingate.decisions.idempotency;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PauseDetector}.
 */
class PauseDetectorTests {

	private final PauseDetector detector = PauseDetector.starting(1_500, 1_000, 0);

	@Test
	void doesNotSuspectInputWhileCallsAreRegular() {
		assertThat(this.detector.recordAndCheckSuspect(1_500)).isFalse();
		assertThat(this.detector.recordAndCheckSuspect(3_000)).isFalse();
	}

	@Test
	void suspectsInputAfterAGap() {
		assertThat(this.detector.recordAndCheckSuspect(1_501)).isTrue();
	}

	@Test
	void suspectsInputUntilTheSettlingTimeHasPassed() {
		this.detector.recordAndCheckSuspect(10_000);
		assertThat(this.detector.recordAndCheckSuspect(10_999)).isTrue();
		assertThat(this.detector.recordAndCheckSuspect(11_000)).isFalse();
	}

}
