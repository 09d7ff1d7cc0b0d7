package org.catkingate.tests;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.catkingate.tests.faults.Fault;

/**
 * Tests that all guarantees on responses hold under each fault of connections, services
 * and publications.
 */
class FaultTests extends AbstractFaultTests {

	@ParameterizedTest
	@EnumSource(mode = EnumSource.Mode.MATCH_NONE, names = ProcessFaultTests.PROCESS_FAULTS)
	void guaranteesHoldUnderEachFault(Fault fault) throws Exception {
		assertGuaranteesHoldUnder(List.of(fault), SEED + fault.ordinal());
	}

}
