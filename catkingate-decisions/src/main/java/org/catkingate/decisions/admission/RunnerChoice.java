package org.catkingate.decisions.admission;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.catkingate.decisions.routing.Distance;
import org.catkingate.model.registry.EngineProfile;

/**
 * The runner chosen for a call among those to which it may be sent. Immutable.
 *
 * @param runner the runner
 * @param predictedMillis the predicted time to the first event of the call there, in
 * milliseconds
 * @param queueMillis the predicted time to the first event of a call of usual size there,
 * corrected by recent observations, in milliseconds; it measures how busy the runner is,
 * whatever the size of the call itself: long prompts are worth more, and would otherwise
 * be the first to be rejected
 */
record RunnerChoice(RunnerOption runner, double predictedMillis, double queueMillis) {

	/**
	 * The penalty of a runner in another region, in milliseconds. Traffic between regions
	 * is billed, so a runner in the same region is preferred unless its first event is
	 * predicted this much later.
	 */
	private static final double OTHER_REGION_PENALTY_MILLIS = 60;

	/** The penalty of a runner in another data centre of the region, in milliseconds. */
	private static final double OTHER_DATA_CENTRE_PENALTY_MILLIS = 20;

	/**
	 * The penalty of a runner that failed recently, in milliseconds: high enough to rank
	 * it behind all others.
	 */
	private static final double SUSPECT_PENALTY_MILLIS = 100_000;

	/**
	 * The weight of the predicted time from the first event to the last one, compared
	 * with that to the first event. Callers wait for the first event; the rest differs
	 * between runners by their slowdown, which matters most for long responses. In the
	 * model of RunnerChoiceFiguresTests, 0.3 gave fewer late first events than 0, 0.1 and
	 * 1.
	 */
	private static final double GENERATION_WEIGHT = 0.3;

	/**
	 * The part of a response that counts for the choice, in proportion to the mean of the
	 * service. A machine is slow for some hundred milliseconds, which is less than a long
	 * response takes; it also bounds the effect of wrong estimates.
	 */
	private static final double MAX_TYPICAL_LENGTHS = 2;

	/**
	 * The difference up to which the costs of two runners count as equal, in
	 * milliseconds.
	 */
	private static final double TIE_TOLERANCE_MILLIS = 5;

	/**
	 * The margin between the predicted start of a response and the end of the time in
	 * which it may start, in milliseconds: the maximum time to open a connection. With
	 * it, few requests start too late and have to be withdrawn.
	 */
	private static final double START_MARGIN_MILLIS = 250;

	/**
	 * Chooses the runner with the earliest predicted first event. Runners where the
	 * response is not likely to start within their remaining time are excluded.
	 * @param runners the runners to which the call may be sent
	 * @param call the call
	 * @param engine the parameters of the service's engines, empty for a service without
	 * engines
	 * @param draw a random number from 0 to 1, used to spread calls over equal runners
	 * @return the choice, empty if the response would start too late at each runner
	 */
	static Optional<RunnerChoice> earliest(List<RunnerOption> runners, CallDescription call,
			Optional<EngineProfile> engine, double draw) {
		List<RunnerOption> options = runners.stream().filter((option) -> canStartInTime(option, call, engine)).toList();
		if (options.isEmpty()) {
			return Optional.empty();
		}
		double[] costs = options.stream().mapToDouble((option) -> costMillis(option, call, engine)).toArray();
		double maxCost = Arrays.stream(costs).min().orElseThrow() + TIE_TOLERANCE_MILLIS;
		int[] cheapest = IntStream.range(0, costs.length).filter((i) -> costs[i] <= maxCost).toArray();
		RunnerOption chosen = options.get(cheapest[Math.min(cheapest.length - 1, (int) (draw * cheapest.length))]);
		double predicted = predictMillis(chosen, call, engine);
		double queueMillis = engine
			.map((profile) -> predictWithEngineMillis(profile, chosen, profile.meanPromptTokens())
					* call.requirements().correctionFactor())
			.orElse(predicted);
		return Optional.of(new RunnerChoice(chosen, predicted, queueMillis));
	}

	/**
	 * Returns what the queue would be if no request waited at the runner and a slot was
	 * free.
	 * @param requirements the requirements of the call
	 * @param engine the parameters of the service's engines, empty for a service without
	 * engines
	 * @return the predicted time to the first event of a call of usual size, corrected by
	 * recent observations, in milliseconds
	 */
	double idleMillis(CallRequirements requirements, Optional<EngineProfile> engine) {
		double responding = Math.min(this.runner.responding(), this.runner.slots() - 1);
		return queueMillis(withRequests(this.runner, responding, 0, 0), 0, requirements, engine);
	}

	/**
	 * Returns what the queue of a runner would be if it held more requests.
	 * @param option the runner
	 * @param more the number of additional requests
	 * @param requirements the requirements of the call
	 * @param engine the parameters of the service's engines, empty for a service without
	 * engines
	 * @return the predicted time to the first event of a call of usual size, corrected by
	 * recent observations, in milliseconds
	 */
	static double queueMillis(RunnerOption option, int more, CallRequirements requirements,
			Optional<EngineProfile> engine) {
		RunnerOption busier = withRequests(option, option.responding(), option.pending() + more,
				option.pendingPromptTokens());
		return engine
			.map((profile) -> predictWithEngineMillis(profile, busier, profile.meanPromptTokens())
					* requirements.correctionFactor())
			.orElseGet(() -> FirstEventPredictor.predictWithoutEngineMillis(busier));
	}

	private static RunnerOption withRequests(RunnerOption option, double responding, double pending,
			double pendingPromptTokens) {
		return new RunnerOption(option.runner(), option.distance(), option.slots(), responding, pending,
				pendingPromptTokens, option.responseStartMillis(), option.suspect(), option.startWithinMillis(),
				option.backlog());
	}

	private static double predictMillis(RunnerOption option, CallDescription call, Optional<EngineProfile> engine) {
		if (engine.isPresent()) {
			return predictWithEngineMillis(engine.get(), option, call.requirements().promptTokens());
		}
		return (option.backlog().isPresent() && call.cost().isPresent()) ? FirstEventPredictor
			.predictWithoutEngineMillis(option, option.backlog().get(), call.cost().get().length().mean())
				: FirstEventPredictor.predictWithoutEngineMillis(option);
	}

	private static double predictWithEngineMillis(EngineProfile engine, RunnerOption option, double promptTokens) {
		return option.backlog()
			.map((backlog) -> FirstEventPredictor.predictWithBacklogMillis(engine, option, backlog, promptTokens))
			.orElseGet(() -> FirstEventPredictor.predictWithEngineMillis(engine, option, promptTokens));
	}

	private static boolean canStartInTime(RunnerOption option, CallDescription call, Optional<EngineProfile> engine) {
		return predictMillis(option, call, engine) + START_MARGIN_MILLIS <= option.startWithinMillis();
	}

	private static double costMillis(RunnerOption option, CallDescription call, Optional<EngineProfile> engine) {
		double cost = predictMillis(option, call, engine) + distancePenaltyMillis(option.distance());
		if (engine.isPresent() && call.cost().isPresent() && option.backlog().isPresent()) {
			cost += GENERATION_WEIGHT * FirstEventPredictor.predictGenerationMillis(engine.get(), option,
					option.backlog().get(), Math.min(call.cost().get().length().mean(),
							MAX_TYPICAL_LENGTHS * call.cost().get().typicalLength()));
		}
		return option.suspect() ? cost + SUSPECT_PENALTY_MILLIS : cost;
	}

	private static double distancePenaltyMillis(Distance distance) {
		return switch (distance) {
			case DATA_CENTRE -> 0;
			case REGION -> OTHER_DATA_CENTRE_PENALTY_MILLIS;
			case ELSEWHERE -> OTHER_REGION_PENALTY_MILLIS;
		};
	}

}
