package org.catkingate.tests;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

import org.catkingate.tests.faults.Fault;
import org.catkingate.tests.faults.Judge;
import org.catkingate.tests.faults.TestFleet;
import org.catkingate.tests.faults.Workload;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * All promises on answers hold under each fault, under pairs of faults, and under a
 * random schedule of them. {@code -Dcatkingate.seed=} repeats a run,
 * {@code -Dcatkingate.pairs=} and {@code -Dcatkingate.requests=} make it longer.
 */
class FaultTests {

	private static final long SEED = Long.getLong("catkingate.seed", 20261203);

	private static final int PAIRS = Integer.getInteger("catkingate.pairs", 6);

	private static final int REQUESTS = Integer.getInteger("catkingate.requests", 1500);

	private static final int REQUESTS_PER_FAULT = 100;

	private static final int REQUESTS_BETWEEN_FAULTS = 100;

	private static final long PAUSE_MILLIS = 5;

	@TempDir
	private static Path directory;

	private static TestFleet fleet;

	@BeforeAll
	static void start() throws Exception {
		System.out.println("catkingate.seed=" + SEED);
		fleet = TestFleet.serving(directory, "--token-micros", "2000");
	}

	@AfterAll
	static void close() {
		if (fleet != null) {
			fleet.close();
		}
	}

	@ParameterizedTest
	@EnumSource
	void promisesHoldUnderEachFault(Fault fault) throws Exception {
		promisesHoldUnder(List.of(fault), SEED + fault.ordinal());
	}

	@ParameterizedTest
	@MethodSource("pairs")
	void promisesHoldUnderPairsOfFaults(List<Fault> pair, long seed) throws Exception {
		promisesHoldUnder(pair, seed);
	}

	static Stream<Arguments> pairs() {
		SplittableRandom random = new SplittableRandom(SEED);
		Fault[] all = Fault.values();
		return Stream
			.generate(() -> Arguments.of(List.of(all[random.nextInt(all.length)], all[random.nextInt(all.length)]),
					random.nextLong(1 << 30)))
			.limit(PAIRS);
	}

	private void promisesHoldUnder(List<Fault> faults, long seed) throws Exception {
		SplittableRandom random = new SplittableRandom(seed);
		Workload workload = new Workload(fleet.callers(), seed);
		workload.send(REQUESTS_PER_FAULT, PAUSE_MILLIS);
		List<Fault.Heal> heals = new ArrayList<>();
		for (Fault fault : faults) {
			heals.add(fault.inject(fleet, random));
		}
		workload.send(REQUESTS_PER_FAULT, PAUSE_MILLIS);
		for (Fault.Heal heal : heals) {
			heal.heal();
		}
		fleet.awaitServing();
		workload.send(REQUESTS_PER_FAULT, PAUSE_MILLIS);
		assertPromisesHeld(workload, faults + " seed " + seed);
	}

	@Test
	void promisesHoldUnderARandomSchedule() throws Exception {
		SplittableRandom random = new SplittableRandom(SEED);
		Workload workload = new Workload(fleet.callers(), SEED);
		List<Fault> schedule = new ArrayList<>();
		for (int sent = 0; sent < REQUESTS; sent += 2 * REQUESTS_BETWEEN_FAULTS) {
			Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
			schedule.add(fault);
			Fault.Heal heal = fault.inject(fleet, random);
			workload.send(REQUESTS_BETWEEN_FAULTS, PAUSE_MILLIS);
			heal.heal();
			workload.send(REQUESTS_BETWEEN_FAULTS, PAUSE_MILLIS);
		}
		fleet.awaitServing();
		assertPromisesHeld(workload, schedule + " seed " + SEED);
	}

	private void assertPromisesHeld(Workload workload, String what) throws Exception {
		List<String> breaches = Judge.breaches(fleet, workload);
		System.out.println(what + ": " + Judge.summary(workload));
		assertThat(breaches).as(what).isEmpty();
	}

}
