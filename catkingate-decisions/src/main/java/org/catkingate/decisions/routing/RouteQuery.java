package org.catkingate.decisions.routing;

import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * The input of one decision of a {@link RoutingPolicy}.
 *
 * @param candidates the runners that may serve the request
 * @param excluded runners that the request must not be sent to, since it was sent to them
 * before
 * @param affinity the hash of the request's prompt prefix, 0 for none
 * @param capacity the maximum number of requests that one runner runs at the same time
 * @param nowMillis the monotonic time, in milliseconds
 * @param observedLoads returns the load of a runner as observed by this process
 * @param random a seeded generator
 * @since 0.1
 */
public record RouteQuery(Candidates candidates, Set<RunnerKey> excluded, long affinity, int capacity, long nowMillis,
		Function<RunnerKey, ObservedLoad> observedLoads, RandomGenerator random) {

	/** The half-life of the weight of a reported load, in milliseconds. */
	private static final double REPORT_HALF_LIFE_MILLIS = 1000;

	/**
	 * The lower bound of the time until a response starts, in milliseconds. Differences
	 * between shorter times are ignored.
	 */
	private static final double MIN_RESPONSE_START_MILLIS = 20;

	public RouteQuery {
		Objects.requireNonNull(candidates, "candidates must not be null");
		excluded = Set.copyOf(excluded);
	}

	/**
	 * Estimates the load of a runner: the requests of this process, plus those of other
	 * processes by the last report, with a weight that decays with the age of the report,
	 * plus the penalty for failures.
	 * @param candidate the runner
	 * @return the load as a number of requests
	 */
	public double load(Candidate candidate) {
		ObservedLoad own = this.observedLoads.apply(candidate.key());
		long ageMillis = Math.max(0, this.nowMillis - candidate.reportedAtMillis());
		double weight = Math.pow(0.5, ageMillis / REPORT_HALF_LIFE_MILLIS);
		int others = Math.max(0, candidate.reportedLoad() - own.inFlight());
		return own.inFlight() + weight * others + own.penalty();
	}

	/**
	 * Estimates the cost of one more request at a runner: its load including the request,
	 * multiplied by its recent time until a response started. A runner that is slow but
	 * idle is thus avoided, and used again when the measured time has decayed.
	 * @param candidate the runner
	 * @return the cost, only meaningful in comparison with that of another runner
	 */
	public double cost(Candidate candidate) {
		double responseStartMillis = this.observedLoads.apply(candidate.key()).responseStartMillis();
		return (load(candidate) + 1) * Math.max(MIN_RESPONSE_START_MILLIS, responseStartMillis);
	}

	/**
	 * Returns whether the request may be sent to a runner.
	 * @param candidate the runner
	 * @return true unless the runner is excluded
	 */
	public boolean allows(Candidate candidate) {
		return !this.excluded.contains(candidate.key());
	}

}
