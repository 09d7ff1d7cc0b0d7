package org.catkingate.decisions.runners;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Event;
import org.catkingate.decisions.Reducer;
import org.catkingate.decisions.ReductionResult;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.RunnerId;
import org.catkingate.model.VersionId;
import org.catkingate.model.published.Service;

/**
 * The reducer that decides when runners switch versions and when they receive requests. A
 * gate is opened only for the digest that the engine reported after the gate was last
 * closed and after the last pause of this process. Stateless and safe for use by any
 * thread; events of other families are ignored.
 *
 * @since 0.1
 */
public final class RunnersReducer implements Reducer<RunnersState> {

	/**
	 * The time between two ticks above which this process is considered to have been
	 * paused, in milliseconds.
	 */
	static final long PAUSE_THRESHOLD_MILLIS = 1000;

	private static final long INITIAL_BACKOFF_MILLIS = 1000;

	private static final long MAX_BACKOFF_MILLIS = 30_000;

	private static final int MAX_BACKOFF_SHIFT = 6;

	private RunnersReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer, never null
	 */
	public static RunnersReducer create() {
		return new RunnersReducer();
	}

	@Override
	public ReductionResult<RunnersState> reduce(RunnersState state, long nowMillis, Event event) {
		if (!(event instanceof RunnersEvent change)) {
			return ReductionResult.of(state);
		}
		List<Effect> effects = new ArrayList<>();
		RunnersState resumed = closeGatesAfterPause(state, nowMillis, effects);
		RunnersState changed = apply(resumed, nowMillis, change, effects);
		Map<RunnerId, RunnerState> runners = new TreeMap<>(changed.runners());
		for (RunnerId runner : changed.runners().keySet()) {
			RunnersState current = withRunners(changed, runners);
			RunnerStateMachine stateMachine = new RunnerStateMachine(current, nowMillis);
			runners.put(runner, stateMachine.advance(runners.get(runner)));
			effects.addAll(stateMachine.effects());
		}
		return new ReductionResult<>(withRunners(changed, runners), effects);
	}

	private static RunnersState withRunners(RunnersState state, Map<RunnerId, RunnerState> runners) {
		return new RunnersState(state.settings(), state.fleet(), new TreeMap<>(runners), state.targets(),
				state.tickedAtMillis(), state.resumedAtMillis());
	}

	/**
	 * Closes the gates of all engines and discards their reports at the start and after a
	 * pause of this process: reports requested before a pause are no longer valid.
	 * @param state the state before
	 * @param now the monotonic time, in milliseconds
	 * @param effects the list to which effects are added
	 * @return the changed state, never null
	 */
	private static RunnersState closeGatesAfterPause(RunnersState state, long now, List<Effect> effects) {
		boolean started = state.tickedAtMillis() < 0;
		boolean paused = started || now - state.tickedAtMillis() > PAUSE_THRESHOLD_MILLIS;
		Map<RunnerId, RunnerState> runners = new TreeMap<>(state.runners());
		if (paused) {
			RunnerStateMachine stateMachine = new RunnerStateMachine(state, now);
			runners.replaceAll((id, runner) -> servesPlainService(state, runner) ? runner
					: stateMachine.closeGate(runner).withoutReport(now));
			effects.addAll(stateMachine.effects());
		}
		return new RunnersState(state.settings(), state.fleet(), runners, state.targets(), now,
				paused ? now : state.resumedAtMillis());
	}

	private static boolean servesPlainService(RunnersState state, RunnerState runner) {
		Service service = state.fleet().configuration().services().get(runner.service());
		return service != null && service.kind() == Service.Kind.PLAIN;
	}

	private static RunnersState apply(RunnersState state, long now, RunnersEvent event, List<Effect> effects) {
		if (event instanceof RunnersEvent.Ticked ticked) {
			return updateAllRunners(state, (runner) -> applyTicked(runner, now, ticked));
		}
		if (event instanceof RunnersEvent.FleetChanged changed) {
			return withFleet(state, changed.fleet());
		}
		if (event instanceof RunnersEvent.VersionKnown known) {
			TargetVersion present = state.targets().get(known.version().id());
			boolean same = present != null && present.manifest().equals(known.manifest());
			return withTarget(state,
					new TargetVersion(known.version(), known.manifest(), same ? present.completeAtMillis() : -1));
		}
		if (event instanceof RunnersEvent.VersionComplete complete) {
			TargetVersion present = state.targets().get(complete.version().id());
			boolean alreadyComplete = present != null && present.isComplete()
					&& present.manifest().equals(complete.manifest());
			long completeAt = alreadyComplete ? present.completeAtMillis() : now;
			return withTarget(state, new TargetVersion(complete.version(), complete.manifest(), completeAt));
		}
		if (event instanceof RunnersEvent.VersionDropped dropped) {
			return withoutTarget(state, dropped.version());
		}
		return applyToRunner(state, now, event, effects);
	}

	/**
	 * Applies the state of the gate of a runner. The request path closes a gate by itself
	 * if a response came from other weights than those that the gate was opened for.
	 * @param runner the runner
	 * @param now the monotonic time, in milliseconds
	 * @param event the observations
	 * @return the changed runner, never null
	 */
	private static RunnerState applyTicked(RunnerState runner, long now, RunnersEvent.Ticked event) {
		RunnerState counted = runner
			.withInProgress(event.inProgress().getOrDefault(runner.runner(), runner.inProgress()));
		boolean mismatched = runner.isGateOpen() && event.closed().contains(runner.runner());
		return mismatched ? counted.withServedVersion(null).withoutReport(now) : counted;
	}

	private static RunnersState applyToRunner(RunnersState state, long now, RunnersEvent event, List<Effect> effects) {
		if (event instanceof RunnersEvent.EngineReported reported) {
			return updateRunner(state, reported.runner(),
					(runner) -> applyReported(state, now, runner, reported, effects));
		}
		if (event instanceof RunnersEvent.EngineUnresponsive unresponsive) {
			return updateRunner(state, unresponsive.runner(),
					(runner) -> closeGateAndDiscardReport(state, now, runner, effects));
		}
		if (event instanceof RunnersEvent.LoadCommandEnded ended) {
			return updateRunner(state, ended.runner(), (runner) -> applyCommandEnded(now, runner, ended.outcome()));
		}
		return state;
	}

	private static RunnerState applyReported(RunnersState state, long now, RunnerState runner,
			RunnersEvent.EngineReported event, List<Effect> effects) {
		if (event.requestedAtMillis() < runner.validFromMillis()) {
			return runner;
		}
		RunnerState.Report report = new RunnerState.Report(event.requestedAtMillis(), event.digest(), event.fence());
		RunnerState changed = runner.withReport(report);
		boolean mismatched = runner.isGateOpen() && runner.servedVersion().digest() != null
				&& !changed.holds(runner.servedVersion().digest());
		if (!mismatched) {
			return changed;
		}
		RunnerStateMachine stateMachine = new RunnerStateMachine(state, now);
		RunnerState closed = stateMachine.closeGate(changed);
		effects.addAll(stateMachine.effects());
		return closed;
	}

	private static RunnerState closeGateAndDiscardReport(RunnersState state, long now, RunnerState runner,
			List<Effect> effects) {
		RunnerStateMachine stateMachine = new RunnerStateMachine(state, now);
		RunnerState closed = stateMachine.closeGate(runner).withoutReport(now);
		effects.addAll(stateMachine.effects());
		return closed;
	}

	private static RunnerState applyCommandEnded(long now, RunnerState runner, RunnersEvent.Outcome outcome) {
		RunnerState settled = runner.withPhase(RunnerState.Phase.SETTLED).withoutReport(now);
		return switch (outcome) {
			case DONE -> settled.withNotBefore(now, 0);
			case NOT_SENT -> settled;
			case FENCED, FAILED -> {
				long backoff = INITIAL_BACKOFF_MILLIS << Math.min(MAX_BACKOFF_SHIFT, runner.failures());
				yield settled.withNotBefore(now + Math.min(MAX_BACKOFF_MILLIS, backoff), runner.failures() + 1);
			}
		};
	}

	private static RunnersState withFleet(RunnersState state, FleetSnapshot fleet) {
		return new RunnersState(state.settings(), fleet, state.runners(), state.targets(), state.tickedAtMillis(),
				state.resumedAtMillis());
	}

	private static RunnersState withTarget(RunnersState state, TargetVersion target) {
		Map<VersionId, TargetVersion> targets = new TreeMap<>(state.targets());
		targets.put(target.id(), target);
		return new RunnersState(state.settings(), state.fleet(), state.runners(), targets, state.tickedAtMillis(),
				state.resumedAtMillis());
	}

	private static RunnersState withoutTarget(RunnersState state, VersionId version) {
		Map<VersionId, TargetVersion> targets = new TreeMap<>(state.targets());
		targets.remove(version);
		return new RunnersState(state.settings(), state.fleet(), state.runners(), targets, state.tickedAtMillis(),
				state.resumedAtMillis());
	}

	private static RunnersState updateAllRunners(RunnersState state, UnaryOperator<RunnerState> change) {
		Map<RunnerId, RunnerState> runners = new TreeMap<>(state.runners());
		runners.replaceAll((id, runner) -> change.apply(runner));
		return withRunners(state, runners);
	}

	private static RunnersState updateRunner(RunnersState state, RunnerId id, UnaryOperator<RunnerState> change) {
		Map<RunnerId, RunnerState> runners = new TreeMap<>(state.runners());
		runners.computeIfPresent(id, (runner, present) -> change.apply(present));
		return withRunners(state, runners);
	}

}
