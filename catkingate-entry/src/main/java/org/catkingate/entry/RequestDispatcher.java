package org.catkingate.entry;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.catkingate.decisions.idempotency.PauseDetector;
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
import org.catkingate.wire.RequestMessage;

/**
 * The dispatcher of one entry's requests. It sends attempts to agents, decides on retries
 * and keeps the state that the requests share: the requests in progress, the connections
 * to agents, the load of each runner, the limits of accounts and the retry budget. Safe
 * for use by any thread.
 */
final class RequestDispatcher {

	/**
	 * The maximum number of runners chosen for one attempt. Another runner is chosen if
	 * nothing can be sent to the previous one because its connection is closed or has
	 * received no heartbeat.
	 */
	private static final int MAX_SENDS_PER_ATTEMPT = 4;

	/** The interval of {@link #checkForPause()}, in milliseconds. */
	static final long PAUSE_CHECK_INTERVAL_MILLIS = 250;

	/** The gap between two checks that counts as a pause, in milliseconds. */
	private static final long PAUSE_GAP_MILLIS = 1_500;

	/** The time for which a pause counts as recent, in milliseconds. */
	private static final long RECENT_PAUSE_MILLIS = 1_000;

	private final Map<RequestId, ActiveRequest> requestsByAttemptId = new ConcurrentHashMap<>();

	private final Set<ActiveRequest> requestsInProgress = ConcurrentHashMap.newKeySet();

	private final AtomicReference<RetryBudget> retryBudget = new AtomicReference<>(RetryBudget.initial());

	private final RequestCounters counters = RequestCounters.zero();

	private final Supplier<FleetSnapshot> fleet;

	private final PeerConnections connections;

	private final RequestRouter router;

	private final RunnerLoadTracker runnerLoads;

	private final AccountLimits accountLimits;

	private final EntryPolicies policies;

	private final MonotonicClock clock;

	private final long reattachTimeoutMillis;

	private final PauseDetector pauseDetector;

	RequestDispatcher(Supplier<FleetSnapshot> fleet, PeerConnections connections, EntryPolicies policies,
			AccountLimits accountLimits, Location location, MonotonicClock clock, long reattachTimeoutMillis) {
		this.fleet = fleet;
		this.connections = connections;
		this.policies = policies;
		this.accountLimits = accountLimits;
		this.clock = clock;
		this.reattachTimeoutMillis = reattachTimeoutMillis;
		this.pauseDetector = PauseDetector.starting(PAUSE_GAP_MILLIS, RECENT_PAUSE_MILLIS, clock.millis());
		this.runnerLoads = new RunnerLoadTracker(clock);
		this.router = new RequestRouter(policies.routing(), location, this.runnerLoads, clock, policies.seed());
	}

	RequestCounters counters() {
		return this.counters;
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
	 * Records that the process is running, so that a gap between two calls reveals a
	 * pause; must be called every {@link #PAUSE_CHECK_INTERVAL_MILLIS}.
	 */
	void checkForPause() {
		wasRecentlyPaused();
	}

	boolean wasRecentlyPaused() {
		return this.pauseDetector.recordAndCheckSuspect(nowMillis());
	}

	LimitDecision tryStart(ClientAccount account) {
		return this.accountLimits.tryStart(account);
	}

	void finish(ActiveRequest request) {
		this.requestsInProgress.remove(request);
		this.accountLimits.finish(request.admittedRequest().account());
		this.counters.finished().increment();
	}

	/**
	 * Stops counting a request against the limits of its account, if its body never
	 * arrived completely or the request was for an idempotency key.
	 * @param account the client account of the request
	 */
	void releaseLimits(ClientAccount account) {
		this.accountLimits.finish(account);
	}

	ActiveRequest findByAttemptId(RequestId attemptId) {
		return this.requestsByAttemptId.get(attemptId);
	}

	Iterable<ActiveRequest> requestsInProgress() {
		return this.requestsInProgress;
	}

	Iterable<ActiveRequest> activeRequests() {
		return this.requestsByAttemptId.values();
	}

	/**
	 * Sends a request to a runner that the router chooses.
	 * @param request the request
	 * @param attemptId the identifier of the attempt
	 * @param remainingMillis the time until the deadline of the request, in milliseconds
	 * @return the attempt, or empty if it is certain that nothing was sent
	 */
	Optional<Attempt> send(ActiveRequest request, RequestId attemptId, long remainingMillis) {
		for (int i = 0; i < MAX_SENDS_PER_ATTEMPT; i++) {
			Optional<RunnerKey> runner = chooseRunner(request);
			if (runner.isEmpty()) {
				return Optional.empty();
			}
			Optional<Attempt> attempt = this.connections.to(runner.get().instance())
				.filter(RequestDispatcher::hasHeartbeat)
				.flatMap((connection) -> send(request, new Attempt(attemptId, runner.get(), connection, nowMillis()),
						connection, remainingMillis));
			if (attempt.isPresent()) {
				return attempt;
			}
			this.runnerLoads.recordFailure(runner.get());
			request.triedRunners().add(runner.get());
		}
		return Optional.empty();
	}

	private Optional<RunnerKey> chooseRunner(ActiveRequest request) {
		if (request.admittedRequest().isKeyed()) {
			return KeyedRequestRouter.choose(fleet(), request.admittedRequest(), request.triedRunners(), nowMillis());
		}
		return this.router.choose(fleet(), request.admittedRequest(), request.triedRunners());
	}

	private static boolean hasHeartbeat(PeerConnection connection) {
		return connection.newestHeartbeat().get() > 0;
	}

	private Optional<Attempt> send(ActiveRequest request, Attempt attempt, PeerConnection connection,
			long remainingMillis) {
		this.requestsByAttemptId.put(attempt.attemptId(), request);
		this.runnerLoads.recordStart(attempt.runner());
		if (connection.frameConnection()
			.send(dispatchMessage(request.admittedRequest(), attempt, connection, remainingMillis))) {
			return Optional.of(attempt);
		}
		release(attempt);
		return Optional.empty();
	}

	private RequestMessage.Dispatch dispatchMessage(AdmittedRequest request, Attempt attempt, PeerConnection connection,
			long remainingMillis) {
		return new RequestMessage.Dispatch(attempt.attemptId(), connection.newestHeartbeat().get(), remainingMillis,
				request.account().name(), request.service().name(), attempt.runner().runner(),
				requestedVersion(request.rule(), attempt.runner()), request.account().priority(), request.idempotent(),
				request.idempotencyKey(), request.method(), request.target(), request.headers(), request.body());
	}

	// Returns the version that the runner was chosen for. If the runner has switched to
	// another version since, the agent rejects the request.
	private VersionId requestedVersion(RoutingRule rule, RunnerKey runner) {
		AgentView agent = fleet().agents().get(runner.instance());
		if (rule.alsoVersions().isEmpty() || agent == null) {
			return rule.version();
		}
		return agent.runners()
			.stream()
			.filter((status) -> status.runner().equals(runner.runner()) && rule.acceptsVersion(status.version()))
			.map(RunnerStatus::version)
			.findFirst()
			.orElse(rule.version());
	}

	Failure noRunnerFailure(ActiveRequest request) {
		if (request.admittedRequest().isKeyed()) {
			return KeyedRequestRouter.noRunnerFailure(fleet(), request.admittedRequest());
		}
		if (this.router.hasCandidates(fleet(), request.admittedRequest().rule())) {
			return Failure.withDefaultRetryAfter(FailureKind.NOT_RUN,
					"every runner that could be reached refused the request; come back later");
		}
		return Failure.withDefaultRetryAfter(FailureKind.NOT_RUN,
				"no runner serves this now; wait for the version to be loaded, or check the rule's selectors");
	}

	void recordStart(ActiveRequest request) {
		this.requestsInProgress.add(request);
		this.counters.started().increment();
		this.retryBudget.updateAndGet(RetryBudget::afterFirstAttempt);
	}

	/**
	 * Decides whether a request is retried, and takes the retry from the budget.
	 * @param failed the failed attempt
	 * @return the delay before the retry in milliseconds, or empty for no retry
	 */
	Optional<Long> reserveRetry(RetryPolicy.FailedAttempt failed) {
		if (!this.policies.retries().mayRetry(failed) || !spendRetryBudget()) {
			return Optional.empty();
		}
		this.counters.retries().increment();
		return Optional.of(this.router.retryDelayMillis(this.policies.retries(), failed.attempts()));
	}

	private boolean spendRetryBudget() {
		if (!this.policies.retryBudget()) {
			return true;
		}
		RetryBudget previous = this.retryBudget
			.getAndUpdate((current) -> (current.allowsRetry()) ? current.afterRetry() : current);
		return previous.allowsRetry();
	}

	void recordResponseStart(Attempt attempt) {
		if (attempt.markResponseStarted()) {
			this.runnerLoads.recordResponseStart(attempt.runner(), nowMillis() - attempt.sentAtMillis());
		}
	}

	void recordAttemptFailure(RunnerKey runner, boolean notRun) {
		this.runnerLoads.recordFailure(runner);
		if (notRun) {
			this.counters.rejectedByAgents().increment();
		}
	}

	void recordResponseEnd() {
		this.counters.responded().increment();
	}

	void release(Attempt attempt) {
		this.requestsByAttemptId.remove(attempt.attemptId());
		this.runnerLoads.recordEnd(attempt.runner(), attempt.isResponseStarted());
	}

	void recordFailure(FailureKind kind) {
		this.counters.countFailure(kind);
	}

	void recordCallerDisconnect() {
		this.counters.callersDisconnected().increment();
	}

	void recordTokens(ClientAccount account, long tokens) {
		this.accountLimits.recordTokens(account, tokens);
	}

	Optional<PeerConnection> connectionTo(InstanceId instance) {
		return this.connections.to(instance);
	}

}
