package org.catkingate.decisions.admission;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.catkingate.decisions.routing.Distance;
import org.catkingate.model.registry.Engine;

/**
 * The ways to choose among runners. Stateless and safe for use by any thread.
 *
 * @since 0.1
 */
public final class RunnerChoices {

	/**
	 * What the way to another region counts for, in milliseconds: bytes between regions
	 * cost, so a near runner is kept while it is not this much later.
	 */
	private static final double OTHER_REGION_PENALTY_MILLIS = 60;

	/** What the way to another data centre of the region counts for, in milliseconds. */
	private static final double OTHER_DATA_CENTRE_PENALTY_MILLIS = 20;

	/** Puts runners that failed lately behind all others, in milliseconds. */
	private static final double SUSPECT_PENALTY_MILLIS = 100_000;

	/** Runners whose times differ by less are equal, in milliseconds. */
	private static final double TIE_TOLERANCE_MILLIS = 5;

	/**
	 * The part of the goal within which a first event must be predicted. Under overload
	 * predictions stand at the bound, and observed times lie on both sides of them; a
	 * runner is kept busy by far less than a goal's time of waiting prompts.
	 */
	private static final double GOAL_FRACTION = 0.75;

	/**
	 * How much longer than predicted a request may take to begin where the time for that
	 * ends, in milliseconds: the longest opening of a connection. Few requests are later
	 * and have to be withdrawn.
	 */
	private static final double START_MARGIN_MILLIS = 250;

	/** The shortest wait that callers are told, in milliseconds. */
	private static final long MIN_RETRY_AFTER_MILLIS = 150;

	/** The longest wait that callers are told, in milliseconds. */
	private static final long MAX_RETRY_AFTER_MILLIS = 1500;

	/** The wait told where no runner serves at all, in milliseconds. */
	private static final long NO_RUNNER_RETRY_AFTER_MILLIS = 500;

	private RunnerChoices() {
	}

	/**
	 * Sends to the runner whose first event is predicted first. A call whose answer could
	 * not begin within its goal is refused at once, and told to come back when it is
	 * predicted to find a place. A runner is left out if the call is not likely to begin
	 * there while it may.
	 * @return the way, never null
	 */
	public static RunnerChoice earliestFirstEvent() {
		return RunnerChoices::chooseEarliest;
	}

	private static Choice chooseEarliest(List<RunnerOption> runners, Demand demand, Optional<Engine> engine,
			double draw) {
		List<RunnerOption> options = runners.stream()
			.filter((option) -> canStartInTime(option, demand, engine))
			.toList();
		if (options.isEmpty()) {
			return new Choice.Refuse(jitteredRetryAfterMillis(NO_RUNNER_RETRY_AFTER_MILLIS, draw), Double.NaN,
					runners.isEmpty() ? "no runner is left that serves this"
							: "the answer would begin on a version that is replaced by then");
		}
		double[] costs = options.stream().mapToDouble((option) -> costMillis(option, demand, engine)).toArray();
		double highest = Arrays.stream(costs).min().orElseThrow() + TIE_TOLERANCE_MILLIS;
		int[] equal = IntStream.range(0, costs.length).filter((i) -> costs[i] <= highest).toArray();
		RunnerOption chosen = options.get(equal[Math.min(equal.length - 1, (int) (draw * equal.length))]);
		return sendOrReject(chosen, demand, engine, draw);
	}

	private static Choice sendOrReject(RunnerOption chosen, Demand demand, Optional<Engine> engine, double draw) {
		double predicted = predictMillis(chosen, demand, engine);
		double longest = engine.isPresent() ? GOAL_FRACTION * demand.goalMillis() : demand.leftMillis();
		double judged = engine.map((known) -> predictUsualPromptMillis(known, chosen) * demand.caution())
			.orElse(predicted);
		if (judged > longest) {
			long late = (long) (judged - longest);
			return new Choice.Refuse(jitteredRetryAfterMillis(late, draw), judged, "the answer would begin too late");
		}
		return new Choice.Send(chosen.runner(), predicted);
	}

	/*
	 * Whether a call is let in does not depend on its own size: a long prompt is worth
	 * more, and would else be the first to be refused.
	 */
	private static double predictUsualPromptMillis(Engine engine, RunnerOption option) {
		return FirstEventPredictor.engineMillis(engine, option, engine.usualPromptTokens());
	}

	private static double predictMillis(RunnerOption option, Demand demand, Optional<Engine> engine) {
		return engine.map((known) -> FirstEventPredictor.engineMillis(known, option, demand.promptTokens()))
			.orElseGet(() -> FirstEventPredictor.plainMillis(option));
	}

	private static boolean canStartInTime(RunnerOption option, Demand demand, Optional<Engine> engine) {
		return predictMillis(option, demand, engine) + START_MARGIN_MILLIS <= option.beginWithinMillis();
	}

	private static double costMillis(RunnerOption option, Demand demand, Optional<Engine> engine) {
		double cost = predictMillis(option, demand, engine) + distancePenaltyMillis(option.distance());
		return option.suspect() ? cost + SUSPECT_PENALTY_MILLIS : cost;
	}

	private static double distancePenaltyMillis(Distance distance) {
		return switch (distance) {
			case DATA_CENTRE -> 0;
			case REGION -> OTHER_DATA_CENTRE_PENALTY_MILLIS;
			case ELSEWHERE -> OTHER_REGION_PENALTY_MILLIS;
		};
	}

	// spread, so that callers do not come back together
	private static long jitteredRetryAfterMillis(long millis, double draw) {
		long bounded = Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, millis));
		return (long) (bounded * (1 + draw));
	}

}
