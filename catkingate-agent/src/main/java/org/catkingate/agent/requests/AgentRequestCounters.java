package org.catkingate.agent.requests;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of requests since the agent started, by outcome. Safe for use by any thread.
 *
 * @param arrived requests that arrived
 * @param rejected those rejected as not run
 * @param dispatched those sent to a runner
 * @param cancelled those cancelled by their callers
 * @since 0.1
 */
public record AgentRequestCounters(LongAdder arrived, LongAdder rejected, LongAdder dispatched, LongAdder cancelled) {

	static AgentRequestCounters zero() {
		return new AgentRequestCounters(new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder());
	}

}
