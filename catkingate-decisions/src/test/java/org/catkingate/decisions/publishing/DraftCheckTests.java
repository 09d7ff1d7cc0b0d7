package org.catkingate.decisions.publishing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

import org.catkingate.model.AccountName;
import org.catkingate.model.RegionName;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.CallKind;
import org.catkingate.model.registry.ConfigurationDraft;
import org.catkingate.model.registry.RegisteredAccount;
import org.catkingate.model.registry.RegisteredService;
import org.catkingate.model.registry.Route;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link DraftCheck}, with an approved text for each kind of finding.
 */
class DraftCheckTests {

	private static final ServiceName SONGS = new ServiceName("songs");

	private static final RegisteredService SERVICE = new RegisteredService(SONGS, 100, Optional.empty(),
			Optional.empty(), Optional.empty());

	private static Route route(String name, String prefix, long goalMillis, int attempts, Set<RegionName> regions,
			Route.Target... targets) {
		return new Route(name, "songs.example", prefix, CallKind.IDEMPOTENT, false, false, 3000, goalMillis, 1,
				attempts, List.of(targets), Long.MAX_VALUE, regions);
	}

	private static Route route(String name, String prefix) {
		return route(name, prefix, 500, 2, Set.of(), new Route.Target(SONGS, 1));
	}

	private static ConfigurationDraft.Account account(String name, Set<RegionName> regions, String... keys) {
		return new ConfigurationDraft.Account(new RegisteredAccount(new AccountName(name), 0, regions), List.of(keys));
	}

	private static ConfigurationDraft draft(long version, List<Route> routes,
			List<ConfigurationDraft.Account> accounts) {
		return new ConfigurationDraft(Optional.of(version), routes, List.of(SERVICE), accounts, Set.of(), List.of());
	}

	private static String text(List<Finding> findings) {
		return findings.stream().map(Finding::toString).collect(Collectors.joining("\n"));
	}

	// Guards against a check that finds faults in a sound configuration.
	@Test
	void findsNothingInASoundConfiguration() {
		ConfigurationDraft draft = draft(8, List.of(route("all", "/"), route("songs", "/songs/")),
				List.of(account("bar-1", Set.of(), "key1", "key2")));
		assertThat(DraftCheck.check(draft, Optional.empty(), Map.of(SONGS, 4))).isEmpty();
		assertThat(DraftCheck.check(draft, Optional.of(draft(7, draft.routes(), draft.accounts())), Map.of()))
			.isEmpty();
	}

	// Guards against a configuration that gateways reject or that rejects all requests.
	@Test
	void errorsMatchTheApprovedText() {
		ConfigurationDraft draft = new ConfigurationDraft(Optional.of(7L),
				List.of(route("a", "/a/", 500, 1, Set.of(), new Route.Target(new ServiceName("lyrics"), 1)),
						route("b", "/b/")),
				List.of(SERVICE), List.of(), Set.of(), List.of("Routes entry 3 (c): field Type must be known"));
		Approvals
			.verify(text(DraftCheck.check(draft, Optional.of(draft(7, draft.routes(), List.of())), Map.of(SONGS, 0))));
	}

	// Guards against entries that their author takes for effective.
	@Test
	void entriesThatNeverMatchMatchTheApprovedText() {
		ConfigurationDraft draft = draft(8,
				List.of(route("a", "/a/"), route("again", "/a/"),
						route("b", "/b/", 500, 1, Set.of(), new Route.Target(SONGS, 1), new Route.Target(SONGS, 0))),
				List.of(account("bar-1", Set.of(), "key1"), account("bar-2", Set.of(), "key2", "key1"),
						account("bar-3", Set.of())));
		Approvals.verify(text(DraftCheck.check(draft, Optional.empty(), Map.of())));
	}

	// Guards against limits of which one makes the other impossible.
	@Test
	void contradictionsMatchTheApprovedText() {
		RegionName north = new RegionName("north");
		RegionName south = new RegionName("south");
		ConfigurationDraft draft = new ConfigurationDraft(Optional.of(8L),
				List.of(route("late", "/a/", 3001, 1, Set.of(), new Route.Target(SONGS, 1)),
						route("resident", "/b/", 500, 3, Set.of(north), new Route.Target(SONGS, 1))),
				List.of(SERVICE), List.of(account("bar-1", Set.of(south), "key1"), account("bar-2", Set.of(), "key2")),
				Set.of(SONGS), List.of());
		Approvals.verify(text(DraftCheck.check(draft, Optional.empty(), Map.of(SONGS, 2))));
	}

	// Guards against keys that are revoked and routes that move without notice, and
	// against keys in the output.
	@Test
	void changesMatchTheApprovedText() {
		ConfigurationDraft before = draft(7, List.of(route("a", "/a/"), route("gone", "/gone/")),
				List.of(account("bar-1", Set.of(), "key1", "key2", "key3"), account("bar-2", Set.of(), "key4")));
		ConfigurationDraft after = draft(8,
				List.of(route("a", "/moved/", 400, 1, Set.of(new RegionName("north")), new Route.Target(SONGS, 2)),
						route("new", "/new/")),
				List.of(account("bar-1", Set.of(), "key1"), account("bar-3", Set.of(), "key2")));
		String text = text(DraftCheck.check(after, Optional.of(before), Map.of()));
		assertThat(text).doesNotContain("key1", "key2", "key3", "key4");
		Approvals.verify(text);
	}

}
