package org.catkingate.decisions.runners;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Event;
import org.catkingate.decisions.Reducer;
import org.catkingate.decisions.Step;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.RunnerId;
import org.catkingate.model.VersionId;
import org.catkingate.model.published.Service;

/**
 * Decides when runners switch versions and when they take requests. A gate is opened only
 * with the digest that the engine reported after the gate was last closed and after the
 * last pause of this process. Stateless and safe for use by any thread; events of other
 * families are ignored.
 *
 * @since 0.1
 */
public final class RunnersReducer implements Reducer<RunnersState> {

	/** The time between two ticks from which on this process counts as paused. */
	static final long PAUSE_MILLIS = 1000;

	private static final long FIRST_BACKOFF_MILLIS = 1000;

	private static final long LONGEST_BACKOFF_MILLIS = 30_000;

	private static final int LARGEST_SHIFT = 6;

	private RunnersReducer() {
	}

	/**
	 * Returns the reducer.
	 * @return the reducer, never null
	 */
	public static RunnersReducer create() {
		return new RunnersReducer();
	}

	@Override
	public Step<RunnersState> reduce(RunnersState state, long nowMillis, Event event) {
		if (!(event instanceof RunnersEvent change)) {
			return Step.to(state);
		}
		List<Effect> effects = new ArrayList<>();
		RunnersState awake = noticePause(state, nowMillis, effects);
		RunnersState changed = apply(awake, nowMillis, change, effects);
		Map<RunnerId, RunnerState> runners = new TreeMap<>(changed.runners());
		for (RunnerId runner : changed.runners().keySet()) {
			RunnersState current = with(changed, runners);
			RunnerSteps steps = new RunnerSteps(current, nowMillis);
			runners.put(runner, steps.advance(runners.get(runner)));
			effects.addAll(steps.effects());
		}
		return new Step<>(with(changed, runners), effects);
	}

	private static RunnersState with(RunnersState state, Map<RunnerId, RunnerState> runners) {
		return new RunnersState(state.settings(), state.fleet(), new TreeMap<>(runners), state.targets(),
				state.tickedAtMillis(), state.wokenAtMillis());
	}

	/**
	 * After a pause nothing that was known of the engines counts any more.
	 * @param state the state before
	 * @param now the monotonic time, in milliseconds
	 * @param effects where the closing of gates is added
	 * @return the changed state, never null
	 */
	private static RunnersState noticePause(RunnersState state, long now, List<Effect> effects) {
		boolean started = state.tickedAtMillis() < 0;
		boolean paused = started || now - state.tickedAtMillis() > PAUSE_MILLIS;
		Map<RunnerId, RunnerState> runners = new TreeMap<>(state.runners());
		if (paused) {
			RunnerSteps steps = new RunnerSteps(state, now);
			runners.replaceAll((id, runner) -> isPlain(state, runner) ? runner : steps.close(runner).invalidated(now));
			effects.addAll(steps.effects());
		}
		return new RunnersState(state.settings(), state.fleet(), runners, state.targets(), now,
				paused ? now : state.wokenAtMillis());
	}

	private static boolean isPlain(RunnersState state, RunnerState runner) {
		Service service = state.fleet().configuration().services().get(runner.service());
		return service != null && service.kind() == Service.Kind.PLAIN;
	}

	private static RunnersState apply(RunnersState state, long now, RunnersEvent event, List<Effect> effects) {
		if (event instanceof RunnersEvent.Ticked ticked) {
			return changeAll(state, (runner) -> ticked(runner, now, ticked));
		}
		if (event instanceof RunnersEvent.FleetChanged changed) {
			return fleetChanged(state, changed.fleet());
		}
		if (event instanceof RunnersEvent.VersionKnown known) {
			Target present = state.targets().get(known.version().id());
			boolean same = present != null && present.manifest().equals(known.manifest());
			return withTarget(state,
					new Target(known.version(), known.manifest(), same ? present.wholeAtMillis() : -1));
		}
		if (event instanceof RunnersEvent.VersionWhole whole) {
			Target present = state.targets().get(whole.version().id());
			boolean before = present != null && present.isWhole() && present.manifest().equals(whole.manifest());
			long wholeAt = before ? present.wholeAtMillis() : now;
			return withTarget(state, new Target(whole.version(), whole.manifest(), wholeAt));
		}
		if (event instanceof RunnersEvent.VersionDropped dropped) {
			return withoutTarget(state, dropped.version());
		}
		return applyToRunner(state, now, event, effects);
	}

	/**
	 * Takes over what was seen at the gate. Traffic closes a gate by itself if an answer
	 * showed other weights than it was opened with.
	 * @param runner the runner
	 * @param now the monotonic time, in milliseconds
	 * @param event what was seen
	 * @return the changed runner, never null
	 */
	private static RunnerState ticked(RunnerState runner, long now, RunnersEvent.Ticked event) {
		RunnerState counted = runner
			.withInProgress(event.inProgress().getOrDefault(runner.runner(), runner.inProgress()));
		boolean mismatched = runner.isOpen() && event.closed().contains(runner.runner());
		return mismatched ? counted.openedWith(null).invalidated(now) : counted;
	}

	private static RunnersState applyToRunner(RunnersState state, long now, RunnersEvent event, List<Effect> effects) {
		if (event instanceof RunnersEvent.EngineReported reported) {
			return change(state, reported.runner(), (runner) -> reported(state, now, runner, reported, effects));
		}
		if (event instanceof RunnersEvent.EngineSilent silent) {
			return change(state, silent.runner(), (runner) -> close(state, now, runner, effects));
		}
		if (event instanceof RunnersEvent.OrderEnded ended) {
			return change(state, ended.runner(), (runner) -> orderEnded(now, runner, ended.outcome()));
		}
		return state;
	}

	private static RunnerState reported(RunnersState state, long now, RunnerState runner,
			RunnersEvent.EngineReported event, List<Effect> effects) {
		if (event.askedAtMillis() < runner.validFromMillis()) {
			return runner;
		}
		RunnerState.Report report = new RunnerState.Report(event.askedAtMillis(), event.digest(), event.fence());
		RunnerState changed = runner.reported(report);
		boolean other = runner.isOpen() && runner.open().digest() != null && !changed.holds(runner.open().digest());
		if (!other) {
			return changed;
		}
		RunnerSteps steps = new RunnerSteps(state, now);
		RunnerState closed = steps.close(changed);
		effects.addAll(steps.effects());
		return closed;
	}

	private static RunnerState close(RunnersState state, long now, RunnerState runner, List<Effect> effects) {
		RunnerSteps steps = new RunnerSteps(state, now);
		RunnerState closed = steps.close(runner).invalidated(now);
		effects.addAll(steps.effects());
		return closed;
	}

	private static RunnerState orderEnded(long now, RunnerState runner, RunnersEvent.Outcome outcome) {
		RunnerState settled = runner.in(RunnerState.Phase.SETTLED).invalidated(now);
		return switch (outcome) {
			case DONE -> settled.notBefore(now, 0);
			case NOT_SENT -> settled;
			case FENCED, FAILED -> {
				long backoff = FIRST_BACKOFF_MILLIS << Math.min(LARGEST_SHIFT, runner.failures());
				yield settled.notBefore(now + Math.min(LONGEST_BACKOFF_MILLIS, backoff), runner.failures() + 1);
			}
		};
	}

	private static RunnersState fleetChanged(RunnersState state, FleetSnapshot fleet) {
		return new RunnersState(state.settings(), fleet, state.runners(), state.targets(), state.tickedAtMillis(),
				state.wokenAtMillis());
	}

	private static RunnersState withTarget(RunnersState state, Target target) {
		Map<VersionId, Target> targets = new TreeMap<>(state.targets());
		targets.put(target.id(), target);
		return new RunnersState(state.settings(), state.fleet(), state.runners(), targets, state.tickedAtMillis(),
				state.wokenAtMillis());
	}

	private static RunnersState withoutTarget(RunnersState state, VersionId version) {
		Map<VersionId, Target> targets = new TreeMap<>(state.targets());
		targets.remove(version);
		return new RunnersState(state.settings(), state.fleet(), state.runners(), targets, state.tickedAtMillis(),
				state.wokenAtMillis());
	}

	private static RunnersState changeAll(RunnersState state, UnaryOperator<RunnerState> change) {
		Map<RunnerId, RunnerState> runners = new TreeMap<>(state.runners());
		runners.replaceAll((id, runner) -> change.apply(runner));
		return with(state, runners);
	}

	private static RunnersState change(RunnersState state, RunnerId id, UnaryOperator<RunnerState> change) {
		Map<RunnerId, RunnerState> runners = new TreeMap<>(state.runners());
		runners.computeIfPresent(id, (runner, present) -> change.apply(present));
		return with(state, runners);
	}

}
