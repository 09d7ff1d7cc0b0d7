package org.catkingate.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The faults of a soak. They come in series, and they overlap. The same seed gives the
 * same schedule. Immutable.
 *
 * @param steps the faults in order of their start
 */
record FaultSchedule(List<Step> steps) {

	private static final int MAX_SERIES = 4;

	private static final int SERIES_PERCENT = 25;

	private static final int MIN_DURATION_MILLIS = 100;

	private static final int MAX_DURATION_MILLIS = 3000;

	/** Longer than a gateway may use its knowledge of keys. */
	private static final int LONG_DURATION_MILLIS = 6500;

	private static final int LONG_DURATION_PERCENT = 10;

	FaultSchedule {
		steps = List.copyOf(steps);
	}

	static FaultSchedule of(SoakProfile profile, long seed, long durationMillis) {
		SplittableRandom random = new SplittableRandom(seed);
		List<Step> steps = new ArrayList<>();
		long startMillis = random.nextInt(profile.maxGapMillis());
		while (startMillis < durationMillis) {
			SoakFault fault = pickFault(profile, random.nextLong());
			int repetitions = (random.nextInt(100) < SERIES_PERCENT) ? 1 + random.nextInt(MAX_SERIES) : 1;
			for (int i = 0; i < repetitions; i++) {
				long length = (random.nextInt(100) < LONG_DURATION_PERCENT) ? LONG_DURATION_MILLIS
						: random.nextInt(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS);
				steps.add(new Step(startMillis + i * MIN_DURATION_MILLIS, fault, length, random.nextLong()));
			}
			startMillis += random.nextInt(profile.maxGapMillis());
		}
		return new FaultSchedule(steps);
	}

	/*
	 * Each fault has its own random number, so that a new fault changes only the steps
	 * for which it is picked, and old seeds stay of use.
	 */
	private static SoakFault pickFault(SoakProfile profile, long stepSeed) {
		return profile.faults()
			.stream()
			.max(Comparator
				.comparingLong((fault) -> new SplittableRandom(stepSeed ^ fault.name().hashCode()).nextLong()))
			.orElseThrow();
	}

	/**
	 * One fault.
	 *
	 * @param startMillis when it starts, from the start of the soak
	 * @param fault the fault
	 * @param durationMillis the time until the recovery
	 * @param seed decides on its target
	 */
	record Step(long startMillis, SoakFault fault, long durationMillis, long seed) {

	}

}
