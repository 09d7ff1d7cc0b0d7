package org.catkingate.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;

import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.decisions.prompts.PartStateChange;
import org.catkingate.decisions.prompts.PromptQuarantine;
import org.catkingate.decisions.prompts.PromptVerdict;
import org.catkingate.decisions.prompts.RequestProgress;
import org.catkingate.decisions.prompts.RunnerEnd;
import org.catkingate.decisions.retries.SlidingWindowCounter;
import org.catkingate.model.InstanceId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.prompts.PartReport;
import org.catkingate.model.prompts.RunnerStart;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.runtime.MonotonicClock;

/**
 * Detects the ends of runners and the parts of prompts that cause them. A runner is
 * considered to have ended if all requests that this gateway had sent to it broke off
 * together and either there were several, or no connection to it can be opened, or it is
 * soon replaced in the registry. Used by the traffic thread only.
 */
final class PromptGuard {

	/** The time for which breaks at one runner are collected. */
	private static final long BREAK_MILLIS = 20;

	/**
	 * The time after which a request that has broken off may be retried: that of the
	 * evaluation of the break.
	 */
	static final long EVALUATION_MILLIS = BREAK_MILLIS + PromptQuarantine.SETTLING_MILLIS;

	/** The time for which an unconfirmed end may be confirmed by the registry. */
	private static final long CONFIRMATION_MILLIS = 5000;

	private static final int MAX_UNCONFIRMED = 64;

	private static final long LOG_WINDOW_MILLIS = 10_000;

	private static final int MAX_LOG_LINES = 50;

	private static final Logger logger = LoggerFactory.getLogger(PromptGuard.class);

	private final PromptQuarantine quarantine = PromptQuarantine.create();

	private final Map<RunnerState, Map<RunnerAttempt, SentRequest>> sent = new HashMap<>();

	private final Map<RunnerState, Break> breaks = new HashMap<>();

	private final Map<RunnerState, Break> unconfirmed = new LinkedHashMap<>();

	private final SlidingWindowCounter logLines = SlidingWindowCounter.create(LOG_WINDOW_MILLIS);

	private final XnioExecutor executor;

	private final MonotonicClock clock;

	private final ToIntFunction<ServiceName> runnerCount;

	private final InstanceId self;

	private Supplier<Set<InstanceId>> gateways = Set::of;

	private Consumer<List<PartReport>> reportsReceiver = (reports) -> {
	};

	/**
	 * Creates a guard that suspects no part.
	 * @param self the identifier of this gateway
	 * @param executor the traffic thread
	 * @param clock the clock
	 * @param runnerCount counts the runners of a service
	 */
	PromptGuard(InstanceId self, XnioExecutor executor, MonotonicClock clock, ToIntFunction<ServiceName> runnerCount) {
		this.self = self;
		this.executor = executor;
		this.clock = clock;
		this.runnerCount = runnerCount;
	}

	/**
	 * Connects the guard to the other gateways.
	 * @param known returns the known gateways
	 * @param receiver sends reports to all connected gateways
	 */
	void connect(Supplier<Set<InstanceId>> known, Consumer<List<PartReport>> receiver) {
		this.gateways = known;
		this.reportsReceiver = receiver;
	}

	/**
	 * Decides on a request before it is sent. A trial counts as started if it is due.
	 * @param requestId the identifier of the request
	 * @param parts the parts of its prompt
	 * @return the decision; the request must not be sent if it is
	 * {@link PromptVerdict.Kind#QUARANTINED}
	 */
	PromptVerdict admit(String requestId, List<String> parts) {
		long now = this.clock.millis();
		PromptVerdict verdict = this.quarantine.verdict(parts, now);
		if (verdict.kind() != PromptVerdict.Kind.TRIAL_DUE) {
			return verdict;
		}
		if (verdict.isTrialOf(rank(verdict.part()))) {
			this.quarantine.startTrial(verdict.part(), requestId, now);
			publish();
			return verdict;
		}
		return new PromptVerdict(PromptVerdict.Kind.QUARANTINED, verdict.part(), 0);
	}

	/**
	 * Cancels a trial whose request was not sent.
	 * @param part the part that would have been tried
	 */
	void cancelTrial(String part) {
		this.quarantine.cancelTrial(part);
	}

	private int rank(String part) {
		long key = RendezvousHashing.hash(part);
		Function<InstanceId, Long> score = (gateway) -> RendezvousHashing.score(key,
				RendezvousHashing.hash(gateway.value()));
		return (int) this.gateways.get()
			.stream()
			.filter((gateway) -> !gateway.equals(this.self))
			.filter((gateway) -> Comparator.<Long>naturalOrder()
				.compare(score.apply(gateway), score.apply(this.self)) < 0)
			.count();
	}

	/**
	 * Returns whether a request must not be sent.
	 * @param parts the parts of its prompt
	 * @return whether a part is in quarantine
	 */
	boolean isQuarantined(List<String> parts) {
		return this.quarantine.verdict(parts, this.clock.millis()).kind().compareTo(PromptVerdict.Kind.TRIAL_DUE) >= 0;
	}

	/**
	 * Returns whether a request that broke off may be sent to another runner.
	 * @param parts the parts of its prompt
	 * @return whether no part is suspected
	 */
	boolean canRetry(List<String> parts) {
		return this.quarantine.verdict(parts, this.clock.millis()).kind() == PromptVerdict.Kind.HARMLESS;
	}

	/**
	 * Records that a request is sent.
	 * @param attempt the attempt
	 * @param requestId the identifier of the request
	 * @param parts the parts of its prompt
	 * @param withdrawal is called if a part is quarantined before the runner responds
	 */
	void recordSend(RunnerAttempt attempt, String requestId, List<String> parts, Runnable withdrawal) {
		this.sent.computeIfAbsent(attempt.runner(), (runner) -> new LinkedHashMap<>())
			.put(attempt, new SentRequest(requestId, parts, this.clock.millis(), withdrawal));
	}

	/**
	 * Records that a part of the body of a successful response has arrived.
	 * @param attempt the attempt
	 */
	void recordData(RunnerAttempt attempt) {
		SentRequest request = this.sent.getOrDefault(attempt.runner(), Map.of()).get(attempt);
		if (request != null && !request.cleared
				&& attempt.respondingMillis(this.clock.millis()) >= PromptQuarantine.CLEARING_MILLIS) {
			clear(request);
		}
	}

	/**
	 * Records that an attempt has ended without a break.
	 * @param attempt the attempt
	 * @param complete whether it ended with a complete and successful response
	 */
	void recordEnd(RunnerAttempt attempt, boolean complete) {
		SentRequest request = remove(attempt);
		if (request != null && complete && !request.cleared) {
			clear(request);
		}
	}

	private void clear(SentRequest request) {
		request.cleared = true;
		if (!request.parts.isEmpty()) {
			this.quarantine.recordWriting(request.parts, this.clock.millis());
			publish();
		}
	}

	private SentRequest remove(RunnerAttempt attempt) {
		Map<RunnerAttempt, SentRequest> requests = this.sent.get(attempt.runner());
		SentRequest request = (requests != null) ? requests.remove(attempt) : null;
		if (requests != null && requests.isEmpty()) {
			this.sent.remove(attempt.runner());
		}
		return request;
	}

	/**
	 * Records that the connection of an attempt broke before the response was complete.
	 * @param attempt the attempt
	 */
	void recordBreak(RunnerAttempt attempt) {
		SentRequest request = remove(attempt);
		if (request == null) {
			return;
		}
		long now = this.clock.millis();
		Break known = this.breaks.get(attempt.runner());
		if (known == null) {
			known = new Break(now, new ArrayList<>());
			this.breaks.put(attempt.runner(), known);
			this.executor.executeAfter(() -> evaluate(attempt.runner()), BREAK_MILLIS, TimeUnit.MILLISECONDS);
		}
		known.requests.add(new RunnerEnd.AffectedRequest(request.id, request.parts, progress(attempt, request, now)));
	}

	private static RequestProgress progress(RunnerAttempt attempt, SentRequest request, long nowMillis) {
		if (request.cleared || attempt.respondingMillis(nowMillis) >= PromptQuarantine.CLEARING_MILLIS) {
			return RequestProgress.WRITING;
		}
		return (attempt.responseHead() != null) ? RequestProgress.STARTED : RequestProgress.QUEUED;
	}

	private void evaluate(RunnerState runner) {
		Break broken = this.breaks.remove(runner);
		boolean others = this.sent.getOrDefault(runner, Map.of())
			.values()
			.stream()
			.anyMatch((request) -> request.sentAtMillis < broken.atMillis);
		if (others || broken.requests.stream().allMatch((request) -> request.parts().isEmpty())) {
			return;
		}
		if (broken.requests.size() > 1) {
			confirm(runner.runner(), broken);
			return;
		}
		if (this.unconfirmed.size() >= MAX_UNCONFIRMED) {
			this.unconfirmed.remove(this.unconfirmed.keySet().iterator().next());
		}
		this.unconfirmed.put(runner, broken);
		this.executor.executeAfter(() -> this.unconfirmed.remove(runner, broken), CONFIRMATION_MILLIS,
				TimeUnit.MILLISECONDS);
		runner.connections()
			.acquire(true, (connection) -> runner.connections().release(connection),
					(failure) -> this.executor.execute(() -> confirmIfUnconfirmed(runner)));
	}

	private void confirmIfUnconfirmed(RunnerState runner) {
		Break broken = this.unconfirmed.remove(runner);
		if (broken != null) {
			confirm(runner.runner(), broken);
		}
	}

	/**
	 * Records that a runner has left the registry or was replaced.
	 * @param runner the runner
	 */
	void recordRemoval(RunnerState runner) {
		confirmIfUnconfirmed(runner);
	}

	private void confirm(RegisteredRunner runner, Break broken) {
		this.quarantine.recordEnd(new RunnerEnd(new RunnerStart(runner.id(), runner.startedAtEpochMillis()),
				runner.service(), this.runnerCount.applyAsInt(runner.service()), broken.requests, broken.atMillis));
		long ageMillis = this.clock.millis() - broken.atMillis;
		this.executor.executeAfter(this::settle, Math.max(1, PromptQuarantine.SETTLING_MILLIS - ageMillis),
				TimeUnit.MILLISECONDS);
	}

	private void settle() {
		this.quarantine.settle(this.clock.millis());
		publish();
	}

	/**
	 * Merges reports of another gateway.
	 * @param reports the reports
	 */
	void receive(List<PartReport> reports) {
		this.quarantine.merge(reports, this.clock.millis());
		publish();
	}

	List<PartReport> snapshot() {
		return this.quarantine.snapshot(this.clock.millis());
	}

	private void publish() {
		List<PartReport> changes = this.quarantine.takeChanges(this.clock.millis());
		if (!changes.isEmpty()) {
			this.reportsReceiver.accept(changes);
		}
		List<PartStateChange> stateChanges = this.quarantine.takeStateChanges();
		stateChanges.forEach(this::log);
		if (stateChanges.stream().anyMatch((change) -> change.state() == PartStateChange.State.QUARANTINED)) {
			withdraw();
		}
	}

	private void withdraw() {
		List<Runnable> withdrawals = new ArrayList<>();
		long now = this.clock.millis();
		this.sent.values().forEach((requests) -> requests.forEach((attempt, request) -> {
			if (attempt.responseHead() == null
					&& this.quarantine.verdict(request.parts, now).kind() == PromptVerdict.Kind.QUARANTINED) {
				withdrawals.add(request.withdrawal);
			}
		}));
		withdrawals.forEach(Runnable::run);
	}

	private void log(PartStateChange change) {
		long now = this.clock.millis();
		this.logLines.add(now);
		if (this.logLines.count(now) <= MAX_LOG_LINES) {
			logger.atWarn()
				.addKeyValue("event", "prompt-part")
				.addKeyValue("part", change.part())
				.addKeyValue("state", change.state())
				.addKeyValue("runner-ends", change.evidence())
				.addKeyValue("requests", change.requests())
				.log("belief about a part of prompts has changed");
		}
	}

	/**
	 * A request that was sent to a runner and has not ended.
	 */
	private static final class SentRequest {

		private final String id;

		private final List<String> parts;

		private final long sentAtMillis;

		private final Runnable withdrawal;

		private boolean cleared;

		private SentRequest(String id, List<String> parts, long sentAtMillis, Runnable withdrawal) {
			this.id = id;
			this.parts = parts;
			this.sentAtMillis = sentAtMillis;
			this.withdrawal = withdrawal;
		}

	}

	/**
	 * Requests at one runner that broke off together.
	 *
	 * @param atMillis when the first did, in monotonic milliseconds
	 * @param requests the requests
	 */
	private record Break(long atMillis, List<RunnerEnd.AffectedRequest> requests) {

	}

}
