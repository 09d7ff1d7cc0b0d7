package org.catkingate.runtime.calls;

import java.util.Objects;

import org.catkingate.model.AccountName;
import org.catkingate.model.RunnerId;

/**
 * What is said to a runner beside the caller's own headers. Immutable.
 *
 * @param runner the runner that is meant; any other that has its address refuses
 * @param leftMillis how long the answer is waited for, in milliseconds
 * @param account the client account, null for calls without a key
 * @param afterEvent the event of a stream after which to go on; null to leave that to the
 * caller's headers
 * @since 0.1
 */
public record RunnerHead(RunnerId runner, long leftMillis, AccountName account, Long afterEvent) {

	public RunnerHead {
		Objects.requireNonNull(runner, "runner must not be null");
	}

}
