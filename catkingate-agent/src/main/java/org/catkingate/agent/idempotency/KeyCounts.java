package org.catkingate.agent.idempotency;

import java.util.concurrent.atomic.LongAdder;

/**
 * Number of calls with a key since the agent started, by outcome. Safe for use by any
 * thread.
 *
 * @param started calls that were started
 * @param replayed repeats that received the response of the attempt that ran
 * @param rejected attempts that were rejected as not run
 * @param unknown repeats whose outcome is unknown
 * @since 0.1
 */
public record KeyCounts(LongAdder started, LongAdder replayed, LongAdder rejected, LongAdder unknown) {

	static KeyCounts zero() {
		return new KeyCounts(new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder());
	}

}
