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
	private static final long LAST_WORD_MILLIS = 80;

	/**
	 * The shortest wait for a runner to begin its answer before another is asked, in
	 * milliseconds: longer than a queue that was let in, shorter than callers' patience.
	 */
	private static final long MUTE_MILLIS = 800;

	/**
	 * How often the time for a request to begin is looked at, in milliseconds: short
	 * against the time for a change, so that one declared meanwhile is noticed.
	 */
	private static final long VERSION_CHECK_MILLIS = 500;

	private static final String VERSION_REPLACED = "it has not begun and its runner's version is replaced";

	/** How many runners are tried that cannot be reached at all. */
	private static final int UNREACHED_RUNNERS = 3;

	private static final int FIRST_FAILURE = 300;

	/** Stands in the log for a status where the caller left before there was one. */
	private static final int NO_STATUS = 0;

	private final Admitted admitted;

	private final Route route;

	private final HttpServerExchange exchange;

	private final GatewaySupport support;

	private final AnswerRelay answer;

	private final RequestLog log;

	private final Set<RunnerId> tried = new HashSet<>();

	private RunnerAttempt attempt;

	private int sends;

	private int unreached;

	private boolean mayHaveRun;

	private long firstByteMillis = -1;

	private double predictedMillis;

	private boolean over;

	private XnioExecutor.Key timer;

	GatewayCall(Admitted admitted, HttpServerExchange exchange, GatewaySupport support) {
		this.admitted = admitted;
		this.route = admitted.route();
		this.exchange = exchange;
		this.support = support;
		this.answer = new AnswerRelay(exchange, this::callerReady, this::callerLeft);
		this.log = RequestLog.of(admitted);
	}

	void start() {
		this.support.counts().started();
		this.support.called(this.admitted.service());
		this.exchange.addExchangeCompleteListener((completed, next) -> {
			exchangeEnded();
			next.proceed();
		});
		CallerDeparture.watch(this.exchange, this::callerLeft);
		this.timer = this.exchange.getIoThread()
			.executeAfter(this::timedOut, Math.max(1, leftMillis()) + LAST_WORD_MILLIS, TimeUnit.MILLISECONDS);
		next();
	}

	private long leftMillis() {
		return this.admitted.deadlineMillis() - this.support.clock().millis();
	}

	private void next() {
		Demand demand = new Demand(this.admitted.head().promptTokens(), this.route.goalMillis(), leftMillis(),
				this.support.caution(this.admitted.service()));
		Choice choice = this.support.choose(this.admitted.service(), demand, this.tried);
		if (choice instanceof Choice.Send send) {
			RunnerState runner = this.support.runners().state(send.runner());
			Map<ModelName, Long> serving = runner.serving(this.support.clock().millis());
			this.log.chosen(send, serving);
			this.predictedMillis = send.predictedMillis();
			send(runner);
			if (!serving.isEmpty()) {
				withdrawIfNotBegun(this.attempt, serving);
			}
		}
		else if (choice instanceof Choice.Refuse refuse) {
			this.log.refused(refuse);
			giveUp(refuse.retryAfterMillis(), refuse.reason());
		}
	}

	private void send(RunnerState runner) {
		this.tried.add(runner.runner().id());
		RunnerHead head = new RunnerHead(runner.runner().id(), Math.max(1, leftMillis()), this.admitted.account(),
				this.answer.lastEvent());
		boolean onNewConnection = this.route.kind() == CallKind.NON_IDEMPOTENT;
		RunnerAttempt.Sending sending = new RunnerAttempt.Sending(
				RunnerRequest.of(this.exchange, this.admitted, this.support.format(), head), this.admitted.body(),
				this.admitted.head().promptTokens(), onNewConnection);
		this.attempt = RunnerAttempt.start(runner, sending, this.support.format(), this.exchange.getIoThread(),
				this.support.clock(), this);
		RunnerAttempt started = this.attempt;
		if (this.route.mayRunAgain() && this.sends + 1 < this.route.maximumRunners()) {
			this.exchange.getIoThread()
				.executeAfter(() -> leaveIfMute(started), Math.max(MUTE_MILLIS, 2 * this.route.goalMillis()),
						TimeUnit.MILLISECONDS);
		}
	}

	private void leaveIfMute(RunnerAttempt started) {
		if (!isOld(started) && !started.isBegun()) {
			failed(started, "mute", "no answer has begun");
		}
	}

	/*
	 * Predictions err, and a declaration may become known while a request waits at its
	 * runner, so the time for it to begin is looked at until it has begun.
	 */
	private void withdrawIfNotBegun(RunnerAttempt started, Map<ModelName, Long> serving) {
		if (isOld(started) || started.isBegun()) {
			return;
		}
		long within = this.support.beginWithinMillis(this.admitted.service(), serving);
		if (within > 0) {
			this.exchange.getIoThread()
				.executeAfter(() -> withdrawIfNotBegun(started, serving), Math.min(within, VERSION_CHECK_MILLIS),
						TimeUnit.MILLISECONDS);
		}
		else if (started.isSent()) {
			failed(started, "withdrawn", VERSION_REPLACED);
		}
		else {
			started.cancel();
			notSent(started, VERSION_REPLACED);
		}
	}

	@Override
	public void sent(RunnerAttempt from) {
		this.sends++;
	}

	@Override
	public void notSent(RunnerAttempt from, String reason) {
		if (isOld(from)) {
			return;
		}
		this.log.ended(from, "not-sent", reason);
		this.attempt = null;
		this.unreached++;
		if (this.unreached < UNREACHED_RUNNERS && leftMillis() > 0) {
			next();
			return;
		}
		giveUp(0, "no runner could be reached");
	}

	@Override
	public boolean head(RunnerAttempt from, ClientResponse head) {
		if (isOld(from)) {
			return false;
		}
		AnswerHead said = from.answer();
		if (!this.admitted.head().requestId().equals(said.requestId()) && !said.notRun()) {
			failed(from, "stray", "the runner answered another request");
			return false;
		}
		if (said.notRun()) {
			from.runner().refused(this.support.clock().millis());
			from.discard();
			this.log.ended(from, "refused", "status " + head.getResponseCode());
			this.attempt = null;
			repeatOr(() -> giveUp(0, "every runner that was asked has no place"));
			return true;
		}
		this.mayHaveRun = true;
		if (!said.signed()) {
			failed(from, "unsigned", "the answer bears no code of a runner");
			return false;
		}
		this.answer.head(head, this.route.kind() == CallKind.STREAM && head.getResponseCode() < FIRST_FAILURE);
		return true;
	}

	private boolean isOld(RunnerAttempt from) {
		return this.over || this.attempt != from;
	}

	@Override
	public boolean hasRoom() {
		return this.answer.hasRoom();
	}

	@Override
	public void begun(RunnerAttempt from, long tookMillis) {
		if (!isOld(from)) {
			this.log.begun(from, tookMillis);
			this.support.begun(this.admitted.service(), this.predictedMillis, tookMillis);
		}
	}

	@Override
	public void data(RunnerAttempt from, byte[] bytes) {
		if (isOld(from)) {
			return;
		}
		if (this.firstByteMillis < 0) {
			this.firstByteMillis = this.support.clock().millis() - this.admitted.arrivedAtMillis();
		}
		this.answer.data(bytes);
	}

	@Override
	public void ended(RunnerAttempt from) {
		if (isOld(from)) {
			return;
		}
		if (this.answer.isInsideEvent()) {
			broken(from, "the stream ended inside an event");
			return;
		}
		int status = this.answer.status();
		if (status >= FIRST_FAILURE && this.route.mayRunAgain() && !this.answer.isBegun()) {
			this.log.ended(from, "failed", "status " + status);
			repeatOr(() -> finishAnswer(from));
			return;
		}
		finishAnswer(from);
	}

	private void finishAnswer(RunnerAttempt from) {
		this.log.ended(from, "answered", "status " + this.answer.status());
		this.answer.end();
		settle("answered", this.answer.status());
		this.answer.proceed();
	}

	@Override
	public void broken(RunnerAttempt from, String reason) {
		if (isOld(from)) {
			return;
		}
		this.mayHaveRun = true;
		failed(from, "broken", reason);
	}

	private void failed(RunnerAttempt from, String outcome, String reason) {
		this.mayHaveRun = true;
		this.log.ended(from, outcome, reason);
		from.cancel();
		this.attempt = null;
		this.answer.forget();
		boolean resumable = !this.answer.isBegun() || (this.answer.isStreaming() && this.route.resumable());
		if (this.route.mayRunAgain() && resumable) {
			repeatOr(() -> giveUp(0, reason));
			return;
		}
		giveUp(0, reason);
	}

	/*
	 * Sends to another runner if the route, the budget and the time allow it.
	 */
	private void repeatOr(Runnable otherwise) {
		if (this.sends < this.route.maximumRunners() && leftMillis() > 0
				&& this.support.mayRepeat(this.admitted.service())) {
			next();
			return;
		}
		otherwise.run();
	}

	private void giveUp(long retryAfterMillis, String reason) {
		if (this.over) {
			return;
		}
		if (this.answer.isBegun()) {
			settle("broken-off", this.answer.status());
			this.answer.cut();
			return;
		}
		Refusal refusal = this.mayHaveRun ? Refusal.of(Refusal.Kind.OUTCOME_UNKNOWN, reason)
				: Refusal.notRun(Math.max(retryAfterMillis, RefusalWriter.SOON_MILLIS), reason);
		refuse(refusal);
	}

	private void timedOut() {
		if (this.over) {
			if (this.answer.isBegun()) {
				this.answer.cut();
			}
			return;
		}
		boolean unsent = this.sends == 0;
		stopRunner("timed-out");
		if (this.answer.isBegun()) {
			giveUp(0, "the time for the answer is over");
			return;
		}
		Refusal refusal = unsent ? Refusal.notRun(RefusalWriter.SOON_MILLIS, "no runner could be reached in time")
				: Refusal.of(Refusal.Kind.TIMED_OUT, "the time for the answer is over");
		refuse(refusal);
	}

	private void callerReady() {
		if (this.answer.isBegun()) {
			this.answer.proceed();
			if (this.attempt != null && hasRoom()) {
				this.attempt.resume();
			}
		}
	}

	private void callerLeft() {
		if (this.over) {
			return;
		}
		stopRunner("cancelled");
		settle("caller-left", NO_STATUS);
		this.answer.cut();
	}

	private void stopRunner(String outcome) {
		if (this.attempt != null) {
			this.log.ended(this.attempt, outcome, "");
			this.attempt.cancel();
			this.attempt = null;
		}
	}

	private void refuse(Refusal refusal) {
		settle(refusal.kind().name(), refusal.kind().status());
		RefusalWriter.write(this.exchange, this.support.format(), this.admitted.head().requestId(), refusal);
	}

	private void settle(String outcome, int status) {
		this.over = true;
		this.attempt = null;
		long whole = this.support.clock().millis() - this.admitted.arrivedAtMillis();
		this.support.counts().finished(outcome, this.firstByteMillis, whole);
		this.log.write(outcome, status, this.firstByteMillis, whole);
	}

	private void exchangeEnded() {
		if (!this.over) {
			stopRunner("cancelled");
			settle("caller-left", NO_STATUS);
		}
		this.timer.remove();
	}

}
