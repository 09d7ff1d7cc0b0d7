package org.catkingate.decisions.prompts;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.catkingate.model.prompts.PartReport;
import org.catkingate.model.prompts.RequestFingerprint;
import org.catkingate.model.prompts.RunnerStart;

/**
 * The parts of prompts, and the whole requests, that may crash runners. A whole request
 * counts as one more part, named by its {@link RequestFingerprint}. A part is blamed for
 * the end of a runner that had a request with it and had not written a response for long;
 * it is cleared when a runner continues to write on it. Many runners that end at the same
 * time blame no part, but a whole request that several of them had. Reports of other
 * gateways merge in any order. The memory is bounded. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class PromptQuarantine {

	/**
	 * The time for which ends of runners are collected before they are evaluated, since
	 * one cause may end several.
	 */
	public static final long SETTLING_MILLIS = 60;

	/**
	 * The time for which a runner must have been writing to show that a prompt is
	 * harmless.
	 */
	public static final long CLEARING_MILLIS = 250;

	/** The number of runners whose common end still blames parts. */
	private static final int MAX_COINCIDENT_ENDS = 2;

	/** The same, as a share of the runners of the service. */
	private static final double MAX_COINCIDENT_SHARE = 0.15;

	private static final int MAX_BLAMED_PARTS = 1024;

	private static final int MAX_CLEARED_PARTS = 4096;

	private static final int SOLE_WEIGHT = 2;

	private static final int MAX_LOGGED_REQUESTS = 8;

	private static final long MAX_AGE_MILLIS = 86_400_000;

	private final Map<String, PartEvidence> blamed = new LinkedHashMap<>();

	private final ClearedParts clearedParts = new ClearedParts(MAX_CLEARED_PARTS);

	private final ClearedParts clearedRequests = new ClearedParts(MAX_CLEARED_PARTS);

	/** The strength of the strongest evidence against any part, for each end. */
	private final Map<RunnerStart, Integer> strongest = new HashMap<>();

	private final List<RunnerEnd> unsettled = new ArrayList<>();

	private final Set<String> changed = new LinkedHashSet<>();

	private final List<PartStateChange> stateChanges = new ArrayList<>();

	private PromptQuarantine() {
	}

	/**
	 * Creates an instance that suspects no part.
	 * @return the instance, never null
	 */
	public static PromptQuarantine create() {
		return new PromptQuarantine();
	}

	/**
	 * Records the end of a runner. It is evaluated by {@link #settle}.
	 * @param end the end
	 */
	public void recordEnd(RunnerEnd end) {
		this.unsettled.add(end);
	}

	/**
	 * Evaluates the ends of runners that are older than {@link #SETTLING_MILLIS}.
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public void settle(long nowMillis) {
		List<RunnerEnd> settled = this.unsettled.stream()
			.filter((end) -> nowMillis - end.atMillis() >= SETTLING_MILLIS)
			.toList();
		// an end that is evaluated twice adds nothing the second time
		for (RunnerEnd end : settled) {
			blame(isCoincident(end) ? reduceToCommonRequests(end) : end, nowMillis);
		}
		this.unsettled.removeIf((end) -> nowMillis - end.atMillis() >= 2 * SETTLING_MILLIS);
	}

	private Stream<RunnerEnd> coincidentEnds(RunnerEnd end) {
		return this.unsettled.stream()
			.filter((other) -> other.service().equals(end.service())
					&& Math.abs(other.atMillis() - end.atMillis()) <= SETTLING_MILLIS);
	}

	private RunnerEnd reduceToCommonRequests(RunnerEnd end) {
		Set<String> others = coincidentEnds(end).filter((other) -> !other.runner().equals(end.runner()))
			.flatMap((other) -> parts(other.requests()).stream())
			.filter(RequestFingerprint::isFingerprint)
			.collect(Collectors.toSet());
		return new RunnerEnd(end.runner(), end.service(), end.serviceRunners(),
				end.requests()
					.stream()
					.map((request) -> new RunnerEnd.AffectedRequest(request.id(),
							request.parts().stream().filter(others::contains).toList(), request.progress()))
					.filter((request) -> !request.parts().isEmpty())
					.toList(),
				end.atMillis());
	}

	private boolean isCoincident(RunnerEnd end) {
		long close = coincidentEnds(end).map(RunnerEnd::runner).distinct().count();
		return close > Math.max(MAX_COINCIDENT_ENDS, MAX_COINCIDENT_SHARE * end.serviceRunners());
	}

	private void blame(RunnerEnd end, long nowMillis) {
		List<RunnerEnd.AffectedRequest> started = requests(end, RequestProgress.STARTED);
		List<RunnerEnd.AffectedRequest> queued = requests(end, RequestProgress.QUEUED);
		Set<String> harmless = parts(requests(end, RequestProgress.WRITING));
		blame(end, started, harmless, PartReport.RunnerEndReport.MAX_WEIGHT);
		blame(end, queued, harmless, (started.isEmpty() && queued.size() == 1) ? SOLE_WEIGHT : 1);
		updateStates(Stream.concat(started.stream(), queued.stream())
			.map(RunnerEnd.AffectedRequest::id)
			.limit(MAX_LOGGED_REQUESTS)
			.toList(), nowMillis);
	}

	private void blame(RunnerEnd end, List<RunnerEnd.AffectedRequest> requests, Set<String> harmless, int weight) {
		for (String part : parts(requests)) {
			if (!harmless.contains(part)) {
				add(part, end.runner(), new PartEvidence.End(end.atMillis(), weight, false));
			}
		}
	}

	private ClearedParts cleared(String part) {
		return RequestFingerprint.isFingerprint(part) ? this.clearedRequests : this.clearedParts;
	}

	private static Set<String> parts(List<RunnerEnd.AffectedRequest> requests) {
		return requests.stream()
			.flatMap((request) -> request.parts().stream())
			.collect(Collectors.toCollection(LinkedHashSet::new));
	}

	private static List<RunnerEnd.AffectedRequest> requests(RunnerEnd end, RequestProgress progress) {
		return end.requests().stream().filter((request) -> request.progress() == progress).toList();
	}

	private void add(String part, RunnerStart runner, PartEvidence.End end) {
		PartEvidence evidence = this.blamed.get(part);
		if (evidence == null) {
			if (this.blamed.size() >= MAX_BLAMED_PARTS) {
				evict();
			}
			evidence = new PartEvidence(RequestFingerprint.isFingerprint(part));
			this.blamed.put(part, evidence);
		}
		Long clearedAt = cleared(part).lastMillis(part);
		boolean changedNow = clearedAt != null && evidence.markClearedBefore();
		boolean clearedSince = end.cleared() || (clearedAt != null && clearedAt >= end.atMillis());
		changedNow |= evidence.add(runner, new PartEvidence.End(end.atMillis(), end.weight(), clearedSince));
		if (changedNow) {
			this.changed.add(part);
		}
	}

	/*
	 * Parts in quarantine are removed last, and those first whose last end is oldest.
	 */
	private void evict() {
		this.blamed.entrySet()
			.stream()
			.min(Comparator.comparing((Map.Entry<String, PartEvidence> entry) -> entry.getValue().isQuarantined())
				.thenComparingLong((entry) -> entry.getValue().lastEndMillis()))
			.map(Map.Entry::getKey)
			.ifPresent((part) -> {
				this.blamed.remove(part);
				this.changed.remove(part);
			});
	}

	/*
	 * An end that is explained by one part no longer counts against others, so that all
	 * states may change.
	 */
	private void updateStates(List<String> requests, long nowMillis) {
		this.strongest.clear();
		this.blamed.values().forEach((evidence) -> evidence.addStrength(this.strongest));
		this.blamed.forEach((part, evidence) -> {
			PartStateChange.State state = evidence.update(this.strongest);
			if (state != null) {
				this.stateChanges.add(new PartStateChange(part, state, describe(evidence, nowMillis), requests));
			}
		});
		this.blamed.values().removeIf((evidence) -> evidence.prune(nowMillis));
		this.changed.retainAll(this.blamed.keySet());
	}

	private static List<String> describe(PartEvidence evidence, long nowMillis) {
		return evidence.ends()
			.entrySet()
			.stream()
			.map((entry) -> entry.getKey() + " age-ms=" + (nowMillis - entry.getValue().atMillis()) + " weight="
					+ entry.getValue().weight() + (entry.getValue().cleared() ? " cleared" : ""))
			.toList();
	}

	/**
	 * Records that a runner has been writing on a prompt for {@link #CLEARING_MILLIS}, or
	 * has completed a response.
	 * @param parts the parts of the prompt
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public void recordWriting(List<String> parts, long nowMillis) {
		boolean anyBlamed = false;
		for (String part : parts) {
			cleared(part).add(part, nowMillis);
			PartEvidence evidence = this.blamed.get(part);
			if (evidence != null && evidence.clear()) {
				this.changed.add(part);
				anyBlamed = true;
			}
		}
		if (anyBlamed) {
			updateStates(List.of(), nowMillis);
		}
	}

	/**
	 * Decides on a prompt.
	 * @param parts the parts of the prompt
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the most severe decision on any part, never null
	 */
	public PromptVerdict verdict(List<String> parts, long nowMillis) {
		PromptVerdict worst = PromptVerdict.HARMLESS;
		for (String part : parts) {
			PartEvidence evidence = this.blamed.get(part);
			if (evidence != null && !evidence.prune(nowMillis)) {
				PromptVerdict verdict = verdict(part, evidence, parts, nowMillis);
				if (verdict.kind().compareTo(worst.kind()) > 0) {
					worst = verdict;
				}
			}
		}
		return worst;
	}

	/*
	 * A request with only one of several parts that nothing tells apart is tried at once,
	 * since its outcome decides between them.
	 */
	private PromptVerdict verdict(String part, PartEvidence evidence, List<String> parts, long nowMillis) {
		PromptVerdict verdict = evidence.verdict(part, this.strongest, nowMillis);
		if (verdict.kind() == PromptVerdict.Kind.QUARANTINED && evidence.allowsEarlyTrial(this.strongest, nowMillis)
				&& this.blamed.entrySet()
					.stream()
					.anyMatch((other) -> !parts.contains(other.getKey())
							&& evidence.isIndistinguishableFrom(other.getValue()))) {
			return new PromptVerdict(PromptVerdict.Kind.TRIAL_DUE, part, evidence.lastEndMillis() - nowMillis);
		}
		return verdict;
	}

	/**
	 * Starts a trial of a part whose quarantine has expired. Until it has a result, the
	 * part counts as quarantined again.
	 * @param part the part
	 * @param requestId the request that is sent
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public void startTrial(String part, String requestId, long nowMillis) {
		PartEvidence evidence = this.blamed.get(part);
		if (evidence != null) {
			evidence.startTrial(nowMillis);
			this.stateChanges.add(new PartStateChange(part, PartStateChange.State.TRIED, describe(evidence, nowMillis),
					List.of(requestId)));
		}
	}

	/**
	 * Cancels a trial whose request was not sent, so that another one may be.
	 * @param part the part
	 */
	public void cancelTrial(String part) {
		PartEvidence evidence = this.blamed.get(part);
		if (evidence != null) {
			evidence.cancelTrial();
		}
	}

	/**
	 * Merges reports of another gateway.
	 * @param reports the reports
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public void merge(List<PartReport> reports, long nowMillis) {
		for (PartReport report : reports) {
			for (PartReport.RunnerEndReport end : report.ends()) {
				add(report.part(), end.runner(), new PartEvidence.End(
						nowMillis - Math.min(end.ageMillis(), MAX_AGE_MILLIS), end.weight(), end.cleared()));
			}
			PartEvidence evidence = this.blamed.get(report.part());
			if (evidence != null && report.clearedBefore() && evidence.markClearedBefore()) {
				this.changed.add(report.part());
			}
		}
		updateStates(List.of(), nowMillis);
	}

	/**
	 * Returns reports on the parts whose evidence has changed since the last call.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the reports to send to the other gateways, possibly empty
	 */
	public List<PartReport> takeChanges(long nowMillis) {
		List<PartReport> reports = this.changed.stream().map((part) -> report(part, nowMillis)).toList();
		this.changed.clear();
		return reports;
	}

	/**
	 * Returns reports on all blamed parts, for a gateway that has just connected.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the reports, possibly empty
	 */
	public List<PartReport> snapshot(long nowMillis) {
		return this.blamed.keySet().stream().map((part) -> report(part, nowMillis)).toList();
	}

	private PartReport report(String part, long nowMillis) {
		PartEvidence evidence = this.blamed.get(part);
		return new PartReport(part, evidence.isClearedBefore(),
				evidence.ends()
					.entrySet()
					.stream()
					.map((entry) -> new PartReport.RunnerEndReport(entry.getKey(),
							Math.max(0, nowMillis - entry.getValue().atMillis()), entry.getValue().weight(),
							entry.getValue().cleared()))
					.toList());
	}

	/**
	 * Returns the changes of state since the last call.
	 * @return the changes to log, possibly empty
	 */
	public List<PartStateChange> takeStateChanges() {
		List<PartStateChange> taken = List.copyOf(this.stateChanges);
		this.stateChanges.clear();
		return taken;
	}

	/**
	 * Returns the number of parts that are remembered.
	 * @return the blamed and the cleared parts
	 */
	public int size() {
		return this.blamed.size() + this.clearedParts.size() + this.clearedRequests.size();
	}

}
