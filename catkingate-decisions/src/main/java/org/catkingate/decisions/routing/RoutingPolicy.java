package org.catkingate.decisions.routing;

import java.util.Optional;

/**
 * Chooses one of the candidates. Implementations have no side effects outside themselves
 * and are safe for use by any thread.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface RoutingPolicy {

	/**
	 * Chooses a runner.
	 * @param query the candidates and what is known of them
	 * @return the runner, or empty if there is none that the request may go to
	 */
	Optional<Candidate> choose(RouteQuery query);

}
