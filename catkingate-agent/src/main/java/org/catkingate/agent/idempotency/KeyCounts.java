package org.catkingate.agent.idempotency;

import java.util.concurrent.atomic.LongAdder;

/**
 * What has become of calls with a key since the agent started. Safe for use by any
 * thread.
 *
 * @param started calls that were started
 * @param replayed repeats that got the answer of the attempt that ran
 * @param rejected attempts that were refused as not run
 * @param unknown repeats whose outcome could not be told
 * @since 0.1
 */
public record KeyCounts(LongAdder started, LongAdder replayed, LongAdder rejected, LongAdder unknown) {

	static KeyCounts zero() {
		return new KeyCounts(new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder());
	}

}
