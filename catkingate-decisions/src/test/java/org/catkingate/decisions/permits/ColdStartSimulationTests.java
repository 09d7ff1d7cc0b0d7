package org.catkingate.decisions.permits;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.catkingate.decisions.permits.LimitSimulation.Disruption;
import org.catkingate.decisions.permits.LimitSimulation.Scenario;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the requests to cold runners in simulated fleets, whose gateways all start at
 * once and one of which joins later. The property {@code catkingate.cold-seeds} sets the
 * number of seeds of each row.
 */
class ColdStartSimulationTests {

	private static final int SEEDS = Integer.getInteger("catkingate.cold-seeds", 3);

	private static final double ALLOWANCE = 44;

	private static final long END_MILLIS = 18_000;

	// Guards against gateways that together send more than a cold runner may get while
	// they start, join, restart, freeze, lose messages and cannot reach each other. Also
	// guards against an allowance that is left unused although there is demand, which a
	// gateway that stands still or has not joined does not have.
	@ParameterizedTest
	@CsvSource({ "4, NONE", "16, NONE", "64, NONE", "4, RESTART", "16, RESTART", "64, RESTART", "4, FREEZE",
			"16, FREEZE", "64, FREEZE", "4, CUT", "16, CUT", "64, CUT", "4, HALF_CUT", "16, HALF_CUT", "64, HALF_CUT" })
	void allGatewaysKeepToTheAllowanceTogether(int gateways, Disruption disruption) {
		Scenario scenario = new Scenario(gateways, 2, LimitStatement.NO_LIMIT, 6 * ALLOWANCE, disruption, 0, END_MILLIS,
				ALLOWANCE);
		double used = 0;
		int most = 0;
		int firstSeed = SEEDS * (3 * disruption.ordinal() + Integer.numberOfTrailingZeros(gateways) / 2);
		for (int seed = firstSeed; seed < firstSeed + SEEDS; seed++) {
			LimitSimulation simulation = LimitSimulation.run(seed, scenario);
			int max = simulation.maxInOneSecond();
			assertThat(max).as("seed %d", seed).isLessThanOrEqualTo((int) ALLOWANCE);
			most = Math.max(most, max);
			used += simulation.arrived(LimitSimulation.COLD_FROM_MILLIS, END_MILLIS)
					/ (ALLOWANCE * (END_MILLIS - LimitSimulation.COLD_FROM_MILLIS) / 1000) / simulation.inUse() / SEEDS;
		}
		System.out.println(gateways + " gateways, " + disruption + ": used " + used + ", most in a second " + most);
		assertThat(used).isGreaterThanOrEqualTo(0.6);
	}

}
