package org.catkingate.decisions.prompts;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.catkingate.model.prompts.PartReport;
import org.catkingate.model.prompts.RunnerStart;

/**
 * The ends of runners that a part may have caused. An end is added at most once, its
 * weight only grows, and it does not become uncleared again, so that evidence merges in
 * any order. Not safe for use by several threads.
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

	/** The duration of a quarantine that is based on fewer than {@link #MIN_MOMENTS}. */
	private static final long SHORT_QUARANTINE_MILLIS = 5_000;

	private static final long QUARANTINE_MILLIS = 120_000;

	private static final int MAX_DOUBLINGS = 5;

	private static final int MIN_SUSPECT_WEIGHT = 2;

	private final Map<RunnerStart, End> ends = new LinkedHashMap<>();

	private boolean clearedBefore;

	private boolean quarantined;

	private boolean suspected;

	private long trialUntilMillis = Long.MIN_VALUE;

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
			this.ends.values().removeIf((end) -> nowMillis - end.atMillis() > VALID_MILLIS);
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

	private int strength() {
		return this.ends.values().stream().filter((end) -> !end.cleared()).mapToInt(End::weight).sum();
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
		boolean likely = !this.clearedBefore && counted.stream().anyMatch((end) -> end.weight() >= MIN_SUSPECT_WEIGHT);
		if (!this.suspected && (likely || moments > 1)) {
			this.suspected = true;
			return PartStateChange.State.SUSPECTED;
		}
		return null;
	}

	private boolean isQuarantineDue(List<End> counted, int moments) {
		if (this.clearedBefore) {
			return moments >= MIN_MOMENTS_IF_CLEARED_BEFORE && span(counted) >= MIN_SPAN_IF_CLEARED_BEFORE_MILLIS;
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
		long last = counted.stream().mapToLong(End::atMillis).max().orElse(nowMillis);
		long remaining = Math.max(last + durationMillis(moments(counted)), this.trialUntilMillis) - nowMillis;
		return (remaining > 0) ? new PromptVerdict(PromptVerdict.Kind.QUARANTINED, part, remaining)
				: new PromptVerdict(PromptVerdict.Kind.TRIAL_DUE, part, remaining);
	}

	private long durationMillis(int moments) {
		int beyond = moments - (this.clearedBefore ? MIN_MOMENTS_IF_CLEARED_BEFORE : MIN_MOMENTS);
		return (beyond < 0) ? SHORT_QUARANTINE_MILLIS : (QUARANTINE_MILLIS << Math.min(MAX_DOUBLINGS, beyond));
	}

	void startTrial(long untilMillis) {
		this.trialUntilMillis = untilMillis;
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

	boolean isInTrial(long nowMillis) {
		return nowMillis < this.trialUntilMillis;
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

		boolean isStarted() {
			return this.weight >= PartReport.RunnerEndReport.MAX_WEIGHT;
		}

	}

}
