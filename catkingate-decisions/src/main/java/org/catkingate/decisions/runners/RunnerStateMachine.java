package org.catkingate.decisions.runners;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.distribution.VersionSelection;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.Service;
import org.catkingate.model.published.WeightsVersion;

/**
 * The state machine that decides on the next step of one runner: close the gate, drain,
 * send the load command, verify, open the gate. Used by one thread for one event.
 */
final class RunnerStateMachine {

	/**
	 * The maximum age of a report when the gate is opened or a command is sent, in
	 * milliseconds.
	 */
	static final long MAX_REPORT_AGE_MILLIS = 1000;

	/**
	 * The interval at which the state of a settled engine is requested, in milliseconds.
	 */
	static final long POLL_INTERVAL_MILLIS = 2000;

	/**
	 * The time after its start or after a pause for which an agent sends no commands to
	 * engines that ignore fencing numbers, in milliseconds. A command of the agent that
	 * it replaces must have ended by then.
	 */
	static final long GRACE_PERIOD_MILLIS = 3000;

	private final RunnersState state;

	private final long now;

	private final List<Effect> effects = new ArrayList<>();

	RunnerStateMachine(RunnersState state, long now) {
		this.state = state;
		this.now = now;
	}

	List<Effect> effects() {
		return this.effects;
	}

	RunnerState advance(RunnerState runner) {
		Service service = this.state.fleet().configuration().services().get(runner.service());
		if (service == null) {
			return closeGate(runner);
		}
		if (service.kind() == Service.Kind.PLAIN) {
			return runner.isGateOpen() ? runner : openGate(runner, new RunnerState.ServedVersion(null, null));
		}
		Optional<TargetVersion> target = chooseTarget(runner);
		if (target.isEmpty()) {
			return advanceWithoutTarget(runner);
		}
		return advanceTowards(closeGateIfWithdrawn(runner), target.get());
	}

	/**
	 * Chooses the version that a runner is to serve: of the versions that are wanted on
	 * this instance and are complete or already held by the engine, the last one by name.
	 * @param runner the runner
	 * @return the version, or empty
	 */
	private Optional<TargetVersion> chooseTarget(RunnerState runner) {
		return this.state.targets()
			.values()
			.stream()
			.filter((target) -> target.version().service().equals(runner.service()))
			.filter((target) -> target.isComplete() || runner.holds(target.digest()))
			.reduce((first, second) -> second);
	}

	/**
	 * Advances a runner for which no wanted version can be served yet. It continues to
	 * serve its version only while a replacement is expected, that is, while some version
	 * of the service is selected for this instance.
	 * @param runner the runner
	 * @return the changed runner, never null
	 */
	private RunnerState advanceWithoutTarget(RunnerState runner) {
		RunnerState closed = closeGateIfWithdrawn(runner);
		boolean replacementExpected = isAnyVersionSelected(runner);
		return requestStateIfOutdated((closed.isGateOpen() && !replacementExpected) ? closeGate(closed) : closed,
				POLL_INTERVAL_MILLIS);
	}

	private boolean isAnyVersionSelected(RunnerState runner) {
		PublishedConfiguration configuration = this.state.fleet().configuration();
		for (WeightsVersion version : configuration.versions().values()) {
			if (version.service().equals(runner.service())
					&& VersionSelection.isSelected(configuration, version, this.state.settings().labels())) {
				return true;
			}
		}
		return false;
	}

	private RunnerState closeGateIfWithdrawn(RunnerState runner) {
		if (!runner.isGateOpen()) {
			return runner;
		}
		WeightsVersion version = this.state.fleet().configuration().versions().get(runner.servedVersion().version());
		return (version != null && version.withdrawn()) ? closeGate(runner) : runner;
	}

	private RunnerState advanceTowards(RunnerState runner, TargetVersion target) {
		if (runner.phase() == RunnerState.Phase.LOADING) {
			return runner;
		}
		if (runner.report() == null) {
			return requestStateIfOutdated(runner, 0);
		}
		if (runner.holds(target.digest())) {
			return serve(runner, target);
		}
		if (!target.isComplete() || this.now < runner.notBeforeMillis() || isInGracePeriod(runner)
				|| isFenced(runner)) {
			return requestStateIfOutdated(runner, POLL_INTERVAL_MILLIS);
		}
		if (runner.phase() == RunnerState.Phase.DRAINING || !runner.isGateOpen()) {
			return commandLoad(runner, target);
		}
		if (!SwitchLimiter.canSwitch(this.state, runner, target, this.now)) {
			return requestStateIfOutdated(runner.withBlockedAt(this.now), POLL_INTERVAL_MILLIS);
		}
		return (this.now - runner.blockedAtMillis() < SwitchLimiter.PROPAGATION_DELAY_MILLIS)
				? requestStateIfOutdated(runner, POLL_INTERVAL_MILLIS)
				: closeGate(runner).withPhase(RunnerState.Phase.DRAINING);
	}

	private RunnerState serve(RunnerState runner, TargetVersion target) {
		RunnerState.ServedVersion servedVersion = new RunnerState.ServedVersion(target.id(), target.digest());
		if (servedVersion.equals(runner.servedVersion())) {
			return requestStateIfOutdated(runner, POLL_INTERVAL_MILLIS);
		}
		if (this.now - runner.report().requestedAtMillis() > MAX_REPORT_AGE_MILLIS) {
			return requestStateIfOutdated(runner, MAX_REPORT_AGE_MILLIS);
		}
		return openGate(runner.withPhase(RunnerState.Phase.SETTLED), servedVersion);
	}

	private boolean isInGracePeriod(RunnerState runner) {
		boolean checksFencing = this.state.fleet().configuration().services().get(runner.service()).checksFencing();
		return !checksFencing && this.now - this.state.resumedAtMillis() < GRACE_PERIOD_MILLIS;
	}

	private boolean isFenced(RunnerState runner) {
		return runner.report().fence() > fencingNumber();
	}

	private long fencingNumber() {
		return Fencing.number(this.state.fleet().configuration().version().revision(),
				this.state.settings().startedAtEpochSeconds());
	}

	private RunnerState commandLoad(RunnerState runner, TargetVersion target) {
		if (runner.inProgress() > 0) {
			return runner;
		}
		long requestedAt = runner.report().requestedAtMillis();
		// leaves half of the maximum age for the delivery of the command
		if (this.now - requestedAt > MAX_REPORT_AGE_MILLIS / 2) {
			return requestStateIfOutdated(runner, 0);
		}
		this.effects.add(new RunnersEffect.SendLoadCommand(runner.runner(), target.manifest(), fencingNumber(),
				requestedAt + MAX_REPORT_AGE_MILLIS));
		return runner.withPhase(RunnerState.Phase.LOADING);
	}

	private RunnerState requestStateIfOutdated(RunnerState runner, long maxAgeMillis) {
		boolean outdated = runner.report() == null || this.now - runner.report().requestedAtMillis() >= maxAgeMillis;
		if (runner.stateRequested() || !outdated) {
			return runner;
		}
		this.effects.add(new RunnersEffect.RequestState(runner.runner()));
		return runner.withStateRequested(true);
	}

	private RunnerState openGate(RunnerState runner, RunnerState.ServedVersion servedVersion) {
		this.effects.add(new RunnersEffect.OpenGate(runner.runner(), servedVersion.version(), servedVersion.digest()));
		return runner.withServedVersion(servedVersion);
	}

	RunnerState closeGate(RunnerState runner) {
		if (!runner.isGateOpen()) {
			return runner;
		}
		this.effects.add(new RunnersEffect.CloseGate(runner.runner()));
		return runner.withServedVersion(null);
	}

}
