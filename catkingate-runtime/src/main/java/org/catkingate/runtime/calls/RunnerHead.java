package org.catkingate.runtime.calls;

import java.util.Objects;
import java.util.OptionalInt;

import org.catkingate.model.AccountName;
import org.catkingate.model.RunnerId;

/**
 * The metadata that is sent to a runner in addition to the caller's own headers.
 * Immutable.
 *
 * @param runner the runner that the request is meant for; another runner that has taken
 * over its address rejects the request
 * @param remainingMillis the remaining time to wait for the response, in milliseconds
 * @param account the client account, null for requests without a key
 * @param resumeAfterEvent the event after which the runner is to resume the stream; null
 * to leave this to the caller's headers
 * @param priority the rank of the request in the runner's queue from 0, the most urgent,
 * to 9; empty to leave it to the runner
 * @since 0.1
 */
public record RunnerHead(RunnerId runner, long remainingMillis, AccountName account, Long resumeAfterEvent,
		OptionalInt priority) {

	public RunnerHead {
		Objects.requireNonNull(runner, "runner must not be null");
		Objects.requireNonNull(priority, "priority must not be null");
	}

}
