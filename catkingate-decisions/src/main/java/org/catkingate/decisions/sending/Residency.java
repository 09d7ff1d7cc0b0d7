package org.catkingate.decisions.sending;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.catkingate.model.RegionName;

/**
 * The regions in which a call may be served, from what its route and its client account
 * allow; where both restrict it, both apply. Immutable and safe for use by any thread.
 *
 * @param regions the allowed regions; empty if all are allowed
 * @param contradictory whether the route and the account have no region in common, so
 * that the call can be served nowhere
 * @since 0.1
 */
public record Residency(Set<RegionName> regions, boolean contradictory) {

	private static final Residency ANYWHERE = new Residency(Set.of(), false);

	public Residency {
		regions = Set.copyOf(regions);
	}

	/**
	 * Returns the residency of calls that may be served in any region.
	 * @return the residency, never null
	 */
	public static Residency anywhere() {
		return ANYWHERE;
	}

	/**
	 * Combines what a route and a client account allow.
	 * @param route the regions that the route allows; empty for all
	 * @param account the regions that the account allows; empty for all
	 * @return the residency, never null
	 */
	public static Residency of(Set<RegionName> route, Set<RegionName> account) {
		if (route.isEmpty() && account.isEmpty()) {
			return ANYWHERE;
		}
		if (route.isEmpty() || account.isEmpty()) {
			return new Residency(route.isEmpty() ? account : route, false);
		}
		Set<RegionName> common = new TreeSet<>(route);
		common.retainAll(account);
		return new Residency(common, common.isEmpty());
	}

	/**
	 * Returns whether the call may be served in a region.
	 * @param region the region, empty if it is unknown
	 * @return whether it is allowed; an unknown region only if all are
	 */
	public boolean allows(Optional<RegionName> region) {
		Objects.requireNonNull(region, "region must not be null");
		return isUnrestricted() || region.map(this.regions::contains).orElse(false);
	}

	/**
	 * Returns whether the call may be served in any region.
	 * @return whether neither the route nor the account restricts it
	 */
	public boolean isUnrestricted() {
		return this.regions.isEmpty() && !this.contradictory;
	}

}
