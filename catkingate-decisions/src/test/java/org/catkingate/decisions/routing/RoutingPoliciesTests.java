package org.catkingate.decisions.routing;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.model.InstanceId;
import org.catkingate.model.RunnerId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RoutingPolicies}.
 */
class RoutingPoliciesTests {

	private static final int CAPACITY = 8;

	private final RoutingPolicy policy = RoutingPolicies.localThenLeastLoaded();

	private static Candidate candidate(int number, Distance distance) {
		RunnerKey key = new RunnerKey(new InstanceId("i" + number), new RunnerId("r"));
		return new Candidate(key, Hashes.hash(key.toString()), distance, 0, 0);
	}

	private static Candidates candidates(int near, int far) {
		Map<Distance, List<Candidate>> byDistance = new EnumMap<>(Distance.class);
		for (int i = 0; i < near + far; i++) {
			Distance distance = (i < near) ? Distance.DATA_CENTRE : Distance.ELSEWHERE;
			byDistance.computeIfAbsent(distance, (key) -> new ArrayList<>()).add(candidate(i, distance));
		}
		return new Candidates(byDistance);
	}

	private static RouteQuery query(Candidates candidates, Set<RunnerKey> excluded, long affinity,
			Map<RunnerKey, ObservedLoad> loads, long seed) {
		return new RouteQuery(candidates, excluded, affinity, CAPACITY, 0,
				(key) -> loads.getOrDefault(key, ObservedLoad.none()), new SplittableRandom(seed));
	}

	private static Map<RunnerKey, ObservedLoad> loads(int count, int inFlight) {
		Map<RunnerKey, ObservedLoad> loads = new HashMap<>();
		for (int i = 0; i < count; i++) {
			loads.put(candidate(i, Distance.DATA_CENTRE).key(), new ObservedLoad(inFlight, 0, 0));
		}
		return loads;
	}

	@Property
	boolean noPolicyChoosesAnExcludedRunner(@ForAll @IntRange(min = 1, max = 12) int near,
			@ForAll @IntRange(max = 6) int far, @ForAll long seed, @ForAll long affinity) {
		Candidates candidates = candidates(near, far);
		Set<RunnerKey> excluded = Set.of(candidate(0, Distance.DATA_CENTRE).key());
		return List.of(this.policy, RoutingPolicies.randomChoice(), RoutingPolicies.roundRobin())
			.stream()
			.map((routingPolicy) -> routingPolicy.choose(query(candidates, excluded, affinity, Map.of(), seed)))
			.allMatch(
					(chosen) -> chosen.map((candidate) -> !excluded.contains(candidate.key())).orElse(near + far == 1));
	}

	@Property
	boolean removingARunnerMovesOnlyItsOwnPrefixes(@ForAll long affinity, @ForAll @IntRange(max = 9) int removed) {
		Candidates candidates = candidates(10, 0);
		RunnerKey removedKey = candidate(removed, Distance.DATA_CENTRE).key();
		RunnerKey before = choose(candidates, Set.of(), affinity | 1);
		RunnerKey after = choose(candidates, Set.of(removedKey), affinity | 1);
		return before.equals(removedKey) || after.equals(before);
	}

	private RunnerKey choose(Candidates candidates, Set<RunnerKey> excluded, long affinity) {
		return this.policy.choose(query(candidates, excluded, affinity, Map.of(), 1)).orElseThrow().key();
	}

	@Nested
	class LocalThenLeastLoaded {

		@Test
		void staysInTheDataCentreWhileASlotIsFreeThere() {
			Candidate chosen = RoutingPoliciesTests.this.policy
				.choose(query(candidates(2, 5), Set.of(), 0, loads(2, CAPACITY - 1), 1))
				.orElseThrow();
			assertThat(chosen.distance()).isEqualTo(Distance.DATA_CENTRE);
		}

		@Test
		void leavesTheDataCentreWhenNoSlotIsFreeThere() {
			Candidate chosen = RoutingPoliciesTests.this.policy
				.choose(query(candidates(2, 5), Set.of(), 0, loads(2, CAPACITY), 1))
				.orElseThrow();
			assertThat(chosen.distance()).isEqualTo(Distance.ELSEWHERE);
		}

		@Test
		void keepsAPrefixAtItsRunnerUntilTheLoadThereIsFarAboveTheMean() {
			Candidates candidates = candidates(10, 0);
			Map<RunnerKey, ObservedLoad> loads = loads(10, 1);
			RunnerKey home = choose(candidates, loads, 1);
			for (long seed = 2; seed < 20; seed++) {
				assertThat(choose(candidates, loads, seed)).isEqualTo(home);
			}
			loads.put(home, new ObservedLoad(6, 0, 0));
			assertThat(choose(candidates, loads, 1)).isNotEqualTo(home);
		}

		private RunnerKey choose(Candidates candidates, Map<RunnerKey, ObservedLoad> loads, long seed) {
			return RoutingPoliciesTests.this.policy.choose(query(candidates, Set.of(), 42, loads, seed))
				.orElseThrow()
				.key();
		}

		@Test
		void avoidsASlowRunnerEvenIfItIsIdle() {
			Candidates candidates = candidates(2, 0);
			Map<RunnerKey, ObservedLoad> loads = loads(2, 1);
			loads.put(candidate(0, Distance.DATA_CENTRE).key(), new ObservedLoad(0, 0, 1000));
			for (long seed = 0; seed < 20; seed++) {
				Optional<Candidate> chosen = RoutingPoliciesTests.this.policy
					.choose(query(candidates, Set.of(), 0, loads, seed));
				assertThat(chosen.orElseThrow().key().instance().value()).isEqualTo("i1");
			}
		}

		@Test
		void returnsNoRunnerWhenAllAreExcluded() {
			Candidates candidates = candidates(1, 0);
			Set<RunnerKey> all = Set.of(candidate(0, Distance.DATA_CENTRE).key());
			assertThat(RoutingPoliciesTests.this.policy.choose(query(candidates, all, 0, Map.of(), 1))).isEmpty();
		}

		@Test
		void choosesTheApprovedSequenceOfRunners() {
			StringBuilder sequence = new StringBuilder();
			Map<RunnerKey, ObservedLoad> loads = new HashMap<>();
			for (int i = 0; i < 40; i++) {
				long affinity = (i % 4 == 0) ? 42 : 0;
				Candidate chosen = RoutingPoliciesTests.this.policy
					.choose(query(candidates(3, 2), Set.of(), affinity, loads, i))
					.orElseThrow();
				loads.merge(chosen.key(), new ObservedLoad(1, 0, 0),
						(previous, added) -> new ObservedLoad(previous.inFlight() + 1, 0, 0));
				sequence.append((affinity != 0) ? "prefix " : "       ").append(chosen.key()).append('\n');
			}
			Approvals.verify(sequence.toString());
		}

	}

}
