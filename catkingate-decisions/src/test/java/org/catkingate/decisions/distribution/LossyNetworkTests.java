package org.catkingate.decisions.distribution;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for properties of {@link DistributionReducer} among agents whose messages are
 * delayed, lost, duplicated or corrupted.
 */
class LossyNetworkTests {

	private static final long TIMEOUT_MILLIS = 1_800_000;

	private final List<InstanceLocation> members = List.of(Fixtures.member("a1", "dc-a", "a"),
			Fixtures.member("a2", "dc-a", "a"), Fixtures.member("a3", "dc-b", "a"), Fixtures.member("b1", "dc-c", "b"));

	private final Fixtures.Published published = Fixtures.published("1", 1, 2, 3, 4, 5, 6, 7, 8, 9, 10);

	@Property(tries = 100)
	void theCompleteVersionReachesEveryAgent(@ForAll long seed, @ForAll @DoubleRange(max = 0.2) double lossRate) {
		LossyNetwork network = new LossyNetwork(seed, lossRate, this.members, this.published);
		assertThat(network.runUntilComplete(TIMEOUT_MILLIS)).isTrue();
		assertThat(network.holdsOnlyVerifiedChunks()).isTrue();
	}

}
