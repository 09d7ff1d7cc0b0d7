package org.catkingate.tests;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;

import org.catkingate.tests.faults.Fault;
import org.catkingate.tests.faults.GuaranteeChecker;
import org.catkingate.tests.faults.ServingFleet;
import org.catkingate.tests.faults.Workload;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Base class of the tests that put a fleet of real processes under load and faults and
 * check the guarantees on its responses. {@code -Dcatkingate.seed=} repeats a run.
 */
abstract class AbstractFaultTests {

	static final long SEED = Long.getLong("catkingate.seed", 20261203);

	private static final int REQUESTS_PER_FAULT = 100;

	static final long PAUSE_MILLIS = 5;

	@TempDir
	private static Path directory;

	static ServingFleet fleet;

	@BeforeAll
	static void start() throws Exception {
		System.out.println("catkingate.seed=" + SEED);
		fleet = ServingFleet.start(directory, "--token-micros", "2000");
	}

	@AfterAll
	static void close() {
		if (fleet != null) {
			fleet.close();
		}
	}

	/**
	 * Sends requests before, during and after the faults and checks the guarantees on all
	 * of them.
	 */
	final void assertGuaranteesHoldUnder(List<Fault> faults, long seed) throws Exception {
		SplittableRandom random = new SplittableRandom(seed);
		Workload workload = new Workload(fleet.callers(), seed);
		workload.send(REQUESTS_PER_FAULT, PAUSE_MILLIS);
		List<Fault.Recovery> recoveries = new ArrayList<>();
		for (Fault fault : faults) {
			recoveries.add(fault.inject(fleet, random));
		}
		workload.send(REQUESTS_PER_FAULT, PAUSE_MILLIS);
		for (Fault.Recovery recovery : recoveries) {
			recovery.recover();
		}
		fleet.awaitServing();
		workload.send(REQUESTS_PER_FAULT, PAUSE_MILLIS);
		assertNoViolations(workload, faults + " seed " + seed);
	}

	final void assertNoViolations(Workload workload, String description) throws Exception {
		List<String> violations = GuaranteeChecker.findViolations(fleet, workload);
		System.out.println(description + ": " + GuaranteeChecker.countByOutcome(workload));
		assertThat(violations).as(description).isEmpty();
	}

}
