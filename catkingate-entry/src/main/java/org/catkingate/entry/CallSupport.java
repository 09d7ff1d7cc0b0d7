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
final class CallSupport {

	/** How many runners are tried for one attempt whose connections turn out closed. */
	private static final int SENDS_PER_ATTEMPT = 4;

	/** The interval of {@link #tick()}, in milliseconds. */
	static final long TICK_MILLIS = 250;

	private static final long PAUSE_MILLIS = 1_500;

	private static final long SETTLE_MILLIS = 1_000;

	private final Map<RequestId, Call> byWireId = new ConcurrentHashMap<>();

	private final AtomicReference<RetryBudget> budget = new AtomicReference<>(RetryBudget.initial());

	private final EntryCounts counts = EntryCounts.zero();

	private final Supplier<FleetSnapshot> fleet;

	private final PeerConnections connections;

	private final Router router;

	private final RunnerLoads loads;

	private final AccountLimits limits;

	private final EntryPolicies policies;

	private final MonotonicClock clock;

	private final long attachPatienceMillis;

	private final PauseWatch pauses;

	CallSupport(Supplier<FleetSnapshot> fleet, PeerConnections connections, EntryPolicies policies,
			AccountLimits limits, Location location, MonotonicClock clock, long attachPatienceMillis) {
		this.fleet = fleet;
		this.connections = connections;
		this.policies = policies;
		this.limits = limits;
		this.clock = clock;
		this.attachPatienceMillis = attachPatienceMillis;
		this.pauses = PauseWatch.starting(PAUSE_MILLIS, SETTLE_MILLIS, clock.millis());
		this.loads = new RunnerLoads(clock);
		this.router = new Router(policies.routing(), location, this.loads, clock, policies.seed());
	}

	EntryCounts counts() {
		return this.counts;
	}

	long nowMillis() {
		return this.clock.millis();
	}

	long attachPatienceMillis() {
		return this.attachPatienceMillis;
	}

	FleetSnapshot fleet() {
		return this.fleet.get();
	}

	/**
	 * Takes note that the process runs; to be called at a steady interval.
	 */
	void tick() {
		wasPausedLately();
	}

	boolean wasPausedLately() {
		return this.pauses.isSuspect(nowMillis());
	}

	LimitDecision startWithinLimits(ClientAccount account) {
		return this.limits.start(account);
	}

	void finished(Call call) {
		this.limits.ended(call.request().account());
		this.counts.finished().increment();
	}

	/**
	 * Frees the place of a request whose body never came whole.
	 * @param account its client account
	 */
	void abandoned(ClientAccount account) {
		this.limits.ended(account);
	}

	Call find(RequestId wireId) {
		return this.byWireId.get(wireId);
	}

	Iterable<Call> calls() {
		return this.byWireId.values();
	}

	/**
	 * Sends a request to a runner of the router's choice.
	 * @param call the call
	 * @param wireId the identity of the attempt
	 * @param leftMillis the time left for it, in milliseconds
	 * @return the attempt, or empty if it is certain that nothing was sent
	 */
	Optional<Attempt> send(Call call, RequestId wireId, long leftMillis) {
		for (int i = 0; i < SENDS_PER_ATTEMPT; i++) {
			Optional<RunnerKey> runner = choose(call);
			if (runner.isEmpty()) {
				return Optional.empty();
			}
			Optional<Attempt> attempt = this.connections.to(runner.get().instance())
				.filter(CallSupport::hasHeartbeat)
				.flatMap((connection) -> send(call, new Attempt(wireId, runner.get(), connection, nowMillis()),
						connection, leftMillis));
			if (attempt.isPresent()) {
				return attempt;
			}
			this.loads.failed(runner.get());
			call.tried().add(runner.get());
		}
		return Optional.empty();
	}

	private Optional<RunnerKey> choose(Call call) {
		if (call.request().isKeyed()) {
			return KeyedCalls.runner(fleet(), call.request(), call.tried(), nowMillis());
		}
		return this.router.choose(fleet(), call.request(), call.tried());
	}

	private static boolean hasHeartbeat(PeerConnection connection) {
		return connection.newestHeartbeat().get() > 0;
	}

	private Optional<Attempt> send(Call call, Attempt attempt, PeerConnection connection, long leftMillis) {
		this.byWireId.put(attempt.wireId(), call);
		this.loads.started(attempt.runner());
		if (connection.frames().send(dispatch(call.request(), attempt, connection, leftMillis))) {
			return Optional.of(attempt);
		}
		release(attempt);
		return Optional.empty();
	}

	private Traffic.Dispatch dispatch(CallRequest request, Attempt attempt, PeerConnection connection,
			long leftMillis) {
		return new Traffic.Dispatch(attempt.wireId(), connection.newestHeartbeat().get(), leftMillis,
				request.account().name(), request.service().name(), attempt.runner().runner(),
				version(request.rule(), attempt.runner()), request.account().priority(), request.idempotent(),
				request.idempotencyKey(), request.method(), request.target(), request.headers(), request.body());
	}

	// the version that the runner was chosen for; the agent refuses if it has switched
	// since
	private VersionId version(RoutingRule rule, RunnerKey runner) {
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

	Failure noRunner(Call call) {
		if (call.request().isKeyed()) {
			return KeyedCalls.failure(fleet(), call.request());
		}
		if (this.router.hasCandidates(fleet(), call.request().rule())) {
			return Failure.comeBackSoon(FailureKind.NOT_RUN,
					"every runner that could be reached refused the request; come back later");
		}
		return Failure.comeBackSoon(FailureKind.NOT_RUN,
				"no runner serves this now; wait for the version to be loaded, or check the rule's selectors");
	}

	void firstTry() {
		this.counts.started().increment();
		this.budget.updateAndGet(RetryBudget::afterFirstTry);
	}

	/**
	 * Decides about another attempt and spends the budget for it.
	 * @param failed what is known of the failed attempt
	 * @return the wait before it in milliseconds, or empty for none
	 */
	Optional<Long> retryDelay(RetryPolicy.FailedAttempt failed) {
		if (!this.policies.retries().mayRetry(failed) || !spendRetry()) {
			return Optional.empty();
		}
		this.counts.retries().increment();
		return Optional.of(this.router.retryDelayMillis(this.policies.retries(), failed.attempts()));
	}

	private boolean spendRetry() {
		if (!this.policies.retryBudget()) {
			return true;
		}
		RetryBudget before = this.budget
			.getAndUpdate((current) -> (current.allowsRetry()) ? current.afterRetry() : current);
		return before.allowsRetry();
	}

	void answerBegun(Attempt attempt) {
		if (attempt.begin()) {
			this.loads.answerBegun(attempt.runner(), nowMillis() - attempt.sentMillis());
		}
	}

	void attemptFailed(RunnerKey runner, boolean notRun) {
		this.loads.failed(runner);
		if (notRun) {
			this.counts.refusedByAgents().increment();
		}
	}

	void answered() {
		this.counts.answered().increment();
	}

	void release(Attempt attempt) {
		this.byWireId.remove(attempt.wireId());
		this.loads.ended(attempt.runner(), attempt.hasBegun());
	}

	void failed(FailureKind kind) {
		this.counts.failed(kind);
	}

	void callerLeft() {
		this.counts.callersLeft().increment();
	}

	void generated(ClientAccount account, long tokens) {
		this.limits.generated(account, tokens);
	}

	Optional<PeerConnection> connectionTo(InstanceId instance) {
		return this.connections.to(instance);
	}

}
