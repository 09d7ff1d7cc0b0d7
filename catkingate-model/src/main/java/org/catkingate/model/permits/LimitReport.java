package org.catkingate.model.permits;

import java.util.Objects;

import org.catkingate.model.prompts.RunnerStart;

/**
 * A runner's statement of how many requests a second it takes from all gateways together,
 * as one gateway tells it to another. It was made between the sending of a request and
 * the receipt of its response. Immutable and safe for use by any thread.
 *
 * @param runner the start of the runner
 * @param requestsPerSecond the limit, {@link Double#POSITIVE_INFINITY} for none
 * @param requestedAgeMillis the time since the request was sent, in milliseconds
 * @param receivedAgeMillis the time since the response arrived, in milliseconds
 * @since 0.1
 */
public record LimitReport(RunnerStart runner, double requestsPerSecond, long requestedAgeMillis,
		long receivedAgeMillis) {

	/** The maximum length of a runner's identifier, in characters. */
	private static final int MAX_RUNNER_LENGTH = 200;

	public LimitReport {
		Objects.requireNonNull(runner, "runner must not be null");
		if (runner.runner().value().length() > MAX_RUNNER_LENGTH) {
			throw new IllegalArgumentException("the identifier of the runner is too long");
		}
		if (!(requestsPerSecond >= 0)) {
			throw new IllegalArgumentException("requestsPerSecond must not be negative");
		}
		if (receivedAgeMillis < 0 || requestedAgeMillis < receivedAgeMillis) {
			throw new IllegalArgumentException("a request must be at least as old as its response");
		}
	}

}
