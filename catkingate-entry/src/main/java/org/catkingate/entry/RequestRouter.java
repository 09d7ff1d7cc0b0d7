package org.catkingate.entry;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.decisions.retries.RetryPolicy;
import org.catkingate.decisions.routing.Candidate;
import org.catkingate.decisions.routing.Candidates;
import org.catkingate.decisions.routing.Hashes;
import org.catkingate.decisions.routing.Location;
import org.catkingate.decisions.routing.RouteQuery;
import org.catkingate.decisions.routing.RoutingPolicy;
import org.catkingate.decisions.routing.RunnerKey;
import org.catkingate.model.published.RoutingRule;
import org.catkingate.runtime.MonotonicClock;

/**
 * A router that chooses a runner for each request by the routing policy and the current
 * snapshot of the fleet. The candidates of a rule are computed once for each snapshot.
 * Safe for use by any thread.
 */
final class RequestRouter {

	private final AtomicLong randomChoices = new AtomicLong();

	private final RoutingPolicy policy;

	private final Location ownLocation;

	private final RunnerLoadTracker runnerLoads;

	private final MonotonicClock clock;

	private final long seed;

	private volatile CandidateCache candidateCache = new CandidateCache(FleetSnapshot.empty(),
			new ConcurrentHashMap<>());

	RequestRouter(RoutingPolicy policy, Location ownLocation, RunnerLoadTracker runnerLoads, MonotonicClock clock,
			long seed) {
		this.policy = policy;
		this.ownLocation = ownLocation;
		this.runnerLoads = runnerLoads;
		this.clock = clock;
		this.seed = seed;
	}

	Optional<RunnerKey> choose(FleetSnapshot fleet, AdmittedRequest request, Set<RunnerKey> excluded) {
		Candidates candidates = candidates(fleet, request.rule());
		RouteQuery query = new RouteQuery(candidates, excluded, PromptAffinity.of(request),
				request.service().concurrentRequests(), this.clock.millis(), this.runnerLoads::loadOf, random());
		return this.policy.choose(query).map(Candidate::key);
	}

	boolean hasCandidates(FleetSnapshot fleet, RoutingRule rule) {
		return !candidates(fleet, rule).isEmpty();
	}

	long retryDelayMillis(RetryPolicy retries, int attempts) {
		return retries.delayMillis(attempts, random());
	}

	private SplittableRandom random() {
		return new SplittableRandom(Hashes.combine(this.seed, this.randomChoices.incrementAndGet()));
	}

	private Candidates candidates(FleetSnapshot fleet, RoutingRule rule) {
		CandidateCache current = this.candidateCache;
		if (current.fleet() != fleet) {
			current = new CandidateCache(fleet, new ConcurrentHashMap<>());
			this.candidateCache = current;
		}
		return current.byRule()
			.computeIfAbsent(rule.name(), (name) -> Candidates.select(fleet, rule, this.ownLocation));
	}

	/**
	 * The candidates computed for one snapshot.
	 *
	 * @param fleet the snapshot
	 * @param byRule the candidates by the name of the rule
	 */
	private record CandidateCache(FleetSnapshot fleet, Map<String, Candidates> byRule) {

	}

}
