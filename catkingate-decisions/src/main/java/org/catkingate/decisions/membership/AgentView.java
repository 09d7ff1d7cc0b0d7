package org.catkingate.decisions.membership;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.InstanceRecord;
import org.catkingate.model.RunnerStatus;

/**
 * The state of one agent as this process sees it. Immutable and safe for use by any
 * thread.
 *
 * @param instance the record of its instance from the instance list of the platform
 * @param incarnation the incarnation that the agent has proved on its connection; 0 while
 * no connection to it is open
 * @param reachable whether a connection to the agent is open and verified
 * @param draining whether the agent or the platform has announced that the agent is
 * leaving
 * @param runners the runners that the agent last announced
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
	 * Returns whether new requests may be sent to the agent.
	 * @return whether it is reachable and not draining
	 */
	public boolean canAcceptRequests() {
		return this.reachable && !this.draining;
	}

}
