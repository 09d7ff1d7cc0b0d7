package org.catkingate.decisions.routing;

import java.util.Optional;

/**
 * A policy that chooses a runner for a request. Implementations change no state other
 * than their own and are safe for use by any thread.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface RoutingPolicy {

	/**
	 * Chooses a runner.
	 * @param query the candidates and their known load
	 * @return the runner, or empty if the request may be sent to none
	 */
	Optional<Candidate> choose(RouteQuery query);

}
