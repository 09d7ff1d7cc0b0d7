package org.catkingate.decisions.permits;

import java.util.Random;
import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import org.catkingate.decisions.permits.LimitSimulation.Disruption;
import org.catkingate.decisions.permits.LimitSimulation.Scenario;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the limits of runners in simulated fleets. The property
 * {@code catkingate.limit-seeds} sets the number of seeds.
 */
class LimitSimulationTests {

	private static final int SEEDS = Integer.getInteger("catkingate.limit-seeds", 12);

	private static final int ISSUERS = 3;

	/** The time whose requests may be sent at once after a pause. */
	private static final long BURST_MILLIS = 250;

	private static final long SETTLED_MILLIS = LimitSimulation.LIMIT_FROM_MILLIS + 3000;

	private static final long END_MILLIS = 28_000;

	private static LongStream seeds() {
		return LongStream.range(0, SEEDS);
	}

	// Guards against gateways that together exceed a limit, in the mean or in a burst,
	// the more of them there are (LIMIT).
	@ParameterizedTest
	@CsvSource({ "4, 0.2", "4, 1.3", "4, 20", "16, 0.2", "16, 1.3", "16, 50", "64, 0.2", "64, 1.3", "64, 50" })
	void allGatewaysKeepToTheLimitTogether(int gateways, double limit) {
		Scenario scenario = new Scenario(gateways, 2, limit, 8 * limit + 60, Disruption.NONE, 0, END_MILLIS);
		double arrived = 0;
		for (long seed : seeds().toArray()) {
			LimitSimulation simulation = LimitSimulation.run(seed, scenario);
			assertThat(simulation.excess()).as("seed %d", seed).isLessThanOrEqualTo(0);
			long window = LimitSimulation.WINDOW_MILLIS;
			assertThat(simulation.maxArrived(SETTLED_MILLIS, window)).as("seed %d", seed)
				.isLessThanOrEqualTo((long) Math.ceil(limit * (window + BURST_MILLIS) / 1000) + ISSUERS);
			arrived += simulation.arrived(SETTLED_MILLIS, END_MILLIS) / SEEDS;
		}
		double allowed = limit * (END_MILLIS - SETTLED_MILLIS) / 1000;
		System.out.println(gateways + " gateways, limit " + limit + ": used " + arrived / allowed);
		assertThat(arrived / allowed).isBetween(0.8, 1.05);
	}

	// Guards against gateways that exceed a limit while they disagree on who lives, after
	// a restart without memory, or when held up messages arrive together (LIMIT).
	@ParameterizedTest
	@EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
	void theLimitIsKeptWhileGatewaysRestartFreezeAndLoseEachOther(Disruption disruption) {
		double most = 0;
		for (long seed : seeds().toArray()) {
			Random random = new Random(seed);
			int gateways = 4 << (2 * random.nextInt(3));
			double limit = 0.2 * Math.pow(250, random.nextDouble());
			Scenario scenario = new Scenario(gateways, 1 + random.nextInt(3), limit, 6 * limit + 60, disruption, 0,
					END_MILLIS);
			LimitSimulation simulation = LimitSimulation.run(seed, scenario);
			assertThat(simulation.excess()).as("seed %d, %s", seed, scenario).isLessThanOrEqualTo(0);
			double used = simulation.arrived(SETTLED_MILLIS, END_MILLIS)
					/ (limit * (END_MILLIS - SETTLED_MILLIS) / 1000);
			most = Math.max(most, used);
		}
		System.out.println(disruption + ": the most that was used in a run " + most);
	}

	// Guards against calls that are rejected although a runner takes more requests than
	// there are.
	@ParameterizedTest
	@CsvSource({ "4, 8, 4", "16, 8, 4", "64, 30, 15" })
	void demandBelowTheLimitIsServed(int gateways, double limit, double callsPerSecond) {
		Scenario scenario = new Scenario(gateways, 1, limit, callsPerSecond, Disruption.NONE, 0, END_MILLIS);
		double arrived = 0;
		for (long seed : seeds().toArray()) {
			arrived += LimitSimulation.run(seed, scenario).arrived(SETTLED_MILLIS, END_MILLIS) / SEEDS;
		}
		double served = arrived / (callsPerSecond * (END_MILLIS - SETTLED_MILLIS) / 1000);
		System.out.println(gateways + " gateways, limit " + limit + ", " + callsPerSecond + " calls: served " + served);
		assertThat(served).isGreaterThan(0.9);
	}

	// Guards against a limit that gateways keep after the runner has stopped stating it,
	// also one of 0.
	@ParameterizedTest
	@CsvSource({ "4, 1.3, 15000", "16, 1.3, 15000", "64, 1.3, 15000", "16, 0, 60000" })
	void aLimitEndsWithItsStatement(int gateways, double limit, long withinMillis) {
		long end = 15_000 + withinMillis + 5000;
		Scenario scenario = new Scenario(gateways, 1, limit, 60, Disruption.NONE, withinMillis + 5000, end);
		for (long seed : seeds().toArray()) {
			LimitSimulation simulation = LimitSimulation.run(seed, scenario);
			assertThat(simulation.arrived(end - 5000, end)).as("seed %d", seed).isGreaterThan(0.8 * 60 * 5);
		}
	}

}
