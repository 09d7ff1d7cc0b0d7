package org.catkingate.decisions.runners;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.distribution.Selection;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.Service;
import org.catkingate.model.published.WeightsVersion;

/**
 * The next step of one runner: close, drain, order, verify, open. Used by one thread for
 * one event.
 */
final class RunnerSteps {

	/** How old a report may be when the gate is opened or an order is sent. */
	static final long FRESH_MILLIS = 1000;

	/** How often a settled engine is asked for its state. */
	static final long POLL_MILLIS = 2000;

	/**
	 * How long a new or newly woken agent gives no orders to engines that ignore fencing
	 * numbers: an order of the agent that it replaces must have ended by then.
	 */
	static final long GRACE_MILLIS = 3000;

	private final RunnersState state;

	private final long now;

	private final List<Effect> effects = new ArrayList<>();

	RunnerSteps(RunnersState state, long now) {
		this.state = state;
		this.now = now;
	}

	List<Effect> effects() {
		return this.effects;
	}

	RunnerState advance(RunnerState runner) {
		Service service = this.state.fleet().configuration().services().get(runner.service());
		if (service == null) {
			return close(runner);
		}
		if (service.kind() == Service.Kind.PLAIN) {
			return runner.isOpen() ? runner : open(runner, new RunnerState.Serving(null, null));
		}
		Optional<Target> target = target(runner);
		if (target.isEmpty()) {
			return withoutTarget(runner);
		}
		return withTarget(closeIfWithdrawn(runner), target.get());
	}

	/**
	 * Chooses what a runner is to serve: of the versions wanted here the last by name of
	 * those that are whole, or that the engine holds already.
	 * @param runner the runner
	 * @return the version, or empty
	 */
	private Optional<Target> target(RunnerState runner) {
		return this.state.targets()
			.values()
			.stream()
			.filter((target) -> target.version().service().equals(runner.service()))
			.filter((target) -> target.isWhole() || runner.holds(target.digest()))
			.reduce((first, second) -> second);
	}

	/**
	 * With nothing wanted that could be served, what is served goes on only while it may
	 * be replaced: some version of the service is still on its way here.
	 * @param runner the runner
	 * @return the changed runner, never null
	 */
	private RunnerState withoutTarget(RunnerState runner) {
		RunnerState closed = closeIfWithdrawn(runner);
		boolean coming = isAnyVersionSelected(runner);
		return ask((closed.isOpen() && !coming) ? close(closed) : closed, POLL_MILLIS);
	}

	private boolean isAnyVersionSelected(RunnerState runner) {
		PublishedConfiguration configuration = this.state.fleet().configuration();
		for (WeightsVersion version : configuration.versions().values()) {
			if (version.service().equals(runner.service())
					&& Selection.isSelected(configuration, version, this.state.settings().labels())) {
				return true;
			}
		}
		return false;
	}

	private RunnerState closeIfWithdrawn(RunnerState runner) {
		if (!runner.isOpen()) {
			return runner;
		}
		WeightsVersion version = this.state.fleet().configuration().versions().get(runner.open().version());
		return (version != null && version.withdrawn()) ? close(runner) : runner;
	}

	private RunnerState withTarget(RunnerState runner, Target target) {
		if (runner.phase() == RunnerState.Phase.LOADING) {
			return runner;
		}
		if (runner.report() == null) {
			return ask(runner, 0);
		}
		if (runner.holds(target.digest())) {
			return serve(runner, target);
		}
		if (!target.isWhole() || this.now < runner.notBeforeMillis() || isInGrace(runner) || isOutranked(runner)) {
			return ask(runner, POLL_MILLIS);
		}
		if (runner.phase() == RunnerState.Phase.DRAINING || !runner.isOpen()) {
			return order(runner, target);
		}
		if (!SwitchOrder.maySwitch(this.state, runner, target, this.now)) {
			return ask(runner.heldUpAt(this.now), POLL_MILLIS);
		}
		return (this.now - runner.heldUpAtMillis() < SwitchOrder.NEWS_MILLIS) ? ask(runner, POLL_MILLIS)
				: close(runner).in(RunnerState.Phase.DRAINING);
	}

	private RunnerState serve(RunnerState runner, Target target) {
		RunnerState.Serving serving = new RunnerState.Serving(target.id(), target.digest());
		if (serving.equals(runner.open())) {
			return ask(runner, POLL_MILLIS);
		}
		if (this.now - runner.report().askedAtMillis() > FRESH_MILLIS) {
			return ask(runner, FRESH_MILLIS);
		}
		return open(runner.in(RunnerState.Phase.SETTLED), serving);
	}

	private boolean isInGrace(RunnerState runner) {
		boolean checks = this.state.fleet().configuration().services().get(runner.service()).checksFencing();
		return !checks && this.now - this.state.wokenAtMillis() < GRACE_MILLIS;
	}

	private boolean isOutranked(RunnerState runner) {
		return runner.report().fence() > fence();
	}

	private long fence() {
		return Fencing.number(this.state.fleet().configuration().version().revision(),
				this.state.settings().startedAtEpochSeconds());
	}

	private RunnerState order(RunnerState runner, Target target) {
		if (runner.inProgress() > 0) {
			return runner;
		}
		long askedAt = runner.report().askedAtMillis();
		if (this.now - askedAt > FRESH_MILLIS / 2) {
			return ask(runner, 0);
		}
		this.effects
			.add(new RunnersEffect.OrderLoad(runner.runner(), target.manifest(), fence(), askedAt + FRESH_MILLIS));
		return runner.in(RunnerState.Phase.LOADING);
	}

	private RunnerState ask(RunnerState runner, long agedMillis) {
		boolean aged = runner.report() == null || this.now - runner.report().askedAtMillis() >= agedMillis;
		if (runner.asking() || !aged) {
			return runner;
		}
		this.effects.add(new RunnersEffect.AskState(runner.runner()));
		return runner.asking(true);
	}

	private RunnerState open(RunnerState runner, RunnerState.Serving serving) {
		this.effects.add(new RunnersEffect.OpenGate(runner.runner(), serving.version(), serving.digest()));
		return runner.openedWith(serving);
	}

	RunnerState close(RunnerState runner) {
		if (!runner.isOpen()) {
			return runner;
		}
		this.effects.add(new RunnersEffect.CloseGate(runner.runner()));
		return runner.openedWith(null);
	}

}
