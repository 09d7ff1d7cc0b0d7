package org.catkingate.model.registry;

/**
 * The behaviour of the runners of a service after a start: for a while they tolerate only
 * a low rate of requests. Immutable and safe for use by any thread.
 *
 * @param durationMillis the time after a start for which a runner is cold, in
 * milliseconds
 * @param requestsPerSecond the requests a second that a cold runner tolerates from all
 * gateways together
 * @since 0.1
 */
public record ColdStart(long durationMillis, double requestsPerSecond) {

	public ColdStart {
		if (durationMillis < 0 || !(requestsPerSecond > 0)) {
			throw new IllegalArgumentException(
					"the duration of a cold start must not be negative, and its rate must be positive");
		}
	}

}
