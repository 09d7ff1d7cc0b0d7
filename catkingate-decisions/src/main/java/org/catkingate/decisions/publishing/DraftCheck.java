package org.catkingate.decisions.publishing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.catkingate.decisions.sending.Residency;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.ConfigurationDraft;
import org.catkingate.model.registry.RegisteredService;
import org.catkingate.model.registry.Route;

/**
 * The check of a configuration in itself: errors, entries that can never match, and
 * limits that contradict each other. Stateless and safe for use by any thread.
 *
 * @since 0.1
 */
public final class DraftCheck {

	private final List<Finding> findings = new ArrayList<>();

	private final ConfigurationDraft draft;

	private final Map<ServiceName, Integer> runners;

	private DraftCheck(ConfigurationDraft draft, Map<ServiceName, Integer> runners) {
		this.draft = draft;
		this.runners = runners;
	}

	/**
	 * Checks a configuration.
	 * @param draft the configuration
	 * @param inForce the version in force, empty to compare with none
	 * @param runners the number of runners of each service, empty if it is not known
	 * @return the findings, by kind
	 */
	public static List<Finding> check(ConfigurationDraft draft, Optional<ConfigurationDraft> inForce,
			Map<ServiceName, Integer> runners) {
		DraftCheck check = new DraftCheck(draft, Map.copyOf(runners));
		check.findErrors();
		check.findEntriesThatNeverMatch();
		check.findContradictions();
		List<Finding> all = new ArrayList<>(check.findings);
		inForce.ifPresent((previous) -> all.addAll(DraftComparison.compare(previous, draft)));
		return all.stream().sorted((first, second) -> first.kind().compareTo(second.kind())).toList();
	}

	private void add(Finding.Kind kind, String entry, String description) {
		this.findings.add(new Finding(kind, entry, description));
	}

	private void findErrors() {
		this.draft.errors().forEach((error) -> add(Finding.Kind.ERROR, "configuration", error));
		Set<ServiceName> services = this.draft.services()
			.stream()
			.map(RegisteredService::name)
			.collect(Collectors.toSet());
		for (Route route : this.draft.routes()) {
			for (Route.Target target : route.targets()) {
				if (!services.contains(target.service())) {
					add(Finding.Kind.ERROR, "route " + route.name(),
							"service " + target.service() + " is not defined; requests to it are rejected (503)");
				}
				else if (!this.runners.isEmpty() && this.runners.getOrDefault(target.service(), 0) == 0) {
					add(Finding.Kind.ERROR, "route " + route.name(),
							"service " + target.service() + " has no runners; requests to it are rejected (503)");
				}
			}
		}
	}

	private void findEntriesThatNeverMatch() {
		Map<String, Route> first = new HashMap<>();
		for (Route route : this.draft.routes()) {
			Route hiding = first.putIfAbsent(route.host() + route.pathPrefix(), route);
			if (hiding != null) {
				add(Finding.Kind.NEVER_MATCHES, "route " + route.name(),
						"route " + hiding.name() + " has the same host and path prefix and comes first");
			}
			if (route.host().contains(":")) {
				add(Finding.Kind.NEVER_MATCHES, "route " + route.name(),
						"its host has a port, and hosts are compared without one");
			}
			for (Route.Target target : route.targets()) {
				if (target.weight() == 0) {
					add(Finding.Kind.NEVER_MATCHES, "route " + route.name(),
							"service " + target.service() + " has weight 0 and gets no requests");
				}
			}
		}
		Map<String, ConfigurationDraft.Account> holders = new HashMap<>();
		for (ConfigurationDraft.Account account : this.draft.accounts()) {
			String entry = "account " + account.account().name();
			if (account.keys().isEmpty()) {
				add(Finding.Kind.NEVER_MATCHES, entry, "it has no keys");
			}
			int number = 0;
			for (String key : account.keys()) {
				number++;
				ConfigurationDraft.Account holder = holders.put(key, account);
				if (holder != null) {
					add(Finding.Kind.NEVER_MATCHES, "account " + holder.account().name(),
							"a key of it is held again by account " + account.account().name() + " (key " + number
									+ "), which it counts for");
				}
			}
		}
	}

	private void findContradictions() {
		for (Route route : this.draft.routes()) {
			String entry = "route " + route.name();
			if (route.goalMillis() > route.timeoutMillis()) {
				add(Finding.Kind.CONTRADICTION, entry, "the goal of " + route.goalMillis()
						+ " ms is later than the timeout of " + route.timeoutMillis() + " ms");
			}
			for (ConfigurationDraft.Account account : this.draft.accounts()) {
				if (Residency.of(route.allowedRegions(), account.account().allowedRegions()).contradictory()) {
					add(Finding.Kind.CONTRADICTION, entry, "it allows " + new TreeSet<>(route.allowedRegions())
							+ " and account " + account.account().name() + " allows "
							+ new TreeSet<>(account.account().allowedRegions()) + "; its requests are rejected (503)");
				}
			}
			for (Route.Target target : route.targets()) {
				int available = this.runners.getOrDefault(target.service(), 0);
				if (available > 0 && route.maxRunners() > available) {
					add(Finding.Kind.CONTRADICTION, entry, "it allows " + route.maxRunners() + " attempts, but service "
							+ target.service() + " has " + available + " runners");
				}
			}
		}
		this.draft.servicesWithoutColdRate()
			.stream()
			.sorted()
			.forEach((service) -> add(Finding.Kind.CONTRADICTION, "service " + service,
					"its runners are cold after a start, with an allowance of 0; they count as never cold"));
	}

}
