package org.catkingate.decisions.admission;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.catkingate.decisions.competition.CompetingLevels;
import org.catkingate.model.registry.EngineProfile;

/**
 * The available {@link AdmissionPolicy} implementations. Stateless and safe for use by
 * any thread.
 *
 * @since 0.1
 */
public final class AdmissionPolicies {

	/** The minimum retry delay sent to callers, in milliseconds. */
	private static final long MIN_RETRY_AFTER_MILLIS = 150;

	/** The maximum retry delay sent to callers before jitter, in milliseconds. */
	private static final long MAX_RETRY_AFTER_MILLIS = 1500;

	/**
	 * The retry delay sent to callers when no runner can serve the call, in milliseconds.
	 */
	private static final long NO_RUNNER_RETRY_AFTER_MILLIS = 500;

	/**
	 * The time from the moment at which most runners of a service are without weights
	 * until they have fetched and loaded them, in milliseconds.
	 */
	private static final long EXPECTED_LOAD_MILLIS = 1500;

	/**
	 * The time beyond the expected one for which calls wait, so that those that have
	 * waited can be sent one after the other, in milliseconds.
	 */
	private static final long LOAD_WAIT_MARGIN_MILLIS = 800;

	/**
	 * The time that must be left for the response to a call that has waited, in
	 * milliseconds.
	 */
	private static final long MIN_SERVING_MILLIS = 1000;

	/**
	 * The time in which a response starts at a runner that has just loaded, in
	 * milliseconds: a connection, a prompt and half a pass.
	 */
	private static final long MIN_START_MILLIS = 300;

	/**
	 * The minimum retry delay sent to callers whom another process can serve at once, in
	 * milliseconds.
	 */
	private static final long MIN_RETRY_ELSEWHERE_MILLIS = 50;

	/** The part of its remaining time for which a caller waits before it returns. */
	private static final double HONOURED_PART = 1.0 / 3;

	/**
	 * The time in which a gateway that starts beside others receives the configuration,
	 * in milliseconds.
	 */
	private static final long LONE_START_MILLIS = 150;

	/**
	 * The time over which callers return to a service whose runners have just loaded, in
	 * milliseconds.
	 */
	private static final long LOAD_RETRY_SPREAD_MILLIS = 800;

	/**
	 * The minimum time over which callers return to a service whose runners had all asked
	 * for a pause, in milliseconds.
	 */
	private static final long MIN_PAUSE_RETRY_SPREAD_MILLIS = 800;

	/**
	 * The maximum time over which they return, in milliseconds.
	 */
	private static final long MAX_PAUSE_RETRY_SPREAD_MILLIS = 2000;

	/**
	 * The maximum number of calls to a service that wait for its runners to load, which
	 * bounds the memory for them.
	 */
	private static final int MAX_CALLS_WAITING_FOR_LOADING = 500;

	/**
	 * The time for which a call waits for a permit, well below the usual goals, in
	 * milliseconds.
	 */
	private static final long PERMIT_WAIT_MILLIS = 250;

	/**
	 * The maximum retry delay sent to callers of a service whose runners have all stated
	 * limits before jitter, in milliseconds.
	 */
	private static final long MAX_LIMITED_RETRY_AFTER_MILLIS = 2000;

	/**
	 * The time for which a call waits for a place that on-time calls leave free, in
	 * milliseconds. It is the longest retry delay: instead of being told to come back
	 * within this time, which many callers do only once, the call is held for as long.
	 */
	private static final long LATE_WAIT_MILLIS = MAX_RETRY_AFTER_MILLIS;

	private static final double MILLIS_PER_SECOND = 1000;

	private AdmissionPolicies() {
	}

	/**
	 * Returns when a caller should come back to a gateway that knows no configuration
	 * yet. One that starts beside others receives it from them at once. If it does not,
	 * all machines have probably failed, and the runners must load weights as well.
	 * @param elapsedMillis the time since the gateway started, in milliseconds
	 * @param draw a random number from 0 to 1
	 * @return the delay in milliseconds
	 */
	public static long startupRetryAfterMillis(long elapsedMillis, double draw) {
		return (elapsedMillis < LONE_START_MILLIS) ? (long) (LONE_START_MILLIS * (1 + draw))
				: EXPECTED_LOAD_MILLIS + (long) (draw * LOAD_RETRY_SPREAD_MILLIS);
	}

	/**
	 * Returns when a caller should come back that is rejected for a reason that concerns
	 * this process only. The next attempt reaches another process.
	 * @param draw a random number from 0 to 1
	 * @return the delay in milliseconds
	 */
	public static long retryElsewhereAfterMillis(double draw) {
		return (long) (MIN_RETRY_ELSEWHERE_MILLIS * (1 + draw));
	}

	/**
	 * Decides on a call to a service most of whose runners may not serve and load
	 * weights. It waits if they are expected to serve well before its deadline; many
	 * callers may retry only once, and have done so when the machines failed. If the end
	 * of loading is not reported and it takes longer than expected, calls are rejected
	 * with a retry delay.
	 * @param elapsedMillis the time since the service was first seen in this state, in
	 * milliseconds
	 * @param readyInMillis the time until the first runner is reported to serve, in
	 * milliseconds; empty if it is unknown
	 * @param releasesPerSecond the waiting calls that this gateway can send per second
	 * once the runners serve
	 * @param call the requirements of the call
	 * @param draw a random number from 0 to 1
	 * @return the decision, never null
	 */
	public static AdmissionDecision whileLoading(long elapsedMillis, OptionalLong readyInMillis,
			double releasesPerSecond, CallRequirements call, double draw) {
		long untilLoadedMillis = readyInMillis.orElse(EXPECTED_LOAD_MILLIS - elapsedMillis);
		long patienceMillis = call.patienceMillis() - MIN_START_MILLIS;
		long helpfulMillis = Math.min(call.remainingMillis() - MIN_SERVING_MILLIS, patienceMillis);
		// reported times end before the deadline; assumed ones may be wrong by any time
		long maxWaitMillis = readyInMillis.isPresent() ? helpfulMillis : untilLoadedMillis + LOAD_WAIT_MARGIN_MILLIS;
		boolean helps = readyInMillis.isPresent() ? untilLoadedMillis < helpfulMillis
				: untilLoadedMillis > 0 && maxWaitMillis <= helpfulMillis;
		long retryAfterMillis = retryAfterMillis(untilLoadedMillis, patienceMillis, call.remainingMillis(), draw);
		if (helps) {
			long onTimeMillis = (long) (CompetingLevels.GOAL_FRACTION * call.goalMillis()) - call.elapsedMillis();
			return new AdmissionDecision.Wait(AdmissionDecision.Wait.Cause.LOADING,
					Math.max(0, Math.min(onTimeMillis, maxWaitMillis)), maxWaitMillis,
					readyInMillis.isPresent()
							? maxCallsWaitingForLoading(releasesPerSecond, helpfulMillis - untilLoadedMillis)
							: MAX_CALLS_WAITING_FOR_LOADING,
					new AdmissionDecision.Reject(readyInMillis.isPresent() ? retryAfterMillis : maxWaitMillis,
							Double.NaN, "its runners have not loaded weights in time"));
		}
		return new AdmissionDecision.Reject(retryAfterMillis, Double.NaN,
				"most runners that serve this are loading weights");
	}

	/*
	 * The calls that can be sent between the moment at which runners serve and the one
	 * from which sending this call does not help any more. More would wait in vain.
	 */
	private static int maxCallsWaitingForLoading(double releasesPerSecond, long millis) {
		double calls = Math.ceil(releasesPerSecond * millis / MILLIS_PER_SECOND);
		return (int) Math.max(1, Math.min(MAX_CALLS_WAITING_FOR_LOADING, calls));
	}

	/*
	 * Callers wait for part of their remaining time only, and return once. One that
	 * returns before the runners serve waits here for the rest, as far as it is patient;
	 * such callers return at different times.
	 */
	private static long retryAfterMillis(long untilLoadedMillis, long patienceMillis, long remainingMillis,
			double draw) {
		long latestMillis = (long) (HONOURED_PART * remainingMillis);
		long earliestMillis = untilLoadedMillis - patienceMillis + LOAD_WAIT_MARGIN_MILLIS;
		boolean inTime = untilLoadedMillis + MIN_SERVING_MILLIS <= remainingMillis;
		if (inTime && untilLoadedMillis > latestMillis && earliestMillis < latestMillis) {
			long fromMillis = Math.max(MIN_RETRY_AFTER_MILLIS, earliestMillis);
			return fromMillis + (long) (draw * Math.max(0, latestMillis - fromMillis));
		}
		return Math.max(MIN_RETRY_AFTER_MILLIS, untilLoadedMillis) + (long) (draw * LOAD_RETRY_SPREAD_MILLIS);
	}

	/**
	 * Decides on a call to a service all of whose runners have asked for a pause. It is
	 * rejected, with a retry delay after which the first of them takes requests again. A
	 * longer pause rejects more callers, so they return over a longer time.
	 * @param shortestPauseMillis the time until then, in milliseconds
	 * @param draw a random number from 0 to 1
	 * @return the decision, never null
	 */
	public static AdmissionDecision whilePaused(long shortestPauseMillis, double draw) {
		long spreadMillis = Math.max(MIN_PAUSE_RETRY_SPREAD_MILLIS,
				Math.min(MAX_PAUSE_RETRY_SPREAD_MILLIS, shortestPauseMillis / 2));
		return new AdmissionDecision.Reject(
				Math.max(MIN_RETRY_AFTER_MILLIS, shortestPauseMillis) + (long) (draw * spreadMillis), Double.NaN,
				"all runners that serve this have asked for a pause");
	}

	/**
	 * Decides on a call to a service all of whose runners have stated limits that are
	 * used up for now. As many calls wait as permits are expected in the meantime; the
	 * others are rejected, with a retry delay that follows from the limits.
	 * @param callsPerSecond the calls a second that this gateway may expect to send to
	 * these runners
	 * @param remainingMillis the time left until the call's deadline, in milliseconds
	 * @param draw a random number from 0 to 1
	 * @return the decision, never null
	 */
	public static AdmissionDecision whileLimited(double callsPerSecond, long remainingMillis, double draw) {
		return whileLimited("the runners that serve this have stated limits, which are used up for now", callsPerSecond,
				remainingMillis, draw);
	}

	/**
	 * Decides on a call to a service whose runners are all cold and have got as many
	 * requests as cold runners may get, in the same way as for limits that are used up.
	 * @param callsPerSecond the calls a second that this gateway may send to these
	 * runners
	 * @param remainingMillis the time left until the call's deadline, in milliseconds
	 * @param draw a random number from 0 to 1
	 * @return the decision, never null
	 */
	public static AdmissionDecision whileCold(double callsPerSecond, long remainingMillis, double draw) {
		return whileLimited("the runners that serve this have just started and get few requests for now",
				callsPerSecond, remainingMillis, draw);
	}

	private static AdmissionDecision whileLimited(String reason, double callsPerSecond, long remainingMillis,
			double draw) {
		double intervalMillis = Math.max(MIN_RETRY_AFTER_MILLIS,
				Math.min(MAX_LIMITED_RETRY_AFTER_MILLIS, MILLIS_PER_SECOND / callsPerSecond));
		AdmissionDecision.Reject rejection = new AdmissionDecision.Reject((long) (intervalMillis * (1 + draw)),
				Double.NaN, reason);
		int maxCalls = (int) Math.ceil(callsPerSecond * PERMIT_WAIT_MILLIS / MILLIS_PER_SECOND);
		return (remainingMillis > PERMIT_WAIT_MILLIS) ? new AdmissionDecision.Wait(AdmissionDecision.Wait.Cause.PERMIT,
				PERMIT_WAIT_MILLIS, PERMIT_WAIT_MILLIS, Math.max(1, maxCalls), rejection) : rejection;
	}

	/**
	 * Decides on a call that cannot wait for a place, since the calls ahead of it are not
	 * expected to be sent in time.
	 * @param otherwise the rejection without regard to these calls
	 * @param aheadMillis the time until they are expected to be sent, in milliseconds
	 * @return the rejection, with a retry delay after which they have been sent or given
	 * up
	 */
	public static AdmissionDecision.Reject whileQueueIsFull(AdmissionDecision.Reject otherwise, long aheadMillis) {
		return new AdmissionDecision.Reject(
				Math.max(otherwise.retryAfterMillis(), Math.min(MAX_RETRY_AFTER_MILLIS, aheadMillis)),
				otherwise.predictedMillis(), otherwise.reason());
	}

	/**
	 * Decides on a call that no runner may receive for a reason that does not end soon.
	 * @param reason the reason, which is sent to the caller
	 * @param draw a random number from 0 to 1
	 * @return the decision, never null
	 */
	public static AdmissionDecision whileExcluded(String reason, double draw) {
		return new AdmissionDecision.Reject(jitteredRetryAfterMillis(NO_RUNNER_RETRY_AFTER_MILLIS, draw), Double.NaN,
				reason);
	}

	/**
	 * Returns a policy that sends a call to the runner with the earliest predicted first
	 * event. A call whose response is not predicted to start within its goal is rejected
	 * immediately, with a retry delay after which a slot is predicted to be free. Runners
	 * where the response is not likely to start within their remaining time are excluded.
	 * @return the policy, never null
	 */
	public static AdmissionPolicy earliestFirstEvent() {
		return AdmissionPolicies::chooseEarliest;
	}

	private static AdmissionDecision chooseEarliest(List<RunnerOption> runners, CallDescription call,
			Optional<EngineProfile> engine, double draw) {
		List<RunnerOption> leavingSlots = leavingSlots(runners, call.requirements(), engine);
		Optional<RunnerChoice> choice = RunnerChoice.earliest(leavingSlots, call, engine, draw);
		boolean leavesSlots = choice.isPresent();
		if (!leavesSlots && leavingSlots.size() < runners.size()) {
			choice = RunnerChoice.earliest(runners, call, engine, draw);
		}
		if (choice.isEmpty()) {
			return new AdmissionDecision.Reject(jitteredRetryAfterMillis(NO_RUNNER_RETRY_AFTER_MILLIS, draw),
					Double.NaN, runners.isEmpty() ? "no runner is left that serves this"
							: "the answer would begin on a version that is replaced by then");
		}
		return sendOrReject(choice.get(), leavesSlots, call.requirements(), engine, draw);
	}

	private static AdmissionDecision sendOrReject(RunnerChoice chosen, boolean leavesSlots,
			CallRequirements requirements, Optional<EngineProfile> engine, double draw) {
		CompetingLevels competition = requirements.competition();
		double ownLimitMillis = ownLimitMillis(requirements, engine);
		double idleMillis = chosen.idleMillis(requirements, engine);
		double limitMillis = competition.limitMillis(ownLimitMillis, idleMillis);
		if (leavesSlots && chosen.queueMillis() <= limitMillis) {
			return new AdmissionDecision.Send(chosen.runner().runner(), chosen.predictedMillis());
		}
		long excessMillis = (long) Math.max(0, chosen.queueMillis() - limitMillis);
		AdmissionDecision.Reject rejection = new AdmissionDecision.Reject(jitteredRetryAfterMillis(excessMillis, draw),
				chosen.queueMillis(),
				(chosen.queueMillis() <= ownLimitMillis) ? "the places that are left are kept for more urgent calls"
						: "the answer would begin too late");
		return competition.exist() ? waitForPlace(requirements, idleMillis, rejection) : rejection;
	}

	private static double ownLimitMillis(CallRequirements requirements, Optional<EngineProfile> engine) {
		return engine.isPresent() ? CompetingLevels.GOAL_FRACTION * requirements.goalMillis()
				: requirements.remainingMillis();
	}

	/*
	 * Returns the runners that would still have a slot for more urgent calls after this
	 * one. A runner without any request takes every call.
	 */
	private static List<RunnerOption> leavingSlots(List<RunnerOption> runners, CallRequirements requirements,
			Optional<EngineProfile> engine) {
		int reserved = requirements.competition().reservedCalls();
		if (reserved == 0) {
			return runners;
		}
		double limitMillis = requirements.competition().reservedLimitMillis(ownLimitMillis(requirements, engine));
		return runners.stream()
			.filter((option) -> option.responding() + option.pending() < 1
					|| RunnerChoice.queueMillis(option, reserved, requirements, engine) <= limitMillis)
			.toList();
	}

	private static AdmissionDecision waitForPlace(CallRequirements requirements, double idleMillis,
			AdmissionDecision.Reject rejection) {
		long onTimeMillis = Math.max(0, (long) (CompetingLevels.GOAL_FRACTION * requirements.goalMillis()
				- requirements.elapsedMillis() - idleMillis));
		long helpfulMillis = Math.min(requirements.remainingMillis() - MIN_SERVING_MILLIS,
				requirements.patienceMillis() - MIN_START_MILLIS);
		long maxMillis = Math.min(onTimeMillis + LATE_WAIT_MILLIS, helpfulMillis);
		return (maxMillis > 0) ? new AdmissionDecision.Wait(AdmissionDecision.Wait.Cause.PLACE,
				Math.min(onTimeMillis, maxMillis), maxMillis, Integer.MAX_VALUE, rejection) : rejection;
	}

	// adds jitter, so that rejected callers do not retry at the same time
	private static long jitteredRetryAfterMillis(long millis, double draw) {
		long bounded = Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, millis));
		return (long) (bounded * (1 + draw));
	}

}
