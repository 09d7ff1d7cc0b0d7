package org.catkingate.soak;

import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the schedule of faults.
 */
class FaultScheduleTests {

	private static final long LONG_DURATION_MILLIS = 1_000_000;

	@Test
	void isTheSameForTheSameSeed() {
		assertThat(FaultSchedule.of(SoakProfile.ALL_FAULTS, 5, 20_000))
			.isEqualTo(FaultSchedule.of(SoakProfile.ALL_FAULTS, 5, 20_000))
			.isNotEqualTo(FaultSchedule.of(SoakProfile.ALL_FAULTS, 6, 20_000));
	}

	@Test
	void containsEachFault() {
		Set<SoakFault> faults = FaultSchedule.of(SoakProfile.ALL_FAULTS, 5, LONG_DURATION_MILLIS)
			.steps()
			.stream()
			.map(FaultSchedule.Step::fault)
			.collect(Collectors.toSet());
		assertThat(faults).containsExactlyInAnyOrder(SoakFault.values());
	}

	@Test
	void overlaps() {
		FaultSchedule schedule = FaultSchedule.of(SoakProfile.ALL_FAULTS, 5, 20_000);
		FaultSchedule.Step first = schedule.steps().get(0);
		assertThat(schedule.steps())
			.anyMatch((step) -> step != first && step.startMillis() < first.startMillis() + first.durationMillis());
	}

}
