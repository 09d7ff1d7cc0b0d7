package org.catkingate.decisions.routing;

import java.util.Objects;

/**
 * A runner that may take a request. Immutable and safe for use by any thread.
 *
 * @param key the runner
 * @param keyHash the hash of the runner's name, the same in every process
 * @param distance its distance from this process
 * @param reportedLoad the number of requests in its last report, 0 if unknown
 * @param reportedAtMillis the time at which the report was received, in milliseconds of
 * the monotonic clock
 * @since 0.1
 */
public record Candidate(RunnerKey key, long keyHash, Distance distance, int reportedLoad, long reportedAtMillis) {

	public Candidate {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(distance, "distance must not be null");
	}

}
