package org.catkingate.entry;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.catkingate.decisions.idempotency.KeyRoute;
import org.catkingate.decisions.idempotency.KeyRouter;
import org.catkingate.decisions.idempotency.ScopedKey;
import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.decisions.routing.RunnerKey;
import org.catkingate.model.InstanceId;
import org.catkingate.model.RunnerStatus;

/**
 * A router for requests with an idempotency key. Chooses only runners of the agent that
 * issued the key, which decides whether the request runs. Stateless.
 */
final class KeyedRequestRouter {

	/**
	 * The maximum time between the arrival of a request and the choice of a runner, in
	 * milliseconds; later the request is rejected. It must be less than the time that
	 * {@code VouchingBounds} allows for an attempt to reach its agent.
	 */
	static final long MAX_HOLD_MILLIS = 5_000;

	private KeyedRequestRouter() {
	}

	static Optional<RunnerKey> choose(FleetSnapshot fleet, AdmittedRequest request, Set<RunnerKey> tried,
			long nowMillis) {
		if (nowMillis - request.arrivedAtMillis() > MAX_HOLD_MILLIS) {
			return Optional.empty();
		}
		return (route(fleet, request) instanceof KeyRoute.ToAgent toAgent)
				? chooseAt(fleet.agents().get(toAgent.agent()), request, tried) : Optional.empty();
	}

	private static KeyRoute route(FleetSnapshot fleet, AdmittedRequest request) {
		ScopedKey scopedKey = new ScopedKey(request.account().name(), request.service().name(),
				request.idempotencyKey());
		return KeyRouter.route(fleet, scopedKey);
	}

	// A runner that admits no requests is also suitable: the agent may already have the
	// response.
	private static Optional<RunnerKey> chooseAt(AgentView agent, AdmittedRequest request, Set<RunnerKey> tried) {
		if (!request.rule().instances().matches(agent.instance().labels())) {
			return Optional.empty();
		}
		InstanceId instance = agent.instance().id();
		List<RunnerStatus> runners = agent.runners()
			.stream()
			.filter((runner) -> isSuitable(runner, request)
					&& !tried.contains(new RunnerKey(instance, runner.runner())))
			.sorted(Comparator.comparing((runner) -> !runner.admitting()))
			.toList();
		long admitting = runners.stream().filter(RunnerStatus::admitting).count();
		long candidateCount = (admitting > 0) ? admitting : runners.size();
		return runners.stream()
			.skip((candidateCount > 0) ? Math.floorMod(request.id().low(), candidateCount) : 0)
			.findFirst()
			.map((runner) -> new RunnerKey(instance, runner.runner()));
	}

	private static boolean isSuitable(RunnerStatus runner, AdmittedRequest request) {
		return runner.service().equals(request.service().name())
				&& (!runner.admitting() || request.rule().acceptsVersion(runner.version()));
	}

	/**
	 * Returns the failure to report when no runner was found.
	 * @param fleet the snapshot of the fleet
	 * @param request the request
	 * @return the failure, never null
	 */
	static Failure noRunnerFailure(FleetSnapshot fleet, AdmittedRequest request) {
		KeyRoute route = route(fleet, request);
		if (route instanceof KeyRoute.OutcomeUnknown outcomeUnknown) {
			return Failure.of(FailureKind.OUTCOME_UNKNOWN, outcomeUnknown.message());
		}
		if (route instanceof KeyRoute.NotRun notRun) {
			return new Failure(FailureKind.NOT_RUN, notRun.retryAfterMillis(), notRun.message());
		}
		return Failure.withDefaultRetryAfter(FailureKind.NOT_RUN,
				"the agent of this key cannot take the call at present; repeat with the same key");
	}

}
