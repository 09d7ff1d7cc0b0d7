package org.catkingate.entry;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.xnio.XnioExecutor;

import org.catkingate.decisions.retries.RetryPolicy;
import org.catkingate.decisions.routing.RunnerKey;
import org.catkingate.model.RequestId;
import org.catkingate.runtime.http.CallerAnswer;
import org.catkingate.runtime.http.CallerDeparture;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.wire.Traffic;

/**
 * One caller's request at the entry, from its admission until its answer is written. The
 * bytes of the answer are passed on in the order of their offsets, from the current
 * attempt only; whatever else arrives is dropped. Used on the exchange's I/O thread only.
 */
final class Call {

	/** After how many bytes the agent is told how far the answer is. */
	private static final int PROGRESS_BYTES = 32 * 1024;

	private final CallRequest request;

	private final HttpServerExchange exchange;

	private final CallSupport support;

	private final CallerAnswer answer;

	private final TokenCount tokens = new TokenCount();

	private final Set<RunnerKey> tried = new HashSet<>();

	private Attempt attempt;

	private int attempts;

	private Traffic.AnswerHead head;

	private long received;

	private long reported;

	private long attachedFrom = -1;

	private Failure refusalByHome;

	private boolean mayHaveRun;

	private boolean over;

	private XnioExecutor.Key deadline;

	Call(CallRequest request, HttpServerExchange exchange, CallSupport support) {
		this.request = request;
		this.exchange = exchange;
		this.support = support;
		this.answer = new CallerAnswer(exchange, this::proceed, this::callerLeft);
	}

	CallRequest request() {
		return this.request;
	}

	Attempt attempt() {
		return this.attempt;
	}

	HttpServerExchange exchange() {
		return this.exchange;
	}

	Set<RunnerKey> tried() {
		return this.tried;
	}

	void start() {
		this.exchange.addExchangeCompleteListener((completed, next) -> {
			finish();
			next.proceed();
		});
		CallerDeparture.watch(this.exchange, this::callerLeft);
		long left = Math.max(1, leftMillis());
		this.deadline = this.exchange.getIoThread().executeAfter(this::deadlinePassed, left, TimeUnit.MILLISECONDS);
		this.support.firstTry();
		dispatch();
	}

	private long leftMillis() {
		return this.request.deadlineMillis() - this.support.nowMillis();
	}

	private void dispatch() {
		if (this.over) {
			return;
		}
		Optional<Attempt> sent = this.support.send(this, wireId(), leftMillis());
		if (sent.isEmpty()) {
			refuse((this.refusalByHome != null) ? this.refusalByHome : this.support.noRunner(this));
			return;
		}
		this.attempt = sent.get();
		this.attempts++;
		this.tried.add(this.attempt.runner());
	}

	private RequestId wireId() {
		RequestId id = this.request.id();
		return new RequestId(id.high(), id.low() + this.attempts);
	}

	/**
	 * Takes a message of the answer. It is written at the next {@link #proceed()}.
	 * @param connection where it came from
	 * @param message the message
	 */
	void received(PeerConnection connection, Traffic message) {
		if (this.over || !isCurrent(connection, message)) {
			return;
		}
		if (message instanceof Traffic.AnswerData data) {
			receivedData(data);
		}
		else if (message instanceof Traffic.AnswerHead first) {
			receivedHead(first);
		}
		else if (message instanceof Traffic.AnswerEnd end) {
			receivedEnd(end);
		}
		else if (message instanceof Traffic.AnswerFailure failure) {
			receivedFailure(failure);
		}
	}

	private boolean isCurrent(PeerConnection connection, Traffic message) {
		return this.attempt != null && this.attempt.wireId().equals(message.request()) && this.attempt.isAt(connection);
	}

	private void receivedHead(Traffic.AnswerHead first) {
		if (this.head == null) {
			this.head = first;
			this.support.answerBegun(this.attempt);
		}
	}

	private void receivedData(Traffic.AnswerData data) {
		int known = (int) Math.min(this.received - data.offset(), data.bytes().length);
		if (known < 0 || this.head == null) {
			attachAgain();
			return;
		}
		int count = data.bytes().length - known;
		if (count > 0) {
			this.answer.add(ByteBuffer.wrap(data.bytes(), known, count));
			this.received += count;
			this.tokens.add(data.bytes(), known);
		}
	}

	private void receivedEnd(Traffic.AnswerEnd end) {
		if (this.head == null || end.totalBytes() > this.received) {
			attachAgain();
			return;
		}
		if (end.totalBytes() < this.received) {
			lost("the answer's end contradicts its bytes");
			return;
		}
		this.attempt.send(new Traffic.AnswerProgress(this.attempt.wireId(), this.received));
		this.answer.end();
		this.support.answered();
		settle();
	}

	/**
	 * Asks for what is missing, once for each position.
	 */
	private void attachAgain() {
		if (this.attachedFrom != this.received) {
			this.attachedFrom = this.received;
			this.attempt.send(new Traffic.Attach(this.attempt.wireId(), this.head != null, this.received));
		}
	}

	private void receivedFailure(Traffic.AnswerFailure failure) {
		boolean notRun = failure.reason() == Traffic.FailureReason.NOT_RUN;
		this.support.attemptFailed(this.attempt.runner(), notRun);
		Failure told = failureOf(failure);
		if (notRun && this.request.isKeyed()) {
			this.refusalByHome = told;
		}
		attemptFailed(notRun, told);
	}

	private Failure failureOf(Traffic.AnswerFailure failure) {
		return switch (failure.reason()) {
			case NOT_RUN -> Failure.notRun(failure.retryAfterMillis(), failure.message());
			case FAILED, OUTCOME_UNKNOWN -> new Failure(kindOfLoss(), failure.retryAfterMillis(), failure.message());
		};
	}

	private FailureKind kindOfLoss() {
		return (this.request.idempotent()) ? FailureKind.RUNNER_FAILED : FailureKind.OUTCOME_UNKNOWN;
	}

	private void attemptFailed(boolean notRun, Failure failure) {
		this.mayHaveRun |= !notRun;
		release();
		RetryPolicy.FailedAttempt failed = new RetryPolicy.FailedAttempt(notRun, this.request.idempotent(),
				this.answer.isBegun(), this.attempts, leftMillis());
		if (!this.answer.isBegun()) {
			forgetAnswer();
		}
		Optional<Long> delay = this.support.retryDelay(failed);
		if (delay.isEmpty()) {
			refuse(failure);
			return;
		}
		this.exchange.getIoThread().executeAfter(this::dispatch, delay.get(), TimeUnit.MILLISECONDS);
	}

	private void forgetAnswer() {
		this.head = null;
		this.received = 0;
		this.attachedFrom = -1;
		this.answer.clear();
	}

	private void refuse(Failure failure) {
		if (this.over) {
			return;
		}
		settle();
		if (this.answer.isBegun()) {
			this.answer.cut();
			return;
		}
		forgetAnswer();
		Failure told = truthful(failure);
		this.support.failed(told.kind());
		FailureWriter.write(this.exchange, told);
	}

	/*
	 * Says not run only if no attempt may have run, whatever became of the last one.
	 */
	private Failure truthful(Failure failure) {
		if (failure.kind() == FailureKind.NOT_RUN && this.mayHaveRun) {
			return new Failure(kindOfLoss(), failure.retryAfterMillis(), failure.message());
		}
		return failure;
	}

	/**
	 * Writes what has been received and tells the agent how far the answer is.
	 */
	void proceed() {
		if (this.head == null) {
			return;
		}
		if (!this.answer.isBegun()) {
			this.answer.begin(this.head.status(), headers(this.head));
		}
		this.answer.proceed();
		this.support.generated(this.request.account(), this.tokens.take());
		reportProgress();
	}

	private static HeaderMap headers(Traffic.AnswerHead head) {
		HeaderMap headers = new HeaderMap();
		head.headers().forEach((header) -> headers.add(new HttpString(header.name()), header.value()));
		return headers;
	}

	private void reportProgress() {
		if (!this.over && this.answer.written() - this.reported >= PROGRESS_BYTES) {
			this.reported = this.answer.written();
			this.attempt.send(new Traffic.AnswerProgress(this.attempt.wireId(), this.reported));
		}
	}

	/**
	 * The connection to the agent is lost.
	 * @param connection the connection
	 */
	void connectionLost(PeerConnection connection) {
		if (this.over || this.attempt == null || !this.attempt.uses(connection)) {
			return;
		}
		this.attempt.detach();
		Attempt detached = this.attempt;
		Optional<PeerConnection> other = this.support.connectionTo(detached.runner().instance());
		if (other.isPresent() && !detached.uses(other.get())) {
			connectionOpened(other.get());
			return;
		}
		if (this.request.idempotent() && !this.answer.isBegun()) {
			lost("the connection to the runner's agent broke off");
			return;
		}
		this.exchange.getIoThread()
			.executeAfter(() -> giveUpOn(detached), this.support.attachPatienceMillis(), TimeUnit.MILLISECONDS);
	}

	private void giveUpOn(Attempt detached) {
		if (!this.over && this.attempt == detached && !detached.isAttached()) {
			lost("no connection to the runner's agent could be made again");
		}
	}

	private void lost(String message) {
		this.support.attemptFailed(this.attempt.runner(), false);
		attemptFailed(false, Failure.of(kindOfLoss(), message));
	}

	/**
	 * Goes on over another connection to the agent.
	 * @param connection the connection
	 */
	void connectionOpened(PeerConnection connection) {
		if (this.over || this.attempt == null || this.attempt.uses(connection)) {
			return;
		}
		if (this.attempt.isAt(connection)) {
			this.attempt.attach(connection, this.head != null, this.received);
		}
		else if (this.attempt.isAtInstance(connection)) {
			lost("the runner's agent was replaced while it had the request");
		}
	}

	private void deadlinePassed() {
		if (this.over) {
			if (this.answer.isBegun()) {
				this.answer.cut();
			}
			return;
		}
		cancelAttempt();
		boolean mayHaveRun = this.attempt != null && !this.request.idempotent();
		refuse(Failure.of((mayHaveRun) ? FailureKind.OUTCOME_UNKNOWN : FailureKind.DEADLINE_PASSED,
				"no whole answer came in time; allow more with X-Request-Timeout-Ms"));
	}

	private void callerLeft() {
		if (this.over) {
			return;
		}
		this.support.callerLeft();
		cancelAttempt();
		settle();
		this.answer.cut();
	}

	private void cancelAttempt() {
		if (this.attempt != null) {
			this.attempt.send(new Traffic.Cancel(this.attempt.wireId()));
		}
	}

	/**
	 * Takes note that nothing more is expected for the request.
	 */
	private void settle() {
		if (!this.over) {
			this.over = true;
			release();
		}
	}

	private void release() {
		if (this.attempt != null) {
			this.support.release(this.attempt);
			this.attempt = null;
		}
	}

	private void finish() {
		if (!this.over) {
			cancelAttempt();
			settle();
		}
		this.deadline.remove();
		this.support.finished(this);
	}

}
