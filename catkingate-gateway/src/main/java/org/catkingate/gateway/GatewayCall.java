package org.catkingate.gateway;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientResponse;
import io.undertow.server.HttpServerExchange;
import org.xnio.XnioExecutor;

import org.catkingate.decisions.admission.Choice;
import org.catkingate.decisions.admission.Demand;
import org.catkingate.model.ModelName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.registry.CallKind;
import org.catkingate.model.registry.Route;
import org.catkingate.runtime.calls.AnswerHead;
import org.catkingate.runtime.calls.RunnerHead;
import org.catkingate.runtime.http.CallerDeparture;

/**
 * One request of a caller, from the choice of a runner to the end of its answer. The
 * caller gets one runner's whole answer, one refusal, or a connection that breaks off
 * visibly. A request that may have run is sent again only on routes where a second run
 * does no harm, and is never refused as not run. Used by the traffic thread only.
 */
final class GatewayCall implements RunnerAttempt.Listener {

	/**
	 * How long after the end of the time the runner's own answer is waited for, in
	 * milliseconds: it gives up at the same moment, and its word is worth more.
	 */
	private static final long RUNNER_RESPONSE_GRACE_MILLIS = 80;

	/**
	 * The shortest wait for a runner to begin its answer before another is asked, in
	 * milliseconds: longer than a queue that was let in, shorter than callers' patience.
	 */
	private static final long MIN_RESPONSE_START_TIMEOUT_MILLIS = 800;

	/**
	 * How often the time for a request to begin is looked at, in milliseconds: short
	 * against the time for a change, so that one declared meanwhile is noticed.
	 */
	private static final long VERSION_CHECK_INTERVAL_MILLIS = 500;

	private static final String VERSION_REPLACED = "it has not begun and its runner's version is replaced";

	/** How many runners are tried that cannot be reached at all. */
	private static final int MAX_UNREACHABLE_RUNNERS = 3;

	private static final int MIN_FAILURE_STATUS = 300;

	/** Stands in the log for a status where the caller left before there was one. */
	private static final int NO_STATUS = 0;

	private final AdmittedRequest admitted;

	private final Route route;

	private final HttpServerExchange exchange;

	private final CallContext context;

	private final ResponseRelay relay;

	private final RequestLog log;

	private final Set<RunnerId> tried = new HashSet<>();

	private RunnerAttempt attempt;

	private int sends;

	private int unreachableRunners;

	private boolean mayHaveRun;

	private long firstByteMillis = -1;

	private double predictedMillis;

	private boolean finished;

	private XnioExecutor.Key timer;

	GatewayCall(AdmittedRequest admitted, HttpServerExchange exchange, CallContext support) {
		this.admitted = admitted;
		this.route = admitted.route();
		this.exchange = exchange;
		this.context = support;
		this.relay = new ResponseRelay(exchange, this::handleCallerWritable, this::handleCallerDisconnect);
		this.log = RequestLog.of(admitted);
	}

	void start() {
		this.context.metrics().countStarted();
		this.context.countCall(this.admitted.service());
		this.exchange.addExchangeCompleteListener((completed, next) -> {
			handleExchangeEnd();
			next.proceed();
		});
		CallerDeparture.watch(this.exchange, this::handleCallerDisconnect);
		this.timer = this.exchange.getIoThread()
			.executeAfter(this::handleTimeout, Math.max(1, remainingMillis()) + RUNNER_RESPONSE_GRACE_MILLIS,
					TimeUnit.MILLISECONDS);
		tryNextRunner();
	}

	private long remainingMillis() {
		return this.admitted.deadlineMillis() - this.context.clock().millis();
	}

	private void tryNextRunner() {
		Demand demand = new Demand(this.admitted.head().promptTokens(), this.route.goalMillis(), remainingMillis(),
				this.context.caution(this.admitted.service()));
		Choice choice = this.context.choose(this.admitted.service(), demand, this.tried);
		if (choice instanceof Choice.Send send) {
			RunnerState runner = this.context.runners().state(send.runner());
			Map<ModelName, Long> serving = runner.servedVersions(this.context.clock().millis());
			this.log.addChoice(send, serving);
			this.predictedMillis = send.predictedMillis();
			send(runner);
			if (!serving.isEmpty()) {
				withdrawIfNotStarted(this.attempt, serving);
			}
		}
		else if (choice instanceof Choice.Refuse refuse) {
			this.log.addRejection(refuse);
			rejectOrAbort(refuse.retryAfterMillis(), refuse.reason());
		}
	}

	private void send(RunnerState runner) {
		this.tried.add(runner.runner().id());
		RunnerHead head = new RunnerHead(runner.runner().id(), Math.max(1, remainingMillis()), this.admitted.account(),
				this.relay.lastEventId());
		boolean onNewConnection = this.route.kind() == CallKind.NON_IDEMPOTENT;
		RunnerAttempt.OutgoingRequest sending = new RunnerAttempt.OutgoingRequest(
				RunnerRequestFactory.create(this.exchange, this.admitted, this.context.format(), head),
				this.admitted.body(), this.admitted.head().promptTokens(), onNewConnection);
		this.attempt = RunnerAttempt.start(runner, sending, this.context.format(), this.exchange.getIoThread(),
				this.context.clock(), this);
		RunnerAttempt started = this.attempt;
		if (this.route.mayRunAgain() && this.sends + 1 < this.route.maximumRunners()) {
			this.exchange.getIoThread()
				.executeAfter(() -> abandonIfNotStarted(started),
						Math.max(MIN_RESPONSE_START_TIMEOUT_MILLIS, 2 * this.route.goalMillis()),
						TimeUnit.MILLISECONDS);
		}
	}

	private void abandonIfNotStarted(RunnerAttempt started) {
		if (!isStale(started) && !started.isResponseStarted()) {
			failAttempt(started, "mute", "no answer has begun");
		}
	}

	/*
	 * Predictions err, and a declaration may become known while a request waits at its
	 * runner, so the time for it to begin is looked at until it has begun.
	 */
	private void withdrawIfNotStarted(RunnerAttempt started, Map<ModelName, Long> serving) {
		if (isStale(started) || started.isResponseStarted()) {
			return;
		}
		long within = this.context.beginWithinMillis(this.admitted.service(), serving);
		if (within > 0) {
			this.exchange.getIoThread()
				.executeAfter(() -> withdrawIfNotStarted(started, serving),
						Math.min(within, VERSION_CHECK_INTERVAL_MILLIS), TimeUnit.MILLISECONDS);
		}
		else if (started.isSent()) {
			failAttempt(started, "withdrawn", VERSION_REPLACED);
		}
		else {
			started.cancel();
			onNotSent(started, VERSION_REPLACED);
		}
	}

	@Override
	public void onSend(RunnerAttempt from) {
		this.sends++;
	}

	@Override
	public void onNotSent(RunnerAttempt from, String reason) {
		if (isStale(from)) {
			return;
		}
		this.log.addAttemptEnd(from, "not-sent", reason);
		this.attempt = null;
		this.unreachableRunners++;
		if (this.unreachableRunners < MAX_UNREACHABLE_RUNNERS && remainingMillis() > 0) {
			tryNextRunner();
			return;
		}
		rejectOrAbort(0, "no runner could be reached");
	}

	@Override
	public boolean onHead(RunnerAttempt from, ClientResponse head) {
		if (isStale(from)) {
			return false;
		}
		AnswerHead said = from.responseHead();
		if (!this.admitted.head().requestId().equals(said.requestId()) && !said.notRun()) {
			failAttempt(from, "stray", "the runner answered another request");
			return false;
		}
		if (said.notRun()) {
			from.runner().recordRejection(this.context.clock().millis());
			from.discard();
			this.log.addAttemptEnd(from, "refused", "status " + head.getResponseCode());
			this.attempt = null;
			retryOrElse(() -> rejectOrAbort(0, "every runner that was asked has no place"));
			return true;
		}
		this.mayHaveRun = true;
		if (!said.signed()) {
			failAttempt(from, "unsigned", "the answer bears no code of a runner");
			return false;
		}
		this.relay.receiveHead(head,
				this.route.kind() == CallKind.STREAM && head.getResponseCode() < MIN_FAILURE_STATUS);
		return true;
	}

	private boolean isStale(RunnerAttempt from) {
		return this.finished || this.attempt != from;
	}

	@Override
	public boolean hasRoom() {
		return this.relay.hasRoom();
	}

	@Override
	public void onResponseStart(RunnerAttempt from, long tookMillis) {
		if (!isStale(from)) {
			this.log.addResponseStart(from, tookMillis);
			this.context.recordResponseStart(this.admitted.service(), this.predictedMillis, tookMillis);
		}
	}

	@Override
	public void onData(RunnerAttempt from, byte[] bytes) {
		if (isStale(from)) {
			return;
		}
		if (this.firstByteMillis < 0) {
			this.firstByteMillis = this.context.clock().millis() - this.admitted.arrivedAtMillis();
		}
		this.relay.receiveData(bytes);
	}

	@Override
	public void onEnd(RunnerAttempt from) {
		if (isStale(from)) {
			return;
		}
		if (this.relay.isInsideEvent()) {
			onFailure(from, "the stream ended inside an event");
			return;
		}
		int status = this.relay.status();
		if (status >= MIN_FAILURE_STATUS && this.route.mayRunAgain() && !this.relay.isStarted()) {
			this.log.addAttemptEnd(from, "failed", "status " + status);
			retryOrElse(() -> completeResponse(from));
			return;
		}
		completeResponse(from);
	}

	private void completeResponse(RunnerAttempt from) {
		this.log.addAttemptEnd(from, "answered", "status " + this.relay.status());
		this.relay.end();
		finish("answered", this.relay.status());
		this.relay.flush();
	}

	@Override
	public void onFailure(RunnerAttempt from, String reason) {
		if (isStale(from)) {
			return;
		}
		this.mayHaveRun = true;
		failAttempt(from, "broken", reason);
	}

	private void failAttempt(RunnerAttempt from, String outcome, String reason) {
		this.mayHaveRun = true;
		this.log.addAttemptEnd(from, outcome, reason);
		from.cancel();
		this.attempt = null;
		this.relay.discardBuffered();
		boolean resumable = !this.relay.isStarted() || (this.relay.isStreaming() && this.route.resumable());
		if (this.route.mayRunAgain() && resumable) {
			retryOrElse(() -> rejectOrAbort(0, reason));
			return;
		}
		rejectOrAbort(0, reason);
	}

	/*
	 * Sends to another runner if the route, the budget and the time allow it.
	 */
	private void retryOrElse(Runnable otherwise) {
		if (this.sends < this.route.maximumRunners() && remainingMillis() > 0
				&& this.context.acquireRetry(this.admitted.service())) {
			tryNextRunner();
			return;
		}
		otherwise.run();
	}

	private void rejectOrAbort(long retryAfterMillis, String reason) {
		if (this.finished) {
			return;
		}
		if (this.relay.isStarted()) {
			finish("broken-off", this.relay.status());
			this.relay.abort();
			return;
		}
		Rejection refusal = this.mayHaveRun ? Rejection.of(Rejection.Kind.OUTCOME_UNKNOWN, reason)
				: Rejection.notRun(Math.max(retryAfterMillis, RejectionWriter.DEFAULT_RETRY_AFTER_MILLIS), reason);
		reject(refusal);
	}

	private void handleTimeout() {
		if (this.finished) {
			if (this.relay.isStarted()) {
				this.relay.abort();
			}
			return;
		}
		boolean unsent = this.sends == 0;
		cancelAttempt("timed-out");
		if (this.relay.isStarted()) {
			rejectOrAbort(0, "the time for the answer is over");
			return;
		}
		Rejection refusal = unsent
				? Rejection.notRun(RejectionWriter.DEFAULT_RETRY_AFTER_MILLIS, "no runner could be reached in time")
				: Rejection.of(Rejection.Kind.TIMED_OUT, "the time for the answer is over");
		reject(refusal);
	}

	private void handleCallerWritable() {
		if (this.relay.isStarted()) {
			this.relay.flush();
			if (this.attempt != null && hasRoom()) {
				this.attempt.resume();
			}
		}
	}

	private void handleCallerDisconnect() {
		if (this.finished) {
			return;
		}
		cancelAttempt("cancelled");
		finish("caller-left", NO_STATUS);
		this.relay.abort();
	}

	private void cancelAttempt(String outcome) {
		if (this.attempt != null) {
			this.log.addAttemptEnd(this.attempt, outcome, "");
			this.attempt.cancel();
			this.attempt = null;
		}
	}

	private void reject(Rejection refusal) {
		finish(refusal.kind().name(), refusal.kind().status());
		RejectionWriter.write(this.exchange, this.context.format(), this.admitted.head().requestId(), refusal);
	}

	private void finish(String outcome, int status) {
		this.finished = true;
		this.attempt = null;
		long whole = this.context.clock().millis() - this.admitted.arrivedAtMillis();
		this.context.metrics().recordFinished(outcome, this.firstByteMillis, whole);
		this.log.write(outcome, status, this.firstByteMillis, whole);
	}

	private void handleExchangeEnd() {
		if (!this.finished) {
			cancelAttempt("cancelled");
			finish("caller-left", NO_STATUS);
		}
		this.timer.remove();
	}

}
