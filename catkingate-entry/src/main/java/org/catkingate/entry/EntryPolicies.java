package org.catkingate.entry;

import java.util.Objects;

import org.catkingate.decisions.retries.RetryPolicy;
import org.catkingate.decisions.routing.RoutingPolicies;
import org.catkingate.decisions.routing.RoutingPolicy;

/**
 * The policies of an entry that a benchmark can replace. Immutable if the routing policy
 * is.
 *
 * @param routing the policy that chooses runners
 * @param retries the policy that decides about retries
 * @param retryBudget whether retries are limited to a share of the first attempts
 * @param seed the seed of all random choices
 * @since 0.1
 */
public record EntryPolicies(RoutingPolicy routing, RetryPolicy retries, boolean retryBudget, long seed) {

	public EntryPolicies {
		Objects.requireNonNull(routing, "routing must not be null");
		Objects.requireNonNull(retries, "retries must not be null");
	}

	/**
	 * Returns the policies that an entry uses in production.
	 * @param seed the seed of all random choices
	 * @return the policies, never null
	 */
	public static EntryPolicies defaults(long seed) {
		return new EntryPolicies(RoutingPolicies.localThenLeastLoaded(), RetryPolicy.defaults(), true, seed);
	}

}
