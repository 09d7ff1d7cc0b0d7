package org.catkingate.tests;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import org.catkingate.tests.faults.Fault;
import org.catkingate.tests.faults.Workload;

/**
 * Tests that all guarantees on responses hold under a random schedule of faults.
 * {@code -Dcatkingate.requests=} sets the number of requests.
 */
class FaultScheduleTests extends AbstractFaultTests {

	private static final int REQUESTS = Integer.getInteger("catkingate.requests", 1500);

	private static final int REQUESTS_BETWEEN_FAULTS = 100;

	@Test
	void guaranteesHoldUnderARandomSchedule() throws Exception {
		SplittableRandom random = new SplittableRandom(SEED);
		Workload workload = new Workload(fleet.callers(), SEED);
		List<Fault> schedule = new ArrayList<>();
		for (int sent = 0; sent < REQUESTS; sent += 2 * REQUESTS_BETWEEN_FAULTS) {
			Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
			schedule.add(fault);
			Fault.Recovery recovery = fault.inject(fleet, random);
			workload.send(REQUESTS_BETWEEN_FAULTS, PAUSE_MILLIS);
			recovery.recover();
			workload.send(REQUESTS_BETWEEN_FAULTS, PAUSE_MILLIS);
		}
		fleet.awaitServing();
		assertNoViolations(workload, schedule + " seed " + SEED);
	}

}
