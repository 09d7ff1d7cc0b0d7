package org.catkingate.tests;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.catkingate.tests.faults.Fault;

/**
 * Tests that all guarantees on responses hold under random pairs of faults.
 * {@code -Dcatkingate.pairs=} sets the number of pairs.
 */
class FaultPairTests extends AbstractFaultTests {

	private static final int PAIR_COUNT = Integer.getInteger("catkingate.pairs", 6);

	@ParameterizedTest
	@MethodSource("pairs")
	void guaranteesHoldUnderPairsOfFaults(List<Fault> pair, long seed) throws Exception {
		assertGuaranteesHoldUnder(pair, seed);
	}

	static Stream<Arguments> pairs() {
		SplittableRandom random = new SplittableRandom(SEED);
		Fault[] all = Fault.values();
		return Stream
			.generate(() -> Arguments.of(List.of(all[random.nextInt(all.length)], all[random.nextInt(all.length)]),
					random.nextLong(1 << 30)))
			.limit(PAIR_COUNT);
	}

}
