package org.catkingate.decisions.routing;

import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * One question to a {@link RoutingPolicy}.
 *
 * @param candidates the runners that may take the request
 * @param excluded runners that it must not go to, since they have had it already
 * @param affinity the hash of the request's prefix, 0 for none
 * @param capacity how many requests one runner runs at a time
 * @param nowMillis the monotonic time, in milliseconds
 * @param ownLoads what this process has seen of a runner
 * @param random a seeded generator
 * @since 0.1
 */
public record RouteQuery(Candidates candidates, Set<RunnerKey> excluded, long affinity, int capacity, long nowMillis,
		Function<RunnerKey, OwnLoad> ownLoads, RandomGenerator random) {

	/** The age at which a reported load counts half, in milliseconds. */
	private static final double REPORT_HALF_LIFE_MILLIS = 1000;

	/** Differences below this count as none, in milliseconds. */
	private static final double MIN_RESPONSE_START_MILLIS = 20;

	public RouteQuery {
		Objects.requireNonNull(candidates, "candidates must not be null");
		excluded = Set.copyOf(excluded);
	}

	/**
	 * Estimates the load of a runner: what this process has there itself, and of the
	 * reported rest the less the older the report is.
	 * @param candidate the runner
	 * @return the load in requests
	 */
	public double load(Candidate candidate) {
		OwnLoad own = this.ownLoads.apply(candidate.key());
		long ageMillis = Math.max(0, this.nowMillis - candidate.reportedAtMillis());
		double weight = Math.pow(0.5, ageMillis / REPORT_HALF_LIFE_MILLIS);
		int others = Math.max(0, candidate.reportedLoad() - own.inFlight());
		return own.inFlight() + weight * others + own.penalty();
	}

	/**
	 * Estimates what one more request costs at a runner: its load with the request, times
	 * how long it has taken lately. A runner that is slow but not busy is thus left to
	 * rest, and tried again as its record fades.
	 * @param candidate the runner
	 * @return the cost, for comparison only
	 */
	public double cost(Candidate candidate) {
		double headMillis = this.ownLoads.apply(candidate.key()).responseStartMillis();
		return (load(candidate) + 1) * Math.max(MIN_RESPONSE_START_MILLIS, headMillis);
	}

	/**
	 * Tells whether the request may go to a runner.
	 * @param candidate the runner
	 * @return whether it is not excluded
	 */
	public boolean allows(Candidate candidate) {
		return !this.excluded.contains(candidate.key());
	}

}
