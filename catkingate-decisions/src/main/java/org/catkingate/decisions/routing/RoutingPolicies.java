package org.catkingate.decisions.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The available {@link RoutingPolicy} implementations, all safe for use by any thread.
 * All are stateless except round robin, which keeps a counter.
 *
 * @since 0.1
 */
public final class RoutingPolicies {

	/**
	 * The maximum load of a runner that is chosen for its prefixes, relative to the mean
	 * load.
	 */
	private static final double AFFINITY_LOAD_FACTOR = 1.25;

	/**
	 * The number of ranked runners tried for a prefix before the choice is made by load
	 * alone.
	 */
	private static final int MAX_AFFINITY_RANKS = 3;

	private RoutingPolicies() {
	}

	/**
	 * Returns the default policy. At the nearest distance first, it takes the
	 * first-ranked runner for the request's prefix whose load is within bounds, or else
	 * the cheaper of two runners chosen at random. If that runner has no free slot, it
	 * goes on to the next distance. If no distance yields a runner with a free slot, it
	 * takes the least loaded runner of all.
	 * @return the policy, never null
	 */
	public static RoutingPolicy localThenLeastLoaded() {
		return RoutingPolicies::chooseNearest;
	}

	/**
	 * Returns a baseline policy that chooses any candidate with equal probability.
	 * @return the policy, never null
	 */
	public static RoutingPolicy randomChoice() {
		return (query) -> {
			List<Candidate> allowed = allowed(query);
			return (allowed.isEmpty()) ? Optional.empty()
					: Optional.of(allowed.get(query.random().nextInt(allowed.size())));
		};
	}

	/**
	 * Returns a baseline policy that chooses the candidates in turn.
	 * @return the policy, never null
	 */
	public static RoutingPolicy roundRobin() {
		AtomicInteger next = new AtomicInteger();
		return (query) -> {
			List<Candidate> allowed = allowed(query);
			return (allowed.isEmpty()) ? Optional.empty()
					: Optional.of(allowed.get(Math.floorMod(next.getAndIncrement(), allowed.size())));
		};
	}

	private static List<Candidate> allowed(RouteQuery query) {
		List<Candidate> allowed = new ArrayList<>();
		for (Distance distance : Distance.values()) {
			query.candidates().at(distance).stream().filter(query::allows).forEach(allowed::add);
		}
		return allowed;
	}

	private static Optional<Candidate> chooseNearest(RouteQuery query) {
		for (Distance distance : Distance.values()) {
			List<Candidate> candidates = query.candidates().at(distance);
			Optional<Candidate> chosen = (query.affinity() != 0) ? chooseForPrefix(candidates, query)
					: Optional.empty();
			if (chosen.isEmpty()) {
				chosen = cheaperOfTwoRandom(candidates, query);
			}
			if (chosen.isPresent() && query.load(chosen.get()) < query.capacity()) {
				return chosen;
			}
		}
		return leastLoaded(query);
	}

	private static Optional<Candidate> leastLoaded(RouteQuery query) {
		return allowed(query).stream().min(Comparator.comparingDouble(query::load));
	}

	private static Optional<Candidate> chooseForPrefix(List<Candidate> candidates, RouteQuery query) {
		double bound = loadBound(candidates, query);
		List<Candidate> ranked = new ArrayList<>(candidates);
		Comparator<Candidate> byRank = Comparator
			.comparingLong((Candidate candidate) -> Hashes.combine(query.affinity(), candidate.keyHash()));
		ranked.sort(byRank);
		return ranked.stream()
			.limit(MAX_AFFINITY_RANKS)
			.filter(query::allows)
			.filter((candidate) -> query.load(candidate) + 1 <= bound)
			.findFirst();
	}

	private static double loadBound(List<Candidate> candidates, RouteQuery query) {
		// includes the request to be routed
		double total = 1;
		for (Candidate candidate : candidates) {
			total += query.load(candidate);
		}
		double mean = total / Math.max(1, candidates.size());
		return Math.min(query.capacity(), Math.ceil(AFFINITY_LOAD_FACTOR * mean));
	}

	private static Optional<Candidate> cheaperOfTwoRandom(List<Candidate> candidates, RouteQuery query) {
		List<Candidate> allowed = candidates.stream().filter(query::allows).toList();
		if (allowed.isEmpty()) {
			return Optional.empty();
		}
		int first = query.random().nextInt(allowed.size());
		if (allowed.size() == 1) {
			return Optional.of(allowed.get(first));
		}
		int second = (first + 1 + query.random().nextInt(allowed.size() - 1)) % allowed.size();
		return Optional.of(cheaper(allowed.get(first), allowed.get(second), query));
	}

	private static Candidate cheaper(Candidate first, Candidate second, RouteQuery query) {
		return (query.cost(first) <= query.cost(second)) ? first : second;
	}

}
