package org.catkingate.model.registry;

import java.util.Objects;
import java.util.Set;

import org.catkingate.model.AccountName;
import org.catkingate.model.RegionName;

/**
 * A client account published in the registry. Immutable and safe for use by any thread.
 *
 * @param name the name
 * @param priority the priority of its calls, which takes precedence over the priority of
 * the route; 0 is the most urgent
 * @param allowedRegions the regions in which its calls may be served; empty if all are
 * allowed
 * @since 0.1
 */
public record RegisteredAccount(AccountName name, int priority, Set<RegionName> allowedRegions) {

	public RegisteredAccount {
		Objects.requireNonNull(name, "name must not be null");
		allowedRegions = Set.copyOf(allowedRegions);
	}

}
