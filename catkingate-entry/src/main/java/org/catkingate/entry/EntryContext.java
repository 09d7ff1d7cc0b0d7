package org.catkingate.entry;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.catkingate.decisions.idempotency.PauseWatch;
import org.catkingate.decisions.limits.LimitDecision;
import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.decisions.retries.RetryBudget;
import org.catkingate.decisions.retries.RetryPolicy;
import org.catkingate.decisions.routing.Location;
import org.catkingate.decisions.routing.RunnerKey;
import org.catkingate.model.InstanceId;
import org.catkingate.model.RequestId;
import org.catkingate.model.RunnerStatus;
import org.catkingate.model.VersionId;
import org.catkingate.model.published.ClientAccount;
import org.catkingate.model.published.RoutingRule;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerConnections;
import org.catkingate.wire.Traffic;

/**
 * What the calls of one entry share: the table of calls, connections, loads, limits and
 * the retry budget. Safe for use by any thread.
 */
final class EntryContext {

	/** How many runners are tried for one attempt whose connections turn out closed. */
	private static final int MAX_SENDS_PER_ATTEMPT = 4;

	/** The interval of {@link #checkForPause()}, in milliseconds. */
	static final long PAUSE_CHECK_INTERVAL_MILLIS = 250;

	private static final long PAUSE_GAP_MILLIS = 1_500;

	private static final long SUSPECT_AFTER_PAUSE_MILLIS = 1_000;

	private final Map<RequestId, ActiveRequest> requestsByAttemptId = new ConcurrentHashMap<>();

	private final AtomicReference<RetryBudget> retryBudget = new AtomicReference<>(RetryBudget.initial());

	private final EntryCounts counts = EntryCounts.zero();

	private final Supplier<FleetSnapshot> fleet;

	private final PeerConnections connections;

	private final RequestRouter router;

	private final RunnerLoadTracker runnerLoads;

	private final AccountLimits accountLimits;

	private final EntryPolicies policies;

	private final MonotonicClock clock;

	private final long reattachTimeoutMillis;

	private final PauseWatch pauseWatch;

	EntryContext(Supplier<FleetSnapshot> fleet, PeerConnections connections, EntryPolicies policies,
			AccountLimits limits, Location location, MonotonicClock clock, long attachPatienceMillis) {
		this.fleet = fleet;
		this.connections = connections;
		this.policies = policies;
		this.accountLimits = limits;
		this.clock = clock;
		this.reattachTimeoutMillis = attachPatienceMillis;
		this.pauseWatch = PauseWatch.starting(PAUSE_GAP_MILLIS, SUSPECT_AFTER_PAUSE_MILLIS, clock.millis());
		this.runnerLoads = new RunnerLoadTracker(clock);
		this.router = new RequestRouter(policies.routing(), location, this.runnerLoads, clock, policies.seed());
	}

	EntryCounts counts() {
		return this.counts;
	}

	long nowMillis() {
		return this.clock.millis();
	}

	long reattachTimeoutMillis() {
		return this.reattachTimeoutMillis;
	}

	FleetSnapshot fleet() {
		return this.fleet.get();
	}

	/**
	 * Takes note that the process runs; to be called at a steady interval.
	 */
	void checkForPause() {
		wasRecentlyPaused();
	}

	boolean wasRecentlyPaused() {
		return this.pauseWatch.isSuspect(nowMillis());
	}

	LimitDecision tryStart(ClientAccount account) {
		return this.accountLimits.tryStart(account);
	}

	void finish(ActiveRequest call) {
		this.accountLimits.finish(call.request().account());
		this.counts.finished().increment();
	}

	/**
	 * Frees the place of a request whose body never came whole.
	 * @param account its client account
	 */
	void releaseLimits(ClientAccount account) {
		this.accountLimits.finish(account);
	}

	ActiveRequest findByAttemptId(RequestId wireId) {
		return this.requestsByAttemptId.get(wireId);
	}

	Iterable<ActiveRequest> activeRequests() {
		return this.requestsByAttemptId.values();
	}

	/**
	 * Sends a request to a runner of the router's choice.
	 * @param call the call
	 * @param wireId the identity of the attempt
	 * @param leftMillis the time left for it, in milliseconds
	 * @return the attempt, or empty if it is certain that nothing was sent
	 */
	Optional<Attempt> send(ActiveRequest call, RequestId wireId, long leftMillis) {
		for (int i = 0; i < MAX_SENDS_PER_ATTEMPT; i++) {
			Optional<RunnerKey> runner = chooseRunner(call);
			if (runner.isEmpty()) {
				return Optional.empty();
			}
			Optional<Attempt> attempt = this.connections.to(runner.get().instance())
				.filter(EntryContext::hasHeartbeat)
				.flatMap((connection) -> send(call, new Attempt(wireId, runner.get(), connection, nowMillis()),
						connection, leftMillis));
			if (attempt.isPresent()) {
				return attempt;
			}
			this.runnerLoads.recordFailure(runner.get());
			call.triedRunners().add(runner.get());
		}
		return Optional.empty();
	}

	private Optional<RunnerKey> chooseRunner(ActiveRequest call) {
		if (call.request().isKeyed()) {
			return KeyedRequestRouter.choose(fleet(), call.request(), call.triedRunners(), nowMillis());
		}
		return this.router.choose(fleet(), call.request(), call.triedRunners());
	}

	private static boolean hasHeartbeat(PeerConnection connection) {
		return connection.newestHeartbeat().get() > 0;
	}

	private Optional<Attempt> send(ActiveRequest call, Attempt attempt, PeerConnection connection, long leftMillis) {
		this.requestsByAttemptId.put(attempt.attemptId(), call);
		this.runnerLoads.recordStart(attempt.runner());
		if (connection.frames().send(dispatchMessage(call.request(), attempt, connection, leftMillis))) {
			return Optional.of(attempt);
		}
		release(attempt);
		return Optional.empty();
	}

	private Traffic.Dispatch dispatchMessage(AdmittedRequest request, Attempt attempt, PeerConnection connection,
			long leftMillis) {
		return new Traffic.Dispatch(attempt.attemptId(), connection.newestHeartbeat().get(), leftMillis,
				request.account().name(), request.service().name(), attempt.runner().runner(),
				requestedVersion(request.rule(), attempt.runner()), request.account().priority(), request.idempotent(),
				request.idempotencyKey(), request.method(), request.target(), request.headers(), request.body());
	}

	// the version that the runner was chosen for; the agent refuses if it has switched
	// since
	private VersionId requestedVersion(RoutingRule rule, RunnerKey runner) {
		AgentView agent = fleet().agents().get(runner.instance());
		if (rule.alsoVersions().isEmpty() || agent == null) {
			return rule.version();
		}
		return agent.runners()
			.stream()
			.filter((status) -> status.runner().equals(runner.runner()) && rule.mayBeAnsweredBy(status.version()))
			.map(RunnerStatus::version)
			.findFirst()
			.orElse(rule.version());
	}

	Failure noRunnerFailure(ActiveRequest call) {
		if (call.request().isKeyed()) {
			return KeyedRequestRouter.noRunnerFailure(fleet(), call.request());
		}
		if (this.router.hasCandidates(fleet(), call.request().rule())) {
			return Failure.withDefaultRetryAfter(FailureKind.NOT_RUN,
					"every runner that could be reached refused the request; come back later");
		}
		return Failure.withDefaultRetryAfter(FailureKind.NOT_RUN,
				"no runner serves this now; wait for the version to be loaded, or check the rule's selectors");
	}

	void recordStart() {
		this.counts.started().increment();
		this.retryBudget.updateAndGet(RetryBudget::afterFirstTry);
	}

	/**
	 * Decides about another attempt and spends the budget for it.
	 * @param failed what is known of the failed attempt
	 * @return the wait before it in milliseconds, or empty for none
	 */
	Optional<Long> reserveRetry(RetryPolicy.FailedAttempt failed) {
		if (!this.policies.retries().mayRetry(failed) || !spendRetryBudget()) {
			return Optional.empty();
		}
		this.counts.retries().increment();
		return Optional.of(this.router.retryDelayMillis(this.policies.retries(), failed.attempts()));
	}

	private boolean spendRetryBudget() {
		if (!this.policies.retryBudget()) {
			return true;
		}
		RetryBudget before = this.retryBudget
			.getAndUpdate((current) -> (current.allowsRetry()) ? current.afterRetry() : current);
		return before.allowsRetry();
	}

	void recordResponseBegun(Attempt attempt) {
		if (attempt.markResponseBegun()) {
			this.runnerLoads.recordResponseBegun(attempt.runner(), nowMillis() - attempt.sentAtMillis());
		}
	}

	void recordAttemptFailure(RunnerKey runner, boolean notRun) {
		this.runnerLoads.recordFailure(runner);
		if (notRun) {
			this.counts.rejectedByAgents().increment();
		}
	}

	void recordResponse() {
		this.counts.responded().increment();
	}

	void release(Attempt attempt) {
		this.requestsByAttemptId.remove(attempt.attemptId());
		this.runnerLoads.recordEnd(attempt.runner(), attempt.hasResponseBegun());
	}

	void recordFailure(FailureKind kind) {
		this.counts.countFailure(kind);
	}

	void recordCallerDisconnect() {
		this.counts.callersLeft().increment();
	}

	void recordTokens(ClientAccount account, long tokens) {
		this.accountLimits.recordTokens(account, tokens);
	}

	Optional<PeerConnection> connectionTo(InstanceId instance) {
		return this.connections.to(instance);
	}

}
