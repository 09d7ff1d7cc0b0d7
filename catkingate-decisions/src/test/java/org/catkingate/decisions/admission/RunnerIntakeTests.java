package org.catkingate.decisions.admission;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RunnerIntake}.
 */
class RunnerIntakeTests {

	private static final RunnerIntake OPEN = RunnerIntake.open();

	@Test
	void withoutAStatementRequestsAreAccepted() {
		assertThat(OPEN.accepts(-5)).isTrue();
		assertThat(OPEN.pauseLeftMillis(1000)).isZero();
	}

	@Test
	void aRunnerThatLeavesNeverAcceptsAgain() {
		assertThat(OPEN.withLeaving().accepts(Long.MAX_VALUE)).isFalse();
		assertThat(OPEN.withLeaving().withPause(100, 1000).accepts(2000)).isFalse();
		assertThat(OPEN.withPause(100, 1000).withLeaving().accepts(2000)).isFalse();
	}

	@Test
	void aPauseEndsAfterItsTime() {
		RunnerIntake paused = OPEN.withPause(250, 1000);
		assertThat(paused.accepts(1249)).isFalse();
		assertThat(paused.pauseLeftMillis(1249)).isEqualTo(1);
		assertThat(paused.accepts(1250)).isTrue();
	}

	// Guards against a runner that gets requests although its first pause is not over.
	@Test
	void aLaterPauseExtendsTheFirstOrChangesNothing() {
		RunnerIntake paused = OPEN.withPause(1000, 1000);
		assertThat(paused.withPause(100, 1500)).isEqualTo(paused);
		assertThat(paused.withPause(0, 1500)).isEqualTo(paused);
		assertThat(paused.withPause(-100, 1500)).isEqualTo(paused);
		assertThat(paused.withPause(900, 1500).pausedUntilMillis()).isEqualTo(2400);
	}

	@Test
	void zeroAndNegativeTimesAreNoPause() {
		assertThat(OPEN.withPause(0, 1000)).isEqualTo(OPEN);
		assertThat(OPEN.withPause(Long.MIN_VALUE, -1000)).isEqualTo(OPEN);
	}

	// Guards against a wrong value that takes a runner out of service for good.
	@Test
	void aPauseIsLimited() {
		RunnerIntake paused = OPEN.withPause(Long.MAX_VALUE, 1000);
		assertThat(paused.pauseLeftMillis(1000)).isEqualTo(RunnerIntake.MAX_PAUSE_MILLIS);
		assertThat(paused.accepts(1000 + RunnerIntake.MAX_PAUSE_MILLIS)).isTrue();
	}

}
