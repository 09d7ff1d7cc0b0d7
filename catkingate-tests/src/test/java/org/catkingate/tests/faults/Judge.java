package org.catkingate.tests.faults;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.catkingate.standins.engine.EngineRun;
import org.catkingate.standins.engine.Tokens;
import org.catkingate.standins.plain.Plain;
import org.catkingate.tests.harness.Answer;

/**
 * Compares what callers were told with what the stand-ins ran, and lists every breach of
 * a promise. For use by one thread.
 */
public final class Judge {

	private final TestFleet fleet;

	private final List<String> breaches = new ArrayList<>();

	private final Map<String, Integer> purchases = new TreeMap<>();

	private final Set<String> lookups = new HashSet<>();

	private final Set<String> prompts = new HashSet<>();

	private Judge(TestFleet fleet) {
		this.fleet = fleet;
	}

	/**
	 * Judges a workload that has ended.
	 * @return the breaches, none if all promises held
	 */
	public static List<String> breaches(TestFleet fleet, Workload workload) throws Exception {
		Judge judge = new Judge(fleet);
		List<Attempt> attempts = workload.finish();
		judge.gather();
		attempts.forEach(judge::judge);
		judge.judgeKeys(attempts);
		return judge.breaches;
	}

	/**
	 * Counts the attempts by kind and outcome, for the output of a test.
	 */
	public static Map<String, Long> summary(Workload workload) {
		return workload.finish()
			.stream()
			.collect(Collectors.groupingBy((attempt) -> attempt.kind() + " " + outcome(attempt.answer()), TreeMap::new,
					Collectors.counting()));
	}

	private static String outcome(Answer answer) {
		return answer.isOutcomeUnknown() ? "unknown" : Integer.toString(answer.status());
	}

	private void gather() throws Exception {
		for (Plain shop : this.fleet.shops()) {
			shop.runsByKey().forEach((key, count) -> this.purchases.merge(key, count, Integer::sum));
			this.lookups.addAll(shop.lookups().keySet());
		}
		for (EngineProcess engine : this.fleet.engines()) {
			engine.awaitIdle();
			engine.runs().forEach(this::judge);
		}
		this.purchases.forEach((key, count) -> {
			if (count > 1) {
				this.breaches.add("purchase " + key + " ran " + count + " times");
			}
		});
	}

	private void judge(EngineRun run) {
		this.prompts.add(run.prompt());
		if (run.mixed() || !this.fleet.digests().contains(run.digest())) {
			this.breaches.add("run from mixed weights: " + run);
		}
	}

	private void judge(Attempt attempt) {
		switch (attempt.kind()) {
			case COMPLETION -> judgeCompletion(attempt);
			case LOOKUP -> judgeLookup(attempt);
			case PURCHASE -> judgePurchase(attempt);
		}
		if (attempt.answer().isRefusedNotRun() && attempt.answer().retryAfter().isEmpty()) {
			this.breaches.add("refused without Retry-After: " + attempt);
		}
	}

	private void judgeCompletion(Attempt attempt) {
		Answer answer = attempt.answer();
		if (answer.isWhole() && !answer.isWholeStream()) {
			this.breaches.add("a cut looks like an end: " + attempt);
		}
		else if (answer.isWhole() && !isTextOfAVersion(attempt)) {
			this.breaches.add("the answer is not that of one version to this prompt: " + attempt);
		}
		else if (answer.isRefusedNotRun() && this.prompts.contains(attempt.name())) {
			this.breaches.add("said to be not run, but was: " + attempt);
		}
	}

	private boolean isTextOfAVersion(Attempt attempt) {
		return this.fleet.digests()
			.stream()
			.anyMatch(
					(digest) -> Tokens.text(attempt.name(), digest, attempt.tokens()).equals(attempt.answer().text()));
	}

	private void judgeLookup(Attempt attempt) {
		String path = "/lookups/" + attempt.name();
		if (attempt.answer().isWhole() && !attempt.answer().body().contains("\"path\":\"" + path + "\"")) {
			this.breaches.add("the answer is another's: " + attempt);
		}
		if (attempt.answer().isRefusedNotRun() && this.lookups.contains(path)) {
			this.breaches.add("said to be not run, but was: " + attempt);
		}
	}

	private void judgePurchase(Attempt attempt) {
		Answer answer = attempt.answer();
		if (answer.isWhole() && !answer.body().contains("\"body\":\"item of " + attempt.name() + "\"")) {
			this.breaches.add("the answer is another's: " + attempt);
		}
		if (answer.isWhole() && this.purchases.getOrDefault(attempt.name(), 0) != 1) {
			this.breaches.add("answered, but ran " + this.purchases.get(attempt.name()) + " times: " + attempt);
		}
	}

	private void judgeKeys(List<Attempt> attempts) {
		Map<String, List<Answer>> byKey = attempts.stream()
			.filter((attempt) -> attempt.kind() == Attempt.Kind.PURCHASE)
			.collect(Collectors.groupingBy(Attempt::name, Collectors.mapping(Attempt::answer, Collectors.toList())));
		byKey.forEach((key, answers) -> {
			if (answers.stream().allMatch(Answer::isRefusedNotRun) && this.purchases.containsKey(key)) {
				this.breaches.add("every attempt of " + key + " was said to be not run, but it ran");
			}
			if (answers.stream().filter(Answer::isWhole).map(Answer::body).distinct().count() > 1) {
				this.breaches.add("repeats of " + key + " got different answers");
			}
		});
	}

}
