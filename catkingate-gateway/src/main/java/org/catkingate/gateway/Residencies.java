package org.catkingate.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.sending.Residency;
import org.catkingate.model.AccountName;
import org.catkingate.model.RegionName;
import org.catkingate.model.registry.Route;
import org.catkingate.model.registry.ServingConfiguration;

/**
 * The regions in which calls may be served, by the configuration in force, so that a call
 * that arrived before a change is not sent to a region that is not allowed any more. Used
 * by the traffic thread only.
 */
final class Residencies {

	private static final Logger logger = LoggerFactory.getLogger(Residencies.class);

	/** The number of lines in the log for one configuration. */
	private static final int MAX_LOG_LINES = 50;

	private final Map<String, Set<RegionName>> routes = new HashMap<>();

	private final Map<AccountName, Set<RegionName>> accounts = new HashMap<>();

	private final Set<String> logged = new HashSet<>();

	private ServingConfiguration configuration;

	void update(Optional<ServingConfiguration> next) {
		if (next.isEmpty() || next.get() == this.configuration) {
			return;
		}
		this.configuration = next.get();
		this.logged.clear();
		this.routes.clear();
		this.accounts.clear();
		this.configuration.routes().routes().forEach((route) -> this.routes.put(route.name(), route.allowedRegions()));
		this.configuration.accounts()
			.values()
			.forEach((account) -> this.accounts.put(account.name(), account.allowedRegions()));
	}

	/**
	 * Returns where a call may be served now.
	 * @param admitted the call
	 * @return the residency, as it was at the arrival where the configuration has no such
	 * route or account any more
	 */
	Residency of(AdmittedRequest admitted) {
		Route route = admitted.route();
		Set<RegionName> byRoute = this.routes.get(route.name());
		Set<RegionName> byAccount = (admitted.account() != null) ? this.accounts.get(admitted.account()) : Set.of();
		Residency residency = (byRoute != null && byAccount != null) ? Residency.of(byRoute, byAccount)
				: admitted.residency();
		if (residency.contradictory() && this.logged.size() < MAX_LOG_LINES
				&& this.logged.add(route.name() + " " + admitted.account())) {
			logger.atWarn()
				.addKeyValue("event", "residency-empty")
				.addKeyValue("route", route.name())
				.addKeyValue("route-regions", byRoute)
				.addKeyValue("account", admitted.account())
				.addKeyValue("account-regions", byAccount)
				.addKeyValue("id", admitted.head().requestId())
				.log("a route and a client account allow no region in common; the calls are rejected");
		}
		return residency;
	}

}
