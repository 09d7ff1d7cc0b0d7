package org.catkingate.decisions.publishing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;

import org.catkingate.model.registry.ConfigurationDraft;
import org.catkingate.model.registry.RegisteredAccount;
import org.catkingate.model.registry.RegisteredService;
import org.catkingate.model.registry.Route;

/**
 * The comparison of a configuration with the version in force, entry by entry. Used
 * within one check.
 */
final class DraftComparison {

	private final List<Finding> findings = new ArrayList<>();

	private DraftComparison() {
	}

	static List<Finding> compare(ConfigurationDraft before, ConfigurationDraft after) {
		DraftComparison comparison = new DraftComparison();
		comparison.compareVersions(before, after);
		comparison.compareEntries("route", before.routes(), after.routes(), Route::name,
				"its requests get 404 unless another route matches", comparison::compareRoutes);
		comparison.compareEntries("service", before.services(), after.services(), RegisteredService::name,
				"requests to it are rejected (503)", comparison::compareServices);
		comparison.compareEntries("account", before.accounts(), after.accounts(), (account) -> account.account().name(),
				"its requests get 401", comparison::compareAccounts);
		comparison.compareKeys(before, after);
		return comparison.findings;
	}

	private void change(String entry, String description) {
		this.findings.add(new Finding(Finding.Kind.CHANGE, entry, description));
	}

	private void compareVersions(ConfigurationDraft before, ConfigurationDraft after) {
		long inForce = before.version().orElse(0L);
		after.version()
			.filter((version) -> version <= inForce)
			.ifPresent((version) -> this.findings.add(new Finding(Finding.Kind.ERROR, "configuration",
					"version " + version + " is not higher than version " + inForce + ", which is in force")));
	}

	private <T> void compareEntries(String kind, List<T> before, List<T> after, Function<T, Object> name,
			String effectOfRemoval, BiConsumer<T, T> comparison) {
		Map<Object, T> previous = byName(before, name);
		Map<Object, T> next = byName(after, name);
		previous.keySet()
			.stream()
			.filter((entry) -> !next.containsKey(entry))
			.forEach((entry) -> change(kind + " " + entry, "removed; " + effectOfRemoval));
		next.forEach((entry, value) -> {
			if (previous.containsKey(entry)) {
				comparison.accept(previous.get(entry), value);
			}
			else {
				change(kind + " " + entry, "added");
			}
		});
	}

	private static <T> Map<Object, T> byName(List<T> entries, Function<T, Object> name) {
		Map<Object, T> byName = new LinkedHashMap<>();
		entries.forEach((entry) -> byName.putIfAbsent(name.apply(entry), entry));
		return byName;
	}

	private void compareRoutes(Route before, Route after) {
		String entry = "route " + after.name();
		if (!before.host().equals(after.host()) || !before.pathPrefix().equals(after.pathPrefix())) {
			change(entry, "moved from " + before.host() + before.pathPrefix() + " to " + after.host()
					+ after.pathPrefix() + "; requests to the former get 404 unless another route matches");
		}
		compareValues(entry, "targets", targets(before), targets(after));
		compareValues(entry, "kind", before.kind(), after.kind());
		compareValues(entry, "timeout in ms", before.timeoutMillis(), after.timeoutMillis());
		compareValues(entry, "goal in ms", before.goalMillis(), after.goalMillis());
		compareValues(entry, "priority", before.priority(), after.priority());
		compareValues(entry, "attempts", before.maxRunners(), after.maxRunners());
		compareValues(entry, "requests without a key", before.allowsAnonymousCalls(), after.allowsAnonymousCalls());
		compareValues(entry, "resumption", before.resumable(), after.resumable());
		compareValues(entry, "allowed regions", before.allowedRegions(), after.allowedRegions());
	}

	private static String targets(Route route) {
		List<String> targets = new ArrayList<>();
		route.targets().forEach((target) -> targets.add(target.service() + ":" + target.weight()));
		return String.join(" ", targets);
	}

	private void compareServices(RegisteredService before, RegisteredService after) {
		String entry = "service " + after.name();
		compareValues(entry, "connections", before.maxConnections(), after.maxConnections());
		compareValues(entry, "cold start", before.coldStart(), after.coldStart());
		compareValues(entry, "origin of weights", before.origin(), after.origin());
		if (!before.engine().equals(after.engine())) {
			change(entry, "the engine changes; predictions and admission change with it");
		}
	}

	private void compareAccounts(ConfigurationDraft.Account before, ConfigurationDraft.Account after) {
		RegisteredAccount account = after.account();
		compareValues("account " + account.name(), "priority", before.account().priority(), account.priority());
		compareValues("account " + account.name(), "allowed regions", before.account().allowedRegions(),
				account.allowedRegions());
	}

	private void compareValues(String entry, String name, Object before, Object after) {
		if (!Objects.equals(before, after)) {
			change(entry, name + ": " + describe(before) + " becomes " + describe(after));
		}
	}

	private static String describe(Object value) {
		return (value instanceof Set<?> set)
				? (set.isEmpty() ? "all" : set.stream().map(String::valueOf).sorted().toList().toString())
				: String.valueOf(value);
	}

	private void compareKeys(ConfigurationDraft before, ConfigurationDraft after) {
		Map<String, String> holders = new HashMap<>();
		after.accounts()
			.forEach((account) -> account.keys()
				.forEach((key) -> holders.put(key, account.account().name().toString())));
		for (ConfigurationDraft.Account account : before.accounts()) {
			String name = account.account().name().toString();
			Set<String> keys = new LinkedHashSet<>(account.keys());
			long revoked = keys.stream().filter((key) -> !holders.containsKey(key)).count();
			if (revoked > 0) {
				change("account " + name,
						"keys revoked: " + revoked + " of " + keys.size() + "; requests with them get 401");
			}
			keys.stream()
				.map(holders::get)
				.filter((holder) -> holder != null && !holder.equals(name))
				.distinct()
				.sorted()
				.forEach((holder) -> change("account " + name, "a key moves to account " + holder));
		}
	}

}
