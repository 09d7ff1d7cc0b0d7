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
import org.catkingate.runtime.http.CallerDisconnectWatcher;
import org.catkingate.runtime.http.CallerResponseWriter;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.wire.RequestMessage;

/**
 * A caller's request in progress at the entry, from its admission until its response is
 * written. The bytes of the response are forwarded in the order of their offsets, from
 * the current attempt only; anything else that arrives is dropped. Used on the exchange's
 * I/O thread only.
 */
final class ActiveRequest {

	/** The number of written bytes after which progress is reported to the agent. */
	private static final int PROGRESS_INTERVAL_BYTES = 32 * 1024;

	private final AdmittedRequest admittedRequest;

	private final HttpServerExchange exchange;

	private final RequestDispatcher dispatcher;

	private final CallerResponseWriter response;

	private final TokenCounter tokens = new TokenCounter();

	private final Set<RunnerKey> triedRunners = new HashSet<>();

	private Attempt currentAttempt;

	private int attemptCount;

	private RequestMessage.ResponseHead responseHead;

	private long receivedBytes;

	private long reportedBytes;

	private long requestedOffset = -1;

	private Failure rejectionByKeyAgent;

	private boolean mayHaveRun;

	private boolean ended;

	private XnioExecutor.Key deadlineTask;

	ActiveRequest(AdmittedRequest request, HttpServerExchange exchange, RequestDispatcher dispatcher) {
		this.admittedRequest = request;
		this.exchange = exchange;
		this.dispatcher = dispatcher;
		this.response = new CallerResponseWriter(exchange, this::writeResponse, this::handleCallerDisconnect);
	}

	AdmittedRequest admittedRequest() {
		return this.admittedRequest;
	}

	Attempt currentAttempt() {
		return this.currentAttempt;
	}

	HttpServerExchange exchange() {
		return this.exchange;
	}

	Set<RunnerKey> triedRunners() {
		return this.triedRunners;
	}

	void start() {
		this.exchange.addExchangeCompleteListener((completed, next) -> {
			close();
			next.proceed();
		});
		CallerDisconnectWatcher.watch(this.exchange, this::handleCallerDisconnect);
		long delay = Math.max(1, remainingMillis());
		this.deadlineTask = this.exchange.getIoThread()
			.executeAfter(this::handleDeadline, delay, TimeUnit.MILLISECONDS);
		this.dispatcher.recordStart(this);
		dispatch();
	}

	private long remainingMillis() {
		return this.admittedRequest.deadlineMillis() - this.dispatcher.nowMillis();
	}

	private void dispatch() {
		if (this.ended) {
			return;
		}
		Optional<Attempt> sent = this.dispatcher.send(this, nextAttemptId(), remainingMillis());
		if (sent.isEmpty()) {
			fail((this.rejectionByKeyAgent != null) ? this.rejectionByKeyAgent : this.dispatcher.noRunnerFailure(this));
			return;
		}
		this.currentAttempt = sent.get();
		this.attemptCount++;
		this.triedRunners.add(this.currentAttempt.runner());
	}

	private RequestId nextAttemptId() {
		RequestId id = this.admittedRequest.id();
		return new RequestId(id.high(), id.low() + this.attemptCount);
	}

	/**
	 * Receives a message of the response. Its data is written by the next
	 * {@link #writeResponse()}.
	 * @param connection the connection that the message arrived on
	 * @param message the message
	 */
	void receive(PeerConnection connection, RequestMessage message) {
		if (this.ended || !isCurrent(connection, message)) {
			return;
		}
		if (message instanceof RequestMessage.ResponseData data) {
			receiveData(data);
		}
		else if (message instanceof RequestMessage.ResponseHead head) {
			receiveHead(head);
		}
		else if (message instanceof RequestMessage.ResponseEnd end) {
			receiveEnd(end);
		}
		else if (message instanceof RequestMessage.ResponseFailure failure) {
			receiveFailure(failure);
		}
	}

	private boolean isCurrent(PeerConnection connection, RequestMessage message) {
		return this.currentAttempt != null && this.currentAttempt.attemptId().equals(message.request())
				&& this.currentAttempt.isSameProcess(connection);
	}

	private void receiveHead(RequestMessage.ResponseHead head) {
		if (this.responseHead == null) {
			this.responseHead = head;
			this.dispatcher.recordResponseStart(this.currentAttempt);
		}
	}

	private void receiveData(RequestMessage.ResponseData data) {
		int duplicateBytes = (int) Math.min(this.receivedBytes - data.offset(), data.bytes().length);
		if (duplicateBytes < 0 || this.responseHead == null) {
			requestMissingData();
			return;
		}
		int newBytes = data.bytes().length - duplicateBytes;
		if (newBytes > 0) {
			this.response.add(ByteBuffer.wrap(data.bytes(), duplicateBytes, newBytes));
			this.receivedBytes += newBytes;
			this.tokens.add(data.bytes(), duplicateBytes);
		}
	}

	private void receiveEnd(RequestMessage.ResponseEnd end) {
		if (this.responseHead == null || end.totalBytes() > this.receivedBytes) {
			requestMissingData();
			return;
		}
		if (end.totalBytes() < this.receivedBytes) {
			failCurrentAttempt("the answer's end contradicts its bytes");
			return;
		}
		this.currentAttempt
			.send(new RequestMessage.ResponseProgress(this.currentAttempt.attemptId(), this.receivedBytes));
		this.response.end();
		this.dispatcher.recordResponseEnd();
		end();
	}

	/**
	 * Requests the missing part of the response, once for each offset.
	 */
	private void requestMissingData() {
		if (this.requestedOffset != this.receivedBytes) {
			this.requestedOffset = this.receivedBytes;
			this.currentAttempt.send(new RequestMessage.Attach(this.currentAttempt.attemptId(),
					this.responseHead != null, this.receivedBytes));
		}
	}

	private void receiveFailure(RequestMessage.ResponseFailure failure) {
		boolean notRun = failure.reason() == RequestMessage.FailureReason.NOT_RUN;
		this.dispatcher.recordAttemptFailure(this.currentAttempt.runner(), notRun);
		Failure reported = toFailure(failure);
		if (notRun && this.admittedRequest.isKeyed()) {
			this.rejectionByKeyAgent = reported;
		}
		retryOrFail(notRun, reported);
	}

	private Failure toFailure(RequestMessage.ResponseFailure failure) {
		return switch (failure.reason()) {
			case NOT_RUN -> Failure.notRun(failure.retryAfterMillis(), failure.message());
			case FAILED, OUTCOME_UNKNOWN ->
				new Failure(kindIfMayHaveRun(), failure.retryAfterMillis(), failure.message());
		};
	}

	private FailureKind kindIfMayHaveRun() {
		return (this.admittedRequest.idempotent()) ? FailureKind.RUNNER_FAILED : FailureKind.OUTCOME_UNKNOWN;
	}

	private void retryOrFail(boolean notRun, Failure failure) {
		this.mayHaveRun |= !notRun;
		releaseAttempt();
		RetryPolicy.FailedAttempt failed = new RetryPolicy.FailedAttempt(notRun, this.admittedRequest.idempotent(),
				this.response.isStarted(), this.attemptCount, remainingMillis());
		if (!this.response.isStarted()) {
			resetResponse();
		}
		Optional<Long> delay = this.dispatcher.reserveRetry(failed);
		if (delay.isEmpty()) {
			fail(failure);
			return;
		}
		this.exchange.getIoThread().executeAfter(this::dispatch, delay.get(), TimeUnit.MILLISECONDS);
	}

	private void resetResponse() {
		this.responseHead = null;
		this.receivedBytes = 0;
		this.requestedOffset = -1;
		this.response.clear();
	}

	private void fail(Failure failure) {
		if (this.ended) {
			return;
		}
		end();
		if (this.response.isStarted()) {
			this.response.abort();
			return;
		}
		resetResponse();
		Failure reported = outcomeOfAllAttempts(failure);
		this.dispatcher.recordFailure(reported.kind());
		FailureWriter.write(this.exchange, reported);
	}

	// Returns the failure to report to the caller, which is NOT_RUN only if no attempt
	// may have run. The failure of the last attempt does not cover the previous ones.
	private Failure outcomeOfAllAttempts(Failure failure) {
		if (failure.kind() == FailureKind.NOT_RUN && this.mayHaveRun) {
			return new Failure(kindIfMayHaveRun(), failure.retryAfterMillis(), failure.message());
		}
		return failure;
	}

	/**
	 * Writes the received part of the response and reports progress to the agent.
	 */
	void writeResponse() {
		if (this.responseHead == null) {
			return;
		}
		if (!this.response.isStarted()) {
			this.response.start(this.responseHead.status(), responseHeaders(this.responseHead));
		}
		this.response.writePendingBytes();
		this.dispatcher.recordTokens(this.admittedRequest.account(), this.tokens.countThenReset());
		reportProgress();
	}

	private static HeaderMap responseHeaders(RequestMessage.ResponseHead head) {
		HeaderMap headers = new HeaderMap();
		head.headers().forEach((header) -> headers.add(new HttpString(header.name()), header.value()));
		return headers;
	}

	private void reportProgress() {
		if (!this.ended && this.response.writtenBytes() - this.reportedBytes >= PROGRESS_INTERVAL_BYTES) {
			this.reportedBytes = this.response.writtenBytes();
			this.currentAttempt
				.send(new RequestMessage.ResponseProgress(this.currentAttempt.attemptId(), this.reportedBytes));
		}
	}

	/**
	 * Handles the loss of a connection. If the attempt uses it, the attempt continues
	 * over another open connection to its agent. If there is none, an idempotent request
	 * whose response has not started is retried immediately, and any other waits for a
	 * new connection.
	 * @param connection the lost connection
	 */
	void handleConnectionLoss(PeerConnection connection) {
		if (this.ended || this.currentAttempt == null || !this.currentAttempt.usesConnection(connection)) {
			return;
		}
		this.currentAttempt.detach();
		Attempt detached = this.currentAttempt;
		Optional<PeerConnection> alternative = this.dispatcher.connectionTo(detached.runner().instance());
		if (alternative.isPresent() && !detached.usesConnection(alternative.get())) {
			handleNewConnection(alternative.get());
			return;
		}
		if (this.admittedRequest.idempotent() && !this.response.isStarted()) {
			failCurrentAttempt("the connection to the runner's agent broke off");
			return;
		}
		this.exchange.getIoThread()
			.executeAfter(() -> failIfDetached(detached), this.dispatcher.reattachTimeoutMillis(),
					TimeUnit.MILLISECONDS);
	}

	private void failIfDetached(Attempt detached) {
		if (!this.ended && this.currentAttempt == detached && !detached.isAttached()) {
			failCurrentAttempt("no connection to the runner's agent could be made again");
		}
	}

	private void failCurrentAttempt(String message) {
		this.dispatcher.recordAttemptFailure(this.currentAttempt.runner(), false);
		retryOrFail(false, Failure.of(kindIfMayHaveRun(), message));
	}

	/**
	 * Handles a new connection. If its peer is the process that has the request, the
	 * attempt continues over it; if that process has been replaced, the attempt has
	 * failed.
	 * @param connection the new connection
	 */
	void handleNewConnection(PeerConnection connection) {
		if (this.ended || this.currentAttempt == null || this.currentAttempt.usesConnection(connection)) {
			return;
		}
		if (this.currentAttempt.isSameProcess(connection)) {
			this.currentAttempt.attach(connection, this.responseHead != null, this.receivedBytes);
		}
		else if (this.currentAttempt.isSameInstance(connection)) {
			failCurrentAttempt("the runner's agent was replaced while it had the request");
		}
	}

	private void handleDeadline() {
		if (this.ended) {
			if (this.response.isStarted()) {
				this.response.abort();
			}
			return;
		}
		cancelAttempt();
		boolean outcomeUnknown = this.currentAttempt != null && !this.admittedRequest.idempotent();
		fail(Failure.of((outcomeUnknown) ? FailureKind.OUTCOME_UNKNOWN : FailureKind.DEADLINE_PASSED,
				"no whole answer came in time; allow more with X-Request-Timeout-Ms"));
	}

	/**
	 * Ends the request since the process ends.
	 */
	void handleShutdown() {
		if (this.ended) {
			return;
		}
		cancelAttempt();
		String message = "this entry is leaving; use another";
		boolean sent = this.mayHaveRun || this.currentAttempt != null;
		fail(sent ? Failure.of(kindIfMayHaveRun(), message)
				: Failure.withDefaultRetryAfter(FailureKind.LEAVING, message));
	}

	private void handleCallerDisconnect() {
		if (this.ended) {
			return;
		}
		this.dispatcher.recordCallerDisconnect();
		cancelAttempt();
		end();
		this.response.abort();
	}

	private void cancelAttempt() {
		if (this.currentAttempt != null) {
			this.currentAttempt.send(new RequestMessage.Cancel(this.currentAttempt.attemptId()));
		}
	}

	/**
	 * Ends the request: releases its attempt, so that later messages and connection
	 * events are ignored.
	 */
	private void end() {
		if (!this.ended) {
			this.ended = true;
			releaseAttempt();
		}
	}

	private void releaseAttempt() {
		if (this.currentAttempt != null) {
			this.dispatcher.release(this.currentAttempt);
			this.currentAttempt = null;
		}
	}

	private void close() {
		if (!this.ended) {
			cancelAttempt();
			end();
		}
		this.deadlineTask.remove();
		this.dispatcher.finish(this);
	}

}
