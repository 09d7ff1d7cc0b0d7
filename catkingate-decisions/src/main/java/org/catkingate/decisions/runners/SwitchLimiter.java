package org.catkingate.decisions.runners;

import java.util.Comparator;
import java.util.List;

import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.decisions.distribution.VersionSelection;
import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.decisions.membership.MembershipTimes;
import org.catkingate.model.InstanceId;
import org.catkingate.model.RunnerId;
import org.catkingate.model.RunnerStatus;
import org.catkingate.model.published.Service;

/**
 * The limit on the number of runners of a service that switch at the same time, enforced
 * without coordination. All agents rank the runners for a version in the same way, and a
 * runner switches when fewer runners than the limit are pending before it. Runners
 * without a known status count as pending, but only for a bounded time for each group of
 * the size of the limit, so that a lost runner does not block the others permanently.
 * Stateless and safe for use by any thread.
 */
final class SwitchLimiter {

	/**
	 * The time for which a group of runners without a known status is waited for, in
	 * milliseconds.
	 */
	static final long GROUP_TIMEOUT_MILLIS = 20_000;

	/**
	 * The time that a runner waits after it was last blocked, in milliseconds. Each entry
	 * is notified over its own connection that the gate of the previous runner is open,
	 * at the latest with the next heartbeat.
	 */
	static final long PROPAGATION_DELAY_MILLIS = MembershipTimes.HEARTBEAT_MILLIS;

	private static final int PERCENT = 100;

	private SwitchLimiter() {
	}

	static boolean canSwitch(RunnersState state, RunnerState runner, TargetVersion target, long now) {
		Service service = state.fleet().configuration().services().get(runner.service());
		if (service == null) {
			return false;
		}
		InstanceId own = state.settings().instance();
		long ownScore = score(target, own, runner.runner());
		int runnerCount = state.settings().services().size();
		int pendingBefore = 0;
		for (AgentView agent : otherSelectedAgents(state.fleet(), target, own)) {
			List<RunnerStatus> statuses = statuses(agent, service);
			runnerCount += Math.max(1, statuses.size());
			pendingBefore += countPendingBefore(agent, statuses, target, ownScore);
		}
		pendingBefore += countOwnPendingBefore(state, runner, target, ownScore);
		int limit = Math.max(1, runnerCount * service.switchingSharePercent() / PERCENT);
		return pendingBefore < limit || now - target.completeAtMillis() >= pendingBefore / limit * GROUP_TIMEOUT_MILLIS;
	}

	private static List<AgentView> otherSelectedAgents(FleetSnapshot fleet, TargetVersion target, InstanceId own) {
		return fleet.agents()
			.values()
			.stream()
			.filter((agent) -> !agent.instance().id().equals(own))
			.filter((agent) -> !agent.draining() && !agent.instance().leaving())
			.filter((agent) -> VersionSelection.isSelected(fleet.configuration(), target.version(),
					agent.instance().labels()))
			.sorted(Comparator.comparing((agent) -> agent.instance().id()))
			.toList();
	}

	private static List<RunnerStatus> statuses(AgentView agent, Service service) {
		return agent.runners().stream().filter((status) -> status.service().equals(service.name())).toList();
	}

	private static int countPendingBefore(AgentView agent, List<RunnerStatus> statuses, TargetVersion target,
			long ownScore) {
		if (statuses.isEmpty()) {
			return (score(target, agent.instance().id(), null) < ownScore) ? 1 : 0;
		}
		int count = 0;
		for (RunnerStatus status : statuses) {
			boolean done = status.admitting() && target.digest().equals(status.digest());
			boolean switching = !status.admitting();
			boolean earlier = score(target, agent.instance().id(), status.runner()) < ownScore;
			count += (!done && (switching || earlier)) ? 1 : 0;
		}
		return count;
	}

	private static int countOwnPendingBefore(RunnersState state, RunnerState runner, TargetVersion target,
			long ownScore) {
		int count = 0;
		for (RunnerState candidate : state.runners().values()) {
			boolean isOtherOfSameService = candidate.service().equals(runner.service())
					&& !candidate.runner().equals(runner.runner());
			boolean done = candidate.isGateOpen() && target.digest().equals(candidate.servedVersion().digest());
			boolean switching = candidate.phase() != RunnerState.Phase.SETTLED;
			boolean earlier = score(target, state.settings().instance(), candidate.runner()) < ownScore;
			count += (isOtherOfSameService && !done && (switching || earlier)) ? 1 : 0;
		}
		return count;
	}

	private static long score(TargetVersion target, InstanceId instance, RunnerId runner) {
		return RendezvousHashing.hash(target.id() + " " + instance + " " + runner);
	}

}
