package org.catkingate.decisions.idempotency;

import java.util.Map;
import java.util.TreeMap;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the call of a caller's key runs at most once under random faults. A failure
 * prints its seed.
 */
class AtMostOnceTests {

	private static final int TRIES = 150;

	private static final Map<String, Integer> totals = new TreeMap<>();

	@Property(tries = TRIES, shrinking = ShrinkingMode.OFF)
	void noKeyRunsTwiceWhileInstancesAreReplacedAndAMajorityIsExpected(@ForAll long seed) {
		check(seed, KeySimulation.ListBehavior.LAGGING, 3);
	}

	@Property(tries = TRIES, shrinking = ShrinkingMode.OFF)
	void noKeyRunsTwiceWhileInstancesAreReplacedAndNoNumberIsExpected(@ForAll long seed) {
		check(seed, KeySimulation.ListBehavior.LAGGING, 0);
	}

	@Property(tries = TRIES, shrinking = ShrinkingMode.OFF)
	void noKeyRunsTwiceWhileTheListIsArbitraryAndAMajorityIsExpected(@ForAll long seed) {
		check(seed, KeySimulation.ListBehavior.ARBITRARY, 3);
	}

	@Example
	void noKeyRunsTwiceIfAnInstanceNameIsReusedImmediately() {
		check(-647, KeySimulation.ListBehavior.LAGGING, 3);
		check(-109795, KeySimulation.ListBehavior.LAGGING, 0);
	}

	private static void check(long seed, KeySimulation.ListBehavior lists, int expectedRunners) {
		KeySimulation simulation = new KeySimulation(seed, lists, expectedRunners);
		simulation.run();
		count(lists + "/" + expectedRunners + " RUNS", simulation.runs.size());
		simulation.verdicts.forEach((reason, number) -> count(lists + "/" + expectedRunners + " " + reason, number));
		assertThat(simulation.runs).as("runs by key, seed %d", seed)
			.allSatisfy((key, runs) -> assertThat(runs).isOne());
	}

	private static void count(String label, int number) {
		totals.merge(label, number, Integer::sum);
	}

	@AfterContainer
	static void simulationsRanCalls() {
		System.out.println(totals);
		assertThat(totals.keySet()).anyMatch((name) -> name.endsWith("RUNS"));
	}

}
