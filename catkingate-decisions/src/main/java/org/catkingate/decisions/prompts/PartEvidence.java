package org.catkingate.decisions.prompts;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.catkingate.model.prompts.PartReport;
import org.catkingate.model.prompts.RunnerStart;

/**
 * The ends of runners that a part of prompts or a whole request may have caused. An end
 * is added at most once, its weight only grows, and it does not become uncleared again,
 * so that evidence merges in any order. Not safe for use by several threads.
 */
final class PartEvidence {

	/** The number of runners without which a part is not quarantined. */
	private static final int MIN_MOMENTS = 3;

	/** The same if the runners had just begun to write on the part. */
	private static final int MIN_STARTED_MOMENTS = 2;

	/** The same for a part on which runners have written without harm before. */
	private static final int MIN_MOMENTS_IF_CLEARED_BEFORE = 4;

	/** The minimum time between the first and the last of these ends. */
	private static final long MIN_SPAN_IF_CLEARED_BEFORE_MILLIS = 1000;

	/**
	 * Ends that are closer than this may have one cause, such as a failure of a rack, and
	 * count as one.
	 */
	private static final long SAME_MOMENT_MILLIS = 100;

	/** The time after which ends are forgotten that have not led to a quarantine. */
	private static final long VALID_MILLIS = 60_000;

	/** The same for a whole request, which may come again after long. */
	private static final long REQUEST_VALID_MILLIS = 3_600_000;

	/** The duration of a quarantine that is based on fewer than {@link #MIN_MOMENTS}. */
	private static final long SHORT_QUARANTINE_MILLIS = 5_000;

	private static final long QUARANTINE_MILLIS = 120_000;

	private static final int MAX_DOUBLINGS = 5;

	/** The time after which a trial without a result may be repeated. */
	private static final long TRIAL_MILLIS = 10_000;

	private static final int MIN_SUSPECT_WEIGHT = 2;

	/**
	 * The number of runners without which a whole request is not quarantined. Ends at the
	 * same moment count each, since other requests explain a common cause as well.
	 */
	private static final int MIN_REQUEST_ENDS = 3;

	/** The same if the request was the likely cause of each end. */
	private static final int MIN_LIKELY_REQUEST_ENDS = 2;

	/**
	 * The duration of the quarantine of a whole request before it is tried for the only
	 * time. After another end it does not expire.
	 */
	private static final long REQUEST_QUARANTINE_MILLIS = 600_000;

	/** The remaining time of a quarantine that does not expire, as callers see it. */
	private static final long UNLIMITED_QUARANTINE_MILLIS = 3_600_000;

	private final Map<RunnerStart, End> ends = new LinkedHashMap<>();

	private final boolean wholeRequest;

	private boolean clearedBefore;

	private boolean quarantined;

	private boolean suspected;

	private long trialUntilMillis = Long.MIN_VALUE;

	PartEvidence(boolean wholeRequest) {
		this.wholeRequest = wholeRequest;
	}

	boolean add(RunnerStart runner, End end) {
		End known = this.ends.get(runner);
		if (known == null) {
			if (this.ends.size() >= PartReport.MAX_ENDS) {
				if (end.cleared() || this.quarantined) {
					return false;
				}
				this.ends.remove(this.ends.keySet().iterator().next());
			}
			this.ends.put(runner, end);
			return true;
		}
		End merged = new End(known.atMillis(), Math.max(known.weight(), end.weight()),
				known.cleared() || end.cleared());
		this.ends.put(runner, merged);
		return !merged.equals(known);
	}

	boolean clear() {
		boolean changed = !this.clearedBefore || this.ends.values().stream().anyMatch((end) -> !end.cleared());
		this.clearedBefore = true;
		this.ends.replaceAll((runner, end) -> new End(end.atMillis(), end.weight(), true));
		return changed;
	}

	boolean markClearedBefore() {
		boolean changed = !this.clearedBefore;
		this.clearedBefore = true;
		return changed;
	}

	boolean isClearedBefore() {
		return this.clearedBefore;
	}

	Map<RunnerStart, End> ends() {
		return this.ends;
	}

	/*
	 * Removes what is too old. Returns whether nothing is left.
	 */
	boolean prune(long nowMillis) {
		if (!this.quarantined) {
			long valid = this.wholeRequest ? REQUEST_VALID_MILLIS : VALID_MILLIS;
			this.ends.values().removeIf((end) -> nowMillis - end.atMillis() > valid);
		}
		return this.ends.isEmpty();
	}

	/*
	 * Raises the strength of the strongest evidence for each end to that of this part.
	 */
	void addStrength(Map<RunnerStart, Integer> strongest) {
		int strength = strength();
		this.ends.forEach((runner, end) -> {
			if (!end.cleared()) {
				strongest.merge(runner, strength, Math::max);
			}
		});
	}

	/*
	 * A whole request that several runners have ended under explains these ends better
	 * than a part of its prompt. Other requests have the part, too, so that it may be
	 * blamed more for the same ends.
	 */
	private int strength() {
		List<End> uncleared = this.ends.values().stream().filter((end) -> !end.cleared()).toList();
		if (this.wholeRequest && uncleared.size() > 1) {
			return uncleared.size() * PartReport.RunnerEndReport.MAX_WEIGHT + 1;
		}
		return uncleared.stream().mapToInt(End::weight).sum();
	}

	/*
	 * An end that another part explains better does not count against this one.
	 */
	private List<End> counted(Map<RunnerStart, Integer> strongest) {
		int strength = strength();
		return this.ends.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().cleared())
			.filter((entry) -> strongest.getOrDefault(entry.getKey(), 0) <= strength)
			.map(Map.Entry::getValue)
			.toList();
	}

	private static int moments(List<End> counted) {
		long previous = Long.MIN_VALUE / 2;
		int moments = 0;
		for (long at : counted.stream().mapToLong(End::atMillis).sorted().toArray()) {
			if (at - previous > SAME_MOMENT_MILLIS) {
				moments++;
				previous = at;
			}
		}
		return moments;
	}

	/*
	 * Updates the state from the ends that count. Returns the new state, or null if it is
	 * unchanged.
	 */
	PartStateChange.State update(Map<RunnerStart, Integer> strongest) {
		List<End> counted = counted(strongest);
		int moments = moments(counted);
		if (counted.isEmpty()) {
			boolean changed = this.suspected || this.quarantined;
			this.suspected = false;
			this.quarantined = false;
			return changed ? PartStateChange.State.CLEARED : null;
		}
		if (!this.quarantined && isQuarantineDue(counted, moments)) {
			this.quarantined = true;
			this.suspected = true;
			return PartStateChange.State.QUARANTINED;
		}
		boolean likely = this.wholeRequest ? counted.size() > 1
				: (moments > 1 || (!this.clearedBefore && counted.stream().anyMatch(End::isLikely)));
		if (!this.suspected && likely) {
			this.suspected = true;
			return PartStateChange.State.SUSPECTED;
		}
		return null;
	}

	private boolean isQuarantineDue(List<End> counted, int moments) {
		if (this.clearedBefore) {
			return moments >= MIN_MOMENTS_IF_CLEARED_BEFORE && span(counted) >= MIN_SPAN_IF_CLEARED_BEFORE_MILLIS;
		}
		if (this.wholeRequest) {
			return counted.size() >= MIN_REQUEST_ENDS
					|| counted.stream().filter(End::isLikely).count() >= MIN_LIKELY_REQUEST_ENDS;
		}
		return moments >= MIN_MOMENTS
				|| moments(counted.stream().filter(End::isStarted).toList()) >= MIN_STARTED_MOMENTS;
	}

	private static long span(List<End> counted) {
		long first = counted.stream().mapToLong(End::atMillis).min().orElse(0);
		return counted.stream().mapToLong(End::atMillis).max().orElse(0) - first;
	}

	PromptVerdict verdict(String part, Map<RunnerStart, Integer> strongest, long nowMillis) {
		if (!this.quarantined) {
			return this.suspected ? new PromptVerdict(PromptVerdict.Kind.SUSPECTED, part, 0) : PromptVerdict.HARMLESS;
		}
		List<End> counted = counted(strongest);
		if (this.wholeRequest && counted.size() > MIN_REQUEST_ENDS) {
			return new PromptVerdict(PromptVerdict.Kind.QUARANTINED, part, UNLIMITED_QUARANTINE_MILLIS);
		}
		long last = counted.stream().mapToLong(End::atMillis).max().orElse(nowMillis);
		long remaining = Math.max(last + durationMillis(counted), this.trialUntilMillis) - nowMillis;
		return (remaining > 0) ? new PromptVerdict(PromptVerdict.Kind.QUARANTINED, part, remaining)
				: new PromptVerdict(PromptVerdict.Kind.TRIAL_DUE, part, remaining);
	}

	private long durationMillis(List<End> counted) {
		if (this.wholeRequest && counted.size() >= MIN_REQUEST_ENDS) {
			return REQUEST_QUARANTINE_MILLIS;
		}
		int beyond = moments(counted) - (this.clearedBefore ? MIN_MOMENTS_IF_CLEARED_BEFORE : MIN_MOMENTS);
		return (beyond < 0) ? SHORT_QUARANTINE_MILLIS : (QUARANTINE_MILLIS << Math.min(MAX_DOUBLINGS, beyond));
	}

	void startTrial(long nowMillis) {
		this.trialUntilMillis = nowMillis + (this.wholeRequest ? REQUEST_QUARANTINE_MILLIS : TRIAL_MILLIS);
	}

	void cancelTrial() {
		this.trialUntilMillis = Long.MIN_VALUE;
	}

	/*
	 * Whether a request may be sent before the quarantine has expired. After another end
	 * of a runner a whole request is never sent again.
	 */
	boolean allowsEarlyTrial(Map<RunnerStart, Integer> strongest, long nowMillis) {
		return nowMillis >= this.trialUntilMillis
				&& !(this.wholeRequest && counted(strongest).size() > MIN_REQUEST_ENDS);
	}

	/*
	 * Whether the same ends blame both parts, so that nothing tells them apart.
	 */
	boolean isIndistinguishableFrom(PartEvidence other) {
		return other != this && other.quarantined && unclearedRunners().equals(other.unclearedRunners());
	}

	private Set<RunnerStart> unclearedRunners() {
		return this.ends.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().cleared())
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
	}

	boolean isQuarantined() {
		return this.quarantined;
	}

	long lastEndMillis() {
		return this.ends.values().stream().mapToLong(End::atMillis).max().orElse(Long.MIN_VALUE);
	}

	/**
	 * The end of a runner.
	 *
	 * @param atMillis when it ended, in monotonic milliseconds
	 * @param weight as in {@link PartReport.RunnerEndReport}
	 * @param cleared whether a runner has continued to write on the part since
	 */
	record End(long atMillis, int weight, boolean cleared) {

		boolean isLikely() {
			return this.weight >= MIN_SUSPECT_WEIGHT;
		}

		boolean isStarted() {
			return this.weight >= PartReport.RunnerEndReport.MAX_WEIGHT;
		}

	}

}
