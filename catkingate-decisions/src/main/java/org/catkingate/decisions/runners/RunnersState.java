package org.catkingate.decisions.runners;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.RunnerId;
import org.catkingate.model.RunnerStatus;
import org.catkingate.model.VersionId;

/**
 * The state of the runners of one agent. Immutable and safe for use by any thread.
 *
 * @since 0.1
 */
public final class RunnersState {

	private final RunnersSettings settings;

	private final FleetSnapshot fleet;

	private final Map<RunnerId, RunnerState> runners;

	private final Map<VersionId, TargetVersion> targets;

	private final long tickedAtMillis;

	private final long resumedAtMillis;

	RunnersState(RunnersSettings settings, FleetSnapshot fleet, Map<RunnerId, RunnerState> runners,
			Map<VersionId, TargetVersion> targets, long tickedAtMillis, long resumedAtMillis) {
		this.settings = Objects.requireNonNull(settings, "settings must not be null");
		this.fleet = Objects.requireNonNull(fleet, "fleet must not be null");
		this.runners = Collections.unmodifiableMap(runners);
		this.targets = Collections.unmodifiableMap(targets);
		this.tickedAtMillis = tickedAtMillis;
		this.resumedAtMillis = resumedAtMillis;
	}

	/**
	 * Returns the state of an agent that has just started: all gates are closed.
	 * @param settings the settings of the runners
	 * @return the state, never null
	 */
	public static RunnersState initial(RunnersSettings settings) {
		Map<RunnerId, RunnerState> runners = new TreeMap<>();
		settings.services().forEach((runner, service) -> runners.put(runner, RunnerState.initial(runner, service)));
		return new RunnersState(settings, FleetSnapshot.empty(), runners, Map.of(), -1, -1);
	}

	RunnersSettings settings() {
		return this.settings;
	}

	FleetSnapshot fleet() {
		return this.fleet;
	}

	Map<RunnerId, RunnerState> runners() {
		return this.runners;
	}

	Map<VersionId, TargetVersion> targets() {
		return this.targets;
	}

	long tickedAtMillis() {
		return this.tickedAtMillis;
	}

	long resumedAtMillis() {
		return this.resumedAtMillis;
	}

	/**
	 * Returns whether no step is due until the next event changes the state.
	 * @return whether every runner serves, or there is nothing to serve
	 */
	public boolean isSettled() {
		return this.runners.values()
			.stream()
			.allMatch((runner) -> runner.phase() == RunnerState.Phase.SETTLED
					&& (runner.isGateOpen() || this.targets.isEmpty()));
	}

	/**
	 * Returns the status of each runner, for other processes.
	 * @return the statuses in the order of the runners' names
	 */
	public List<RunnerStatus> statuses() {
		return this.runners.values().stream().map(RunnersState::status).toList();
	}

	private static RunnerStatus status(RunnerState runner) {
		RunnerState.ServedVersion servedVersion = runner.servedVersion();
		if (servedVersion != null) {
			return new RunnerStatus(runner.runner(), runner.service(), servedVersion.version(), servedVersion.digest(),
					true);
		}
		return new RunnerStatus(runner.runner(), runner.service(), null,
				(runner.report() != null) ? runner.report().digest() : null, false);
	}

}
