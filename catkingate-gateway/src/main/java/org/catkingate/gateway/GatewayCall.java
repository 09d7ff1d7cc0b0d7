package org.catkingate.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientResponse;
import io.undertow.server.DefaultResponseListener;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.xnio.XnioExecutor;

import org.catkingate.decisions.admission.AdmissionDecision;
import org.catkingate.decisions.prompts.PromptQuarantine;
import org.catkingate.decisions.prompts.PromptVerdict;
import org.catkingate.model.ModelName;
import org.catkingate.model.registry.CallKind;
import org.catkingate.model.registry.Route;
import org.catkingate.runtime.calls.RunnerHead;
import org.catkingate.runtime.calls.RunnerResponseHead;
import org.catkingate.runtime.http.CallerDisconnectWatcher;

/**
 * One request of a caller, from the choice of a runner to the end of the response. The
 * caller receives either one complete response, or one rejection, or a connection that is
 * closed before the response is complete. A request that may have run is retried only on
 * routes where a second run does no harm, and is never rejected as not run. Used by the
 * traffic thread only.
 */
final class GatewayCall implements RunnerAttempt.Listener, CallAdmission.Listener, CallerConnections.ShutdownListener {

	/**
	 * The time after the deadline for which the runner's response is still awaited. The
	 * runner applies the same deadline, and its own response is more precise than a
	 * time-out of the gateway.
	 */
	private static final long RUNNER_RESPONSE_GRACE_MILLIS = 80;

	/**
	 * The minimum time for which the start of a response is awaited before the request is
	 * retried at another runner: longer than the queueing time that admission allows, and
	 * shorter than the time that callers wait.
	 */
	private static final long MIN_RESPONSE_START_TIMEOUT_MILLIS = 800;

	/**
	 * The maximum interval between checks whether a waiting request may still start on
	 * its runner's version. It is short compared with the time for a version change, so
	 * that a version declared in the meantime is detected.
	 */
	private static final long VERSION_CHECK_INTERVAL_MILLIS = 500;

	/**
	 * The interval between checks whether the service has another runner, to which a
	 * request can be sent whose response has not started.
	 */
	private static final long RUNNER_CHECK_INTERVAL_MILLIS = 200;

	private static final String VERSION_REPLACED = "it has not begun and its runner's version is replaced";

	/** The number of unreachable runners after which the request is rejected. */
	private static final int MAX_UNREACHABLE_RUNNERS = 3;

	private static final int MIN_FAILURE_STATUS = 300;

	private static final String BROKEN_OFF = "broken-off";

	private static final String CALLER_LEFT = "caller-left";

	private static final Set<String> OUTCOMES_WITHOUT_COMPLETE_RESPONSE = Set.of(BROKEN_OFF, CALLER_LEFT);

	/** The status that is logged if the caller disconnects before there is one. */
	private static final int NO_STATUS = 0;

	private final AdmittedRequest admitted;

	private final Route route;

	private final HttpServerExchange exchange;

	private final OpenRequest openRequest;

	private final SharedCallState sharedState;

	private final ResponseCheck responseCheck;

	private final ResponseRelay relay;

	private final RequestLog log;

	/** The shared parts of the prompt, and the fingerprint of the whole request. */
	private final List<String> parts;

	private final CallAdmission admission;

	private RunnerAttempt attempt;

	private int sends;

	private int unreachableRunners;

	/** Whether the connection of an attempt has gone silent. */
	private boolean connectionFailed;

	/** The part in quarantine that this request tries, null if it is no trial. */
	private String trialPart;

	private int sendsBeforeTrial;

	private boolean mayHaveRun;

	private long firstByteMillis = -1;

	private double predictedMillis;

	private boolean finished;

	private XnioExecutor.Key timer;

	private final AttemptTimers attemptTimers;

	GatewayCall(AdmittedRequest admitted, HttpServerExchange exchange, SharedCallState sharedState) {
		this.admitted = admitted;
		this.route = admitted.route();
		this.exchange = exchange;
		this.openRequest = OpenRequest.of(exchange);
		this.attemptTimers = new AttemptTimers(exchange.getIoThread());
		this.sharedState = sharedState;
		this.responseCheck = new ResponseCheck(admitted.head().requestId(),
				exchange.getRequestHeaders().getFirst(Headers.ACCEPT_ENCODING), this.route.kind() == CallKind.STREAM);
		this.relay = new ResponseRelay(exchange, sharedState.responseMemory(), this::handleCallerWritable,
				this::handleCallerDisconnect);
		this.log = RequestLog.of(admitted);
		this.parts = new ArrayList<>(admitted.head().sharedParts());
		this.parts.add(admitted.fingerprint(exchange.getRequestMethod().toString()));
		this.admission = new CallAdmission(admitted, sharedState, exchange.getIoThread(), this.log,
				() -> !isTrial() && sharedState.prompts().isQuarantined(this.parts), this);
	}

	void start() {
		this.openRequest.recordPhase(OpenRequest.Phase.WAITING);
		this.sharedState.metrics().countStarted();
		this.sharedState.countCall(this.admitted.service());
		this.admission.recordArrival();
		this.exchange.addExchangeCompleteListener((completed, next) -> {
			handleExchangeEnd();
			next.proceed();
		});
		this.timer = this.exchange.getIoThread()
			.executeAfter(this::handleTimeout, Math.max(1, remainingMillis()) + RUNNER_RESPONSE_GRACE_MILLIS,
					TimeUnit.MILLISECONDS);
		CallerDisconnectWatcher.watchAndCheck(this.exchange, this::handleCallerDisconnect);
		if (!this.finished) {
			tryNextRunner();
		}
	}

	private long elapsedMillis() {
		return this.sharedState.clock().millis() - this.admitted.arrivedAtMillis();
	}

	private long remainingMillis() {
		return this.sharedState.shutdownState().deadlineMillis(this.admitted.deadlineMillis())
				- this.sharedState.clock().millis();
	}

	private void tryNextRunner() {
		if (rejectInShutdown()) {
			return;
		}
		if (!this.relay.isStarted()) {
			this.openRequest.recordPhase(OpenRequest.Phase.WAITING);
		}
		PromptVerdict verdict = this.sharedState.prompts().admit(this.admitted.head().requestId(), this.parts);
		if (verdict.kind() == PromptVerdict.Kind.QUARANTINED) {
			this.log.addQuarantine(verdict);
			this.sharedState.metrics().countQuarantined();
			rejectOrAbort(verdict.remainingMillis(), "it or a part of its prompt has crashed several runners");
			return;
		}
		if (verdict.kind() == PromptVerdict.Kind.TRIAL_DUE) {
			this.trialPart = verdict.part();
			this.sendsBeforeTrial = this.sends;
		}
		this.admission.decide();
	}

	/*
	 * A stream that has started goes on as long as possible, since its caller has a part
	 * of it already.
	 */
	private boolean isTooLateInShutdown() {
		return !this.relay.isStarted() && !this.sharedState.allowsSending(this.admitted);
	}

	private boolean rejectInShutdown() {
		boolean tooLate = isTooLateInShutdown();
		if (tooLate && !this.mayHaveRun) {
			reject(Rejection.notRun(this.sharedState.shutdownRetryAfterMillis(), RequestHandler.SHUTTING_DOWN));
		}
		else if (tooLate) {
			rejectOrAbort(0, RequestHandler.SHUTTING_DOWN);
		}
		return tooLate;
	}

	@Override
	public void onAdmitted(AdmissionDecision.Send send) {
		if (rejectInShutdown()) {
			return;
		}
		RunnerState runner = this.sharedState.runners().state(send.runner());
		Map<ModelName, Long> serving = runner.servedVersions(this.sharedState.clock().millis());
		this.log.addSend(send, serving, this.admission.describeInputs(runner.work()), elapsedMillis());
		this.predictedMillis = send.predictedMillis();
		send(runner);
		if (!serving.isEmpty()) {
			withdrawIfNotStarted(this.attempt, serving);
		}
	}

	@Override
	public void onRejected(AdmissionDecision.Reject reject) {
		rejectOrAbort(reject.retryAfterMillis(), reject.reason());
	}

	private void send(RunnerState runner) {
		this.attemptTimers.remove();
		RunnerHead head = new RunnerHead(runner.runner().id(), Math.max(1, remainingMillis()), this.admitted.account(),
				this.relay.lastEventId(), this.admission.priority());
		boolean onNewConnection = !this.route.canRunAgain() || this.connectionFailed;
		RunnerAttempt.OutgoingRequest request = new RunnerAttempt.OutgoingRequest(
				RunnerRequestFactory.create(this.exchange, this.admitted, this.sharedState.codec(), head),
				this.admitted.body(), this.admission.cost(), onNewConnection, this.admission::scope,
				this.responseCheck);
		this.attempt = RunnerAttempt.start(runner, request, this.sharedState.codec(), this.exchange.getIoThread(),
				this.sharedState.clock(), this);
		RunnerAttempt awaited = this.attempt;
		if (this.route.canRunAgain() && this.sends + 1 < this.route.maxRunners()) {
			this.attemptTimers.setStartTimeout(() -> abandonIfNotStarted(awaited),
					Math.max(MIN_RESPONSE_START_TIMEOUT_MILLIS, 2 * this.route.goalMillis()));
		}
	}

	/*
	 * While the service has no other runner, a late response is the only one that the
	 * caller can get.
	 */
	private void abandonIfNotStarted(RunnerAttempt awaited) {
		if (isStale(awaited) || awaited.isResponseStarted()) {
			return;
		}
		if (this.admission.hasUntriedRunner()) {
			failAttempt(awaited, "mute", "no answer has begun");
		}
		else {
			this.attemptTimers.setStartTimeout(() -> abandonIfNotStarted(awaited), RUNNER_CHECK_INTERVAL_MILLIS);
		}
	}

	/*
	 * A prediction may be wrong, and a new version may be declared while a request waits
	 * at its runner. Therefore the remaining time for the request to start is checked
	 * until it has started.
	 */
	private void withdrawIfNotStarted(RunnerAttempt awaited, Map<ModelName, Long> serving) {
		if (isStale(awaited) || awaited.isResponseStarted()) {
			return;
		}
		long startWithin = this.sharedState.startWithinMillis(this.admitted.service(), serving);
		if (startWithin > 0) {
			this.attemptTimers.setVersionCheck(() -> withdrawIfNotStarted(awaited, serving),
					Math.min(startWithin, VERSION_CHECK_INTERVAL_MILLIS));
		}
		else if (awaited.isSent()) {
			failAttempt(awaited, "withdrawn", VERSION_REPLACED);
		}
		else {
			awaited.cancel();
			onNotSent(awaited, VERSION_REPLACED);
		}
	}

	private boolean isTrial() {
		return this.trialPart != null && this.sends == this.sendsBeforeTrial;
	}

	@Override
	public void onSend(RunnerAttempt from) {
		this.sends++;
		if (!this.relay.isStarted()) {
			this.openRequest.recordPhase(OpenRequest.Phase.SENT);
		}
		this.sharedState.prompts().recordSend(from, this.admitted.head().requestId(), this.parts, () -> withdraw(from));
	}

	private void withdraw(RunnerAttempt from) {
		if (!isStale(from)) {
			failAttempt(from, "withdrawn", "it or a part of its prompt has been quarantined");
		}
	}

	@Override
	public void onNotSent(RunnerAttempt from, String reason) {
		if (isStale(from)) {
			return;
		}
		this.log.addAttemptEnd(from, "not-sent", reason);
		this.attempt = null;
		this.unreachableRunners += from.unmetCondition().isEmpty() ? 1 : 0;
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
		RunnerResponseHead response = from.responseHead();
		Optional<ResponseCheck.Flaw> flaw = this.responseCheck.find(response, head, from.wasOnUnusedConnection());
		if (flaw.isPresent()) {
			failAttempt(from, flaw.get().outcome(), flaw.get().reason());
			return false;
		}
		if (response.notRun()) {
			this.sharedState.prompts().recordEnd(from, false);
			recordRejection(from.runner(), response);
			from.discard();
			this.log.addAttemptEnd(from, "refused", "status " + head.getResponseCode());
			this.attempt = null;
			retryOrElse(
					() -> rejectOrAbort(this.admission.retryAfterMillis(), "every runner that was asked has no place"));
			return true;
		}
		this.mayHaveRun = true;
		boolean eventStream = this.route.kind() == CallKind.STREAM && head.getResponseCode() < MIN_FAILURE_STATUS;
		if (!this.relay.receiveHead(head, eventStream)) {
			failAttempt(from, "no-continuation",
					"status " + head.getResponseCode() + " is not the rest of the stream that has started");
			return false;
		}
		return true;
	}

	private void recordRejection(RunnerState runner, RunnerResponseHead response) {
		long now = this.sharedState.clock().millis();
		if (response.misdirected()) {
			runner.recordMisdirected(now);
		}
		else {
			runner.recordRejection(now);
		}
	}

	private boolean isStale(RunnerAttempt from) {
		return this.finished || this.attempt != from;
	}

	@Override
	public boolean canAccept() {
		return this.relay.canAccept();
	}

	@Override
	public void onResponseStart(RunnerAttempt from, long elapsedMillis) {
		if (!isStale(from)) {
			this.attemptTimers.remove();
			this.log.addResponseStart(from, elapsedMillis);
			this.sharedState.recordResponseStart(this.admitted.service(), this.predictedMillis, elapsedMillis);
			// the runner has read the prompt, so that another one can be sent
			this.sharedState.waitingCalls().check(this.admitted.service());
		}
	}

	@Override
	public void onData(RunnerAttempt from, byte[] bytes) {
		if (isStale(from)) {
			return;
		}
		if (this.firstByteMillis < 0) {
			this.firstByteMillis = elapsedMillis();
		}
		if (this.relay.status() < MIN_FAILURE_STATUS) {
			this.sharedState.prompts().recordData(from);
		}
		this.relay.receiveData(bytes);
		if (isStale(from)) {
			// writing has shown that the caller is gone
			return;
		}
		if (this.relay.isStarted()) {
			this.openRequest.recordPhase(OpenRequest.Phase.RESPONDING);
		}
		if (this.relay.hasUnplaceableEvent()) {
			failAttempt(from, "no-continuation", "an event does not follow those that were forwarded");
			return;
		}
		this.relay.exceededLimit().ifPresent((limit) -> {
			from.runner().recordFailure(this.sharedState.clock().millis());
			failAttempt(from, "too-long", limit);
		});
	}

	@Override
	public void onEnd(RunnerAttempt from, boolean delimited) {
		if (isStale(from)) {
			return;
		}
		if (!delimited && this.relay.lacksEvents()) {
			onFailure(from, "the connection ended before an event of the stream");
			return;
		}
		if (this.relay.isInsideEvent()) {
			onFailure(from, "the stream ended inside an event");
			return;
		}
		int status = this.relay.status();
		this.sharedState.prompts().recordEnd(from, status < MIN_FAILURE_STATUS);
		if (status >= MIN_FAILURE_STATUS && this.route.canRunAgain() && !this.relay.isStarted()) {
			this.log.addAttemptEnd(from, "failed", "status " + status);
			retryOrElse(() -> completeResponse(from));
			return;
		}
		completeResponse(from);
	}

	private void completeResponse(RunnerAttempt from) {
		this.log.addAttemptEnd(from, "answered", "status " + this.relay.status());
		if (this.relay.status() < MIN_FAILURE_STATUS) {
			this.sharedState.recordDuration(this.admitted.service(), from.elapsedMillis());
		}
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
		this.sharedState.prompts().recordBreak(from);
		boolean harmless = from.respondingMillis(this.sharedState.clock().millis()) >= PromptQuarantine.CLEARING_MILLIS;
		if (harmless || !this.route.canRunAgain()) {
			failAttempt(from, "broken", reason);
			return;
		}
		this.log.addAttemptEnd(from, "broken", progress(from) + ": " + reason);
		this.attempt = null;
		this.relay.discardBuffered();
		this.exchange.getIoThread()
			.executeAfter(() -> retryUnlessSuspected(reason), PromptGuard.EVALUATION_MILLIS, TimeUnit.MILLISECONDS);
	}

	private static String progress(RunnerAttempt attempt) {
		if (attempt.isResponseStarted()) {
			return "body begun";
		}
		return (attempt.responseHead() != null) ? "head received, no body" : "no head received";
	}

	private void retryUnlessSuspected(String reason) {
		if (this.finished) {
			return;
		}
		if (!this.sharedState.prompts().canRetry(this.parts)) {
			this.sharedState.metrics().countQuarantined();
			rejectOrAbort(0, "it or a part of its prompt may have ended its runner: " + reason);
		}
		else if (this.relay.canBeContinued()) {
			retryOrElse(() -> rejectOrAbort(0, reason));
		}
		else {
			rejectOrAbort(0, reason);
		}
	}

	private void failAttempt(RunnerAttempt from, String outcome, String reason) {
		this.mayHaveRun = true;
		this.log.addAttemptEnd(from, outcome, reason);
		this.sharedState.prompts().recordEnd(from, false);
		cancel(from);
		this.relay.discardBuffered();
		if (this.route.canRunAgain() && this.relay.canBeContinued()) {
			retryOrElse(() -> rejectOrAbort(0, reason));
			return;
		}
		rejectOrAbort(0, reason);
	}

	/*
	 * Retries at another runner if the route, the deadline, a shutdown and the retry
	 * allowance permit it.
	 */
	private void retryOrElse(Runnable fallback) {
		if (this.sends < this.route.maxRunners() && remainingMillis() > 0 && !isTooLateInShutdown()
				&& this.sharedState.acquireRetry(this.admitted.service())) {
			tryNextRunner();
			return;
		}
		fallback.run();
	}

	private void rejectOrAbort(long retryAfterMillis, String reason) {
		if (this.finished) {
			return;
		}
		if (this.relay.isStarted()) {
			finish(BROKEN_OFF, this.relay.status());
			this.relay.abort();
			return;
		}
		Rejection rejection = this.mayHaveRun ? Rejection.of(Rejection.Kind.OUTCOME_UNKNOWN, reason)
				: Rejection.notRun(Math.max(retryAfterMillis, RejectionWriter.DEFAULT_RETRY_AFTER_MILLIS), reason);
		reject(rejection);
	}

	private void handleTimeout() {
		if (this.finished) {
			if (this.relay.isStarted()) {
				this.relay.abort();
			}
			return;
		}
		boolean neverSent = this.sends == 0;
		cancelAttempt("timed-out");
		if (this.relay.isStarted()) {
			rejectOrAbort(0, "the time for the answer is over");
			return;
		}
		Rejection rejection = neverSent
				? Rejection.notRun(RejectionWriter.DEFAULT_RETRY_AFTER_MILLIS, "no runner could be reached in time")
				: Rejection.of(Rejection.Kind.TIMED_OUT, "the time for the answer is over");
		reject(rejection);
	}

	@Override
	public void onNoticeEnd() {
		if (!this.finished && this.attempt == null) {
			rejectInShutdown();
		}
	}

	@Override
	public void onRequestsEnd() {
		if (this.finished) {
			return;
		}
		this.mayHaveRun |= this.attempt != null && this.attempt.isSent();
		cancelAttempt("shut-down");
		rejectOrAbort(0, RequestHandler.SHUTTING_DOWN);
	}

	private void handleCallerWritable() {
		if (this.relay.isStarted()) {
			this.relay.flush();
			if (this.attempt != null && canAccept()) {
				this.attempt.resume();
			}
		}
	}

	private void handleCallerDisconnect() {
		if (this.finished) {
			return;
		}
		cancelAttempt("cancelled");
		finish(CALLER_LEFT, NO_STATUS);
		this.relay.abort();
	}

	private void cancelAttempt(String outcome) {
		if (this.attempt != null) {
			this.log.addAttemptEnd(this.attempt, outcome, "");
			this.sharedState.prompts().recordEnd(this.attempt, false);
			cancel(this.attempt);
		}
	}

	private void cancel(RunnerAttempt from) {
		if (from.isReusedConnectionSilent()) {
			this.connectionFailed = true;
			this.sharedState.runners().recordSilence(from.runner(), this.sharedState.clock().millis());
		}
		from.cancel();
		this.attempt = null;
	}

	private void reject(Rejection rejection) {
		finish(rejection.kind().name(), rejection.kind().status());
		RejectionWriter.write(this.exchange, this.sharedState.codec(), this.admitted.head().requestId(), rejection);
	}

	private void finish(String outcome, int status) {
		this.finished = true;
		this.attemptTimers.remove();
		this.admission.end();
		if (isTrial()) {
			this.sharedState.prompts().cancelTrial(this.trialPart);
		}
		this.attempt = null;
		long totalMillis = elapsedMillis();
		this.sharedState.metrics().recordFinished(outcome, this.firstByteMillis, totalMillis);
		this.log.write(outcome, status, this.firstByteMillis, totalMillis,
				this.sharedState.shutdownState().sinceStartMillis(this.admitted.arrivedAtMillis()));
		if (OUTCOMES_WITHOUT_COMPLETE_RESPONSE.contains(outcome)) {
			this.openRequest.recordLoss();
		}
		else {
			this.openRequest.recordResponse(outcome);
		}
		this.sharedState.waitingCalls().check(this.admitted.service());
	}

	private void handleExchangeEnd() {
		if (!this.finished) {
			cancelAttempt("cancelled");
			boolean failed = this.exchange.getAttachment(DefaultResponseListener.EXCEPTION) != null;
			finish(failed ? "failed" : CALLER_LEFT, failed ? this.exchange.getStatusCode() : NO_STATUS);
		}
		this.timer.remove();
	}

}
