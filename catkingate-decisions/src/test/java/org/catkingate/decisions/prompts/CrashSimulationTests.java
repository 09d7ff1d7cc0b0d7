package org.catkingate.decisions.prompts;

import java.util.IntSummaryStatistics;
import java.util.List;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PromptQuarantine} in simulated fleets.
 */
class CrashSimulationTests {

	private static final int SEEDS = Integer.getInteger("simulation.seeds", 100);

	/**
	 * The number of further sends that the platform tolerates after the fifth crash, or
	 * after the third one of a whole request.
	 */
	private static final int MAX_LATE_SENDS = 3;

	private static final int FIFTH = 4;

	private static final int THIRD = 2;

	private static void play(String name, CrashSimulation.Scenario scenario) {
		TreeMap<Integer, Integer> crashes = new TreeMap<>();
		IntSummaryStatistics rejected = new IntSummaryStatistics();
		IntSummaryStatistics notRetried = new IntSummaryStatistics();
		IntSummaryStatistics retried = new IntSummaryStatistics();
		long sound = 0;
		int worstSeed = 0;
		for (int seed = 0; seed < SEEDS; seed++) {
			CrashSimulation run = CrashSimulation.run(seed, scenario);
			int count = run.guilt.values().stream().mapToInt((part) -> part.crashes().size()).max().orElse(0);
			crashes.merge(count, 1, Integer::sum);
			worstSeed = (count == crashes.lastKey()) ? seed : worstSeed;
			rejected.accept(run.soundQuarantined);
			notRetried.accept(run.soundNotRetried);
			retried.accept(run.soundRetried);
			sound += run.soundRequests;
			assertWithinRules(name + ", seed " + seed, run);
		}
		System.out.println(name + ": seeds 0.." + (SEEDS - 1) + " crashes " + crashes + " (worst seed " + worstSeed
				+ "), sound requests " + sound + " rejected " + rejected.getSum() + " (max " + rejected.getMax()
				+ ") retried " + retried.getSum() + " not retried " + notRetried.getSum());
	}

	private static void assertWithinRules(String name, CrashSimulation run) {
		run.guilt.forEach((part, guilt) -> {
			int decisive = part.startsWith("#") ? THIRD : FIFTH;
			if (guilt.crashes().size() > decisive) {
				assertThat(late(guilt.sends(), guilt.crashes().get(decisive), 1)).as(name + ", " + part)
					.isLessThanOrEqualTo(MAX_LATE_SENDS);
			}
		});
		long decisive = run.guilt.values()
			.stream()
			.map(CrashSimulation.Guilt::crashes)
			.filter((crashes) -> !crashes.isEmpty())
			.mapToLong((crashes) -> crashes.get(Math.min(FIFTH, crashes.size() - 1)))
			.max()
			.orElse(0);
		long rejected = late(run.soundRejections, decisive, 2);
		if (run.isConnected()) {
			assertThat(rejected).as(name).isZero();
		}
		else {
			// the platform holds only connected gateways to a bound
			assertThat(rejected).as(name).isLessThanOrEqualTo(late(run.soundArrivals, decisive, 2) / 2);
		}
	}

	private static long late(List<Long> times, long afterMillis, int contacts) {
		return times.stream().filter((at) -> at > afterMillis + contacts * CrashSimulation.CONTACT_MILLIS).count();
	}

	@Test
	void onePartIsQuarantined() {
		play("one part", CrashSimulation.Scenario.of(4));
	}

	@Test
	void onePartThatComesOftenIsQuarantined() {
		play("one part, often", CrashSimulation.Scenario.of(10));
	}

	@Test
	void onePartThatComesRarelyIsQuarantined() {
		play("one part, rarely", CrashSimulation.Scenario.of(1));
	}

	@Test
	void twoPartsAreQuarantined() {
		play("two parts", CrashSimulation.Scenario.of(4).withGuiltyParts(2));
	}

	@Test
	void onePartIsQuarantinedWhileRunnersCrashOfAnotherCause() {
		play("one part, 15 % crash too", CrashSimulation.Scenario.of(4).withOtherCrashes(0.15));
	}

	@Test
	void onePartIsQuarantinedWhileAllRunnersCrash() {
		play("one part, all crash too", CrashSimulation.Scenario.of(4).withOtherCrashes(1));
	}

	@Test
	void crashesOfAnotherCauseQuarantineNothing() {
		play("15 % crash, no part", CrashSimulation.Scenario.of(0).withOtherCrashes(0.15));
	}

	// Guards against a request that comes again and crashes one runner after the other,
	// although all parts of its prompt are sound (BUDGET).
	@ParameterizedTest
	@ValueSource(ints = { 1, 4, 10 })
	void aWholeRequestIsQuarantined(int perSecond) {
		play("whole request, " + perSecond + "/s", CrashSimulation.Scenario.ofWholeRequests(perSecond));
	}

	@Test
	void aWholeRequestIsQuarantinedWhileRunnersCrashOfAnotherCause() {
		play("whole request, 15 % crash too", CrashSimulation.Scenario.ofWholeRequests(4).withOtherCrashes(0.15));
		play("whole request, all crash too", CrashSimulation.Scenario.ofWholeRequests(4).withOtherCrashes(1));
	}

	@Test
	void aWholeRequestIsQuarantinedOnBothSidesOfAPartition() {
		play("whole request, half cut off", CrashSimulation.Scenario.ofWholeRequests(4).withHalfCutOff());
	}

	// Guards against gateways that start the count of ends anew after a restart, and
	// against
	// many gateways that each end runners before they have heard of the others (BUDGET).
	@Test
	void aWholeRequestIsQuarantinedByManyGatewaysThatRestart() {
		play("whole request, 16 gateways", CrashSimulation.Scenario.ofWholeRequests(4).withGateways(16));
		play("whole request, 4 gateways that restart", CrashSimulation.Scenario.ofWholeRequests(4).withRestarts(1500));
		play("plain request, 16 gateways that restart",
				CrashSimulation.Scenario.ofPlainRequests(4).withGateways(16).withRestarts(500));
	}

	// Guards against requests without a prompt, of which nothing is learned (BUDGET).
	@ParameterizedTest
	@ValueSource(ints = { 1, 4, 10 })
	void aRequestWithoutAPromptIsQuarantined(int perSecond) {
		play("plain request, " + perSecond + "/s", CrashSimulation.Scenario.ofPlainRequests(perSecond));
		play("two plain requests, " + perSecond + "/s",
				CrashSimulation.Scenario.ofPlainRequests(perSecond).withGuiltyParts(2));
	}

	@Test
	void aRequestWithoutAPromptIsQuarantinedWhileRunnersCrashOfAnotherCause() {
		play("plain request, all crash too", CrashSimulation.Scenario.ofPlainRequests(4).withOtherCrashes(1));
		play("all crash, no plain request", CrashSimulation.Scenario.ofPlainRequests(0).withOtherCrashes(1));
	}

	@Test
	void onePartIsQuarantinedOnBothSidesOfAPartition() {
		play("one part, half cut off", CrashSimulation.Scenario.of(4).withHalfCutOff());
	}

}
