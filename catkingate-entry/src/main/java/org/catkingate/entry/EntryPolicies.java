package org.catkingate.entry;

import java.util.Objects;

import org.catkingate.decisions.retries.RetryPolicy;
import org.catkingate.decisions.routing.RoutingPolicies;
import org.catkingate.decisions.routing.RoutingPolicy;

/**
 * The ways to decide that a benchmark can exchange. Immutable if the routing policy is.
 *
 * @param routing chooses runners
 * @param retries decides about further attempts
 * @param retryBudget whether retries are held to a share of first tries
 * @param seed the seed of all random choices
 * @since 0.1
 */
public record EntryPolicies(RoutingPolicy routing, RetryPolicy retries, boolean retryBudget, long seed) {

	public EntryPolicies {
		Objects.requireNonNull(routing, "routing must not be null");
		Objects.requireNonNull(retries, "retries must not be null");
	}

	/**
	 * Returns the product's own ways.
	 * @param seed the seed of all random choices
	 * @return the policies, never null
	 */
	public static EntryPolicies standard(long seed) {
		return new EntryPolicies(RoutingPolicies.localThenLeastLoaded(), RetryPolicy.defaults(), true, seed);
	}

}
