package org.catkingate.tests.faults;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.catkingate.standins.engine.EngineRun;
import org.catkingate.standins.engine.TokenGenerator;
import org.catkingate.standins.plain.PlainService;
import org.catkingate.tests.harness.Response;

/**
 * A checker that compares the responses that callers received with the runs that the
 * stand-ins recorded and lists every violated guarantee. Not thread-safe.
 */
public final class GuaranteeChecker {

	private final ServingFleet fleet;

	private final List<String> violations = new ArrayList<>();

	private final Map<String, Integer> runsByKey = new TreeMap<>();

	private final Set<String> runLookupPaths = new HashSet<>();

	private final Set<String> runPrompts = new HashSet<>();

	private GuaranteeChecker(ServingFleet fleet) {
		this.fleet = fleet;
	}

	/**
	 * Waits for all responses of a workload and checks them.
	 * @return the violations, empty if all guarantees held
	 */
	public static List<String> findViolations(ServingFleet fleet, Workload workload) throws Exception {
		GuaranteeChecker checker = new GuaranteeChecker(fleet);
		List<Attempt> attempts = workload.awaitAttempts();
		checker.collectRuns();
		attempts.forEach(checker::check);
		checker.checkKeys(attempts);
		return checker.violations;
	}

	/**
	 * Counts the attempts by kind and outcome, for the output of a test.
	 */
	public static Map<String, Long> countByOutcome(Workload workload) {
		return workload.awaitAttempts()
			.stream()
			.collect(Collectors.groupingBy((attempt) -> attempt.kind() + " " + outcome(attempt.response()),
					TreeMap::new, Collectors.counting()));
	}

	private static String outcome(Response response) {
		return response.isOutcomeUnknown() ? "unknown" : Integer.toString(response.status());
	}

	private void collectRuns() throws Exception {
		for (PlainService shop : this.fleet.shops()) {
			shop.runCountsByKey().forEach((key, count) -> this.runsByKey.merge(key, count, Integer::sum));
			this.runLookupPaths.addAll(shop.lookupCountsByPath().keySet());
		}
		for (EngineProcess engine : this.fleet.engines()) {
			engine.awaitIdle();
			engine.runs().forEach(this::check);
		}
		this.runsByKey.forEach((key, count) -> {
			if (count > 1) {
				this.violations.add("purchase " + key + " ran " + count + " times");
			}
		});
	}

	private void check(EngineRun run) {
		this.runPrompts.add(run.prompt());
		if (run.mixed() || !this.fleet.digests().contains(run.digest())) {
			this.violations.add("run from mixed weights: " + run);
		}
	}

	private void check(Attempt attempt) {
		switch (attempt.kind()) {
			case COMPLETION -> checkCompletion(attempt);
			case LOOKUP -> checkLookup(attempt);
			case PURCHASE -> checkPurchase(attempt);
		}
		if (attempt.response().isRejectedNotRun() && attempt.response().retryAfter().isEmpty()) {
			this.violations.add("rejected without Retry-After: " + attempt);
		}
	}

	private void checkCompletion(Attempt attempt) {
		Response response = attempt.response();
		if (response.isSuccessful() && !response.isCompleteStream()) {
			this.violations.add("a truncated stream looks complete: " + attempt);
		}
		else if (response.isSuccessful() && !isTextOfOneVersion(attempt)) {
			this.violations.add("the text is not that of one version for this prompt: " + attempt);
		}
		else if (response.isRejectedNotRun() && this.runPrompts.contains(attempt.name())) {
			this.violations.add("reported as not run, but was run: " + attempt);
		}
	}

	private boolean isTextOfOneVersion(Attempt attempt) {
		return this.fleet.digests()
			.stream()
			.anyMatch((digest) -> TokenGenerator.text(attempt.name(), digest, attempt.tokens())
				.equals(attempt.response().text()));
	}

	private void checkLookup(Attempt attempt) {
		String path = "/lookups/" + attempt.name();
		if (attempt.response().isSuccessful() && !attempt.response().body().contains("\"path\":\"" + path + "\"")) {
			this.violations.add("the response belongs to another request: " + attempt);
		}
		if (attempt.response().isRejectedNotRun() && this.runLookupPaths.contains(path)) {
			this.violations.add("reported as not run, but was run: " + attempt);
		}
	}

	private void checkPurchase(Attempt attempt) {
		Response response = attempt.response();
		if (response.isSuccessful() && !response.body().contains("\"body\":\"item of " + attempt.name() + "\"")) {
			this.violations.add("the response belongs to another request: " + attempt);
		}
		if (response.isSuccessful() && this.runsByKey.getOrDefault(attempt.name(), 0) != 1) {
			this.violations.add("successful, but ran " + this.runsByKey.get(attempt.name()) + " times: " + attempt);
		}
	}

	private void checkKeys(List<Attempt> attempts) {
		Map<String, List<Response>> byKey = attempts.stream()
			.filter((attempt) -> attempt.kind() == Attempt.Kind.PURCHASE)
			.collect(Collectors.groupingBy(Attempt::name, Collectors.mapping(Attempt::response, Collectors.toList())));
		byKey.forEach((key, responses) -> {
			if (responses.stream().allMatch(Response::isRejectedNotRun) && this.runsByKey.containsKey(key)) {
				this.violations.add("every attempt with key " + key + " was reported as not run, but it ran");
			}
			if (responses.stream().filter(Response::isSuccessful).map(Response::body).distinct().count() > 1) {
				this.violations.add("repeats with key " + key + " got different responses");
			}
		});
	}

}
