package org.catkingate.decisions.distribution;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Properties of {@link DistributionReducer} among agents whose messages are late, lost,
 * doubled or corrupt.
 */
class LossyExchangeTests {

	private static final long PATIENCE_MILLIS = 1_800_000;

	private final List<Member> members = List.of(Fixtures.member("a1", "dc-a", "a"), Fixtures.member("a2", "dc-a", "a"),
			Fixtures.member("a3", "dc-b", "a"), Fixtures.member("b1", "dc-c", "b"));

	private final Fixtures.Published published = Fixtures.published("1", 1, 2, 3, 4, 5, 6, 7, 8, 9, 10);

	@Property(tries = 100)
	void theWholeVersionComesToAll(@ForAll long seed, @ForAll @DoubleRange(max = 0.2) double lossShare) {
		LossyExchange exchange = new LossyExchange(seed, lossShare, this.members, this.published);
		assertThat(exchange.runUntilWhole(PATIENCE_MILLIS)).isTrue();
		assertThat(exchange.holdsOnlyVerifiedChunks()).isTrue();
	}

}
