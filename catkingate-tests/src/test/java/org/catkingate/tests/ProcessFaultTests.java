package org.catkingate.tests;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.catkingate.tests.faults.Fault;

/**
 * All promises on answers hold under each fault that freezes, ends or kills a process;
 * the others are in {@link FaultTests}.
 */
class ProcessFaultTests extends AbstractFaultTests {

	/** The faults of this class; those of the other are the rest. */
	static final String PROCESS_FAULTS = "(FROZEN|KILLED|LEAVING|DYING).*";

	@ParameterizedTest
	@EnumSource(mode = EnumSource.Mode.MATCH_ANY, names = PROCESS_FAULTS)
	void guaranteesHoldUnderEachFault(Fault fault) throws Exception {
		assertGuaranteesHoldUnder(List.of(fault), SEED + fault.ordinal());
	}

}
