package org.catkingate.decisions.routing;

import java.util.Objects;

/**
 * A runner that may take a request. Immutable and safe for use by any thread.
 *
 * @param key the runner
 * @param keyHash a hash of the runner's name, the same in every process
 * @param distance how far it is
 * @param reportedLoad the requests that it had by its last report, 0 if unknown
 * @param reportedAtMillis when the report arrived, in milliseconds of the monotonic clock
 * @since 0.1
 */
public record Candidate(RunnerKey key, long keyHash, Distance distance, int reportedLoad, long reportedAtMillis) {

	public Candidate {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(distance, "distance must not be null");
	}

}
