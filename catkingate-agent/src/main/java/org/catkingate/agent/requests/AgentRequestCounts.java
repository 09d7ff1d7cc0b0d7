package org.catkingate.agent.requests;

import java.util.concurrent.atomic.LongAdder;

/**
 * What has become of requests since the agent started. Safe for use by any thread.
 *
 * @param arrived requests that arrived
 * @param rejected those refused as not run
 * @param dispatched those sent to a runner
 * @param cancelled those whose caller left
 * @since 0.1
 */
public record AgentRequestCounts(LongAdder arrived, LongAdder rejected, LongAdder dispatched, LongAdder cancelled) {

	static AgentRequestCounts zero() {
		return new AgentRequestCounts(new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder());
	}

}
