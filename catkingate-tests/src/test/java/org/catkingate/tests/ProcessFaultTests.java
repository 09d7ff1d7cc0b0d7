package org.catkingate.tests;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.catkingate.tests.faults.Fault;

/**
 * Tests that all guarantees on responses hold under each fault that freezes, shuts down
 * or kills a process; {@link FaultTests} covers the other faults.
 */
class ProcessFaultTests extends AbstractFaultTests {

	/** Pattern of the faults of this class; {@link FaultTests} covers the rest. */
	static final String PROCESS_FAULTS = "(FROZEN|KILLED|LEAVING|DYING).*";

	@ParameterizedTest
	@EnumSource(mode = EnumSource.Mode.MATCH_ANY, names = PROCESS_FAULTS)
	void guaranteesHoldUnderEachFault(Fault fault) throws Exception {
		assertGuaranteesHoldUnder(List.of(fault), SEED + fault.ordinal());
	}

}
