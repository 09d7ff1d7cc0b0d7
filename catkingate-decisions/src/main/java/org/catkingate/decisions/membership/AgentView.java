package org.catkingate.decisions.membership;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.InstanceRecord;
import org.catkingate.model.RunnerStatus;

/**
 * What this process knows of one agent. Immutable and safe for use by any thread.
 *
 * @param instance the platform's record of its instance
 * @param incarnation the incarnation that the agent proved, 0 before any connection
 * @param reachable whether a connection is open and has not gone silent
 * @param draining whether the agent or the platform says that it is leaving
 * @param runners its runners, as it announced them last
 * @param loads the load of each runner as last reported, in the order of the runners;
 * empty if unknown
 * @param loadsAtMillis when the loads arrived, in milliseconds of the monotonic clock
 * @since 0.1
 */
public record AgentView(InstanceRecord instance, long incarnation, boolean reachable, boolean draining,
		List<RunnerStatus> runners, List<Integer> loads, long loadsAtMillis) {

	public AgentView {
		Objects.requireNonNull(instance, "instance must not be null");
		runners = List.copyOf(runners);
		loads = List.copyOf(loads);
	}

	/**
	 * Tells whether new work may be sent to the agent.
	 * @return whether it is reachable and not leaving
	 */
	public boolean takesWork() {
		return this.reachable && !this.draining;
	}

}
