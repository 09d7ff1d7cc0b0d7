package org.catkingate.entry;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.catkingate.decisions.idempotency.KeyRoute;
import org.catkingate.decisions.idempotency.KeyRouting;
import org.catkingate.decisions.idempotency.KeyScope;
import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.decisions.routing.RunnerKey;
import org.catkingate.model.InstanceId;
import org.catkingate.model.RunnerStatus;

/**
 * Chooses runners for calls with a key: only at the key's agent, which decides whether
 * the call runs. Stateless.
 */
final class KeyedRequestRouter {

	/**
	 * How long an entry may have a call before its agent must get it, in milliseconds.
	 */
	static final long MAX_HOLD_MILLIS = 5_000;

	private KeyedRequestRouter() {
	}

	static Optional<RunnerKey> choose(FleetSnapshot fleet, AdmittedRequest request, Set<RunnerKey> tried,
			long nowMillis) {
		if (nowMillis - request.arrivedAtMillis() > MAX_HOLD_MILLIS) {
			return Optional.empty();
		}
		return (route(fleet, request) instanceof KeyRoute.OnlyAt only)
				? chooseAt(fleet.agents().get(only.agent()), request, tried) : Optional.empty();
	}

	private static KeyRoute route(FleetSnapshot fleet, AdmittedRequest request) {
		KeyScope scope = new KeyScope(request.account().name(), request.service().name(), request.idempotencyKey());
		return KeyRouting.route(fleet, scope);
	}

	// a runner that admits nothing will do too: the agent may have the answer already
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
		long choices = (admitting > 0) ? admitting : runners.size();
		return runners.stream()
			.skip((choices > 0) ? Math.floorMod(request.id().low(), choices) : 0)
			.findFirst()
			.map((runner) -> new RunnerKey(instance, runner.runner()));
	}

	private static boolean isSuitable(RunnerStatus runner, AdmittedRequest request) {
		return runner.service().equals(request.service().name())
				&& (!runner.admitting() || request.rule().mayBeAnsweredBy(runner.version()));
	}

	/**
	 * Says why no runner was found.
	 * @param fleet what is known of the fleet
	 * @param request the request
	 * @return the failure, never null
	 */
	static Failure noRunnerFailure(FleetSnapshot fleet, AdmittedRequest request) {
		KeyRoute route = route(fleet, request);
		if (route instanceof KeyRoute.Unknown unknown) {
			return Failure.of(FailureKind.OUTCOME_UNKNOWN, unknown.message());
		}
		if (route instanceof KeyRoute.NotRun refusal) {
			return new Failure(FailureKind.NOT_RUN, refusal.retryAfterMillis(), refusal.message());
		}
		return Failure.withDefaultRetryAfter(FailureKind.NOT_RUN,
				"the agent of this key cannot take the call at present; repeat with the same key");
	}

}
