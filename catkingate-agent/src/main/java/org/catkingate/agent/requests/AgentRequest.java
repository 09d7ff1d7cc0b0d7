package org.catkingate.agent.requests;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.undertow.client.ClientConnection;

import org.catkingate.agent.idempotency.CallGuard;
import org.catkingate.agent.idempotency.IdempotencyDecision;
import org.catkingate.agent.idempotency.NonIdempotentCall;
import org.catkingate.agent.idempotency.RunPermit;
import org.catkingate.agent.runners.RunnerGate;
import org.catkingate.decisions.idempotency.StoredResponse;
import org.catkingate.decisions.idempotency.VouchingEvaluator;
import org.catkingate.runtime.http.ConnectionPool;
import org.catkingate.runtime.http.StreamedCall;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.wire.RequestMessage;

/**
 * One request at the agent, from its arrival until its response is discarded. Its first
 * byte is sent to the runner only after {@link #markDispatched}, and it may be rejected
 * as not run only before that. Safe for use by any thread.
 */
final class AgentRequest implements RunnerCall.Listener {

	private final RequestMessage.Dispatch dispatch;

	private final ResponseStream response;

	private final CallGuard guard;

	private final long arrivalNumber;

	private final long deadlineMillis;

	private final Consumer<AgentRequest> onFinished;

	private RunnerGate gate;

	private RunnerGate.ServedVersion servedVersion;

	private ConnectionPool connectionPool;

	private RunnerCall call;

	private State state = State.ADMITTED;

	private volatile RunPermit permit;

	private boolean cancelled;

	private OptionalLong slotSinceMillis = OptionalLong.empty();

	private long endedMillis;

	AgentRequest(RequestMessage.Dispatch dispatch, PeerConnection connection, CallGuard guard, long arrivalNumber,
			long deadlineMillis, Consumer<AgentRequest> onFinished) {
		this.dispatch = dispatch;
		this.response = new ResponseStream(dispatch.request(), connection);
		this.guard = guard;
		this.arrivalNumber = arrivalNumber;
		this.deadlineMillis = deadlineMillis;
		this.onFinished = onFinished;
	}

	RequestMessage.Dispatch dispatch() {
		return this.dispatch;
	}

	long arrivalNumber() {
		return this.arrivalNumber;
	}

	long deadlineMillis() {
		return this.deadlineMillis;
	}

	ResponseStream response() {
		return this.response;
	}

	/**
	 * Records that the request occupies one of its runner's slots.
	 * @param nowMillis the current time, in milliseconds
	 */
	synchronized void occupySlot(long nowMillis) {
		this.slotSinceMillis = OptionalLong.of(nowMillis);
	}

	/**
	 * Releases the slot.
	 * @return the time since which the slot was occupied, or empty if there was none
	 */
	synchronized OptionalLong releaseSlot() {
		OptionalLong since = this.slotSinceMillis;
		this.slotSinceMillis = OptionalLong.empty();
		return since;
	}

	/**
	 * Returns whether the request needs nothing more from this process.
	 * @return whether it has ended and the entry has acknowledged the response or was
	 * sent a failure
	 */
	synchronized boolean isSettled() {
		return this.state == State.ENDED && (this.response.isFullyAcknowledged() || this.response.isFailureSent());
	}

	synchronized boolean isEnded() {
		return this.state == State.ENDED;
	}

	synchronized long endedMillis() {
		return this.endedMillis;
	}

	synchronized void setEndedMillis(long nowMillis) {
		this.endedMillis = nowMillis;
	}

	/**
	 * Submits a non-idempotent call to the guard, before any other decision on it, since
	 * the guard may have a stored response.
	 * @return whether to continue; otherwise the request has ended
	 */
	boolean admit() {
		if (this.dispatch.idempotent()) {
			return true;
		}
		IdempotencyDecision decision = this.guard.admit(NonIdempotentCall.of(this.dispatch));
		if (decision instanceof IdempotencyDecision.Run run) {
			this.permit = run.permit();
			return true;
		}
		if (decision instanceof IdempotencyDecision.Reject rejection) {
			reject(rejection.retryAfterMillis(), rejection.message());
		}
		else if (decision instanceof IdempotencyDecision.OutcomeUnknown outcomeUnknown) {
			finish(false, () -> this.response.fail(RequestMessage.FailureReason.OUTCOME_UNKNOWN,
					outcomeUnknown.retryAfterMillis(), outcomeUnknown.message()));
		}
		else if (decision instanceof IdempotencyDecision.Replay replay) {
			finish(false, () -> replay(replay.response()));
		}
		return false;
	}

	/**
	 * Rejects the request, if nothing of it has been sent to the runner.
	 * @param retryAfterMillis the time after which to retry, in milliseconds
	 * @param message the reason and the remedy
	 * @return whether it was rejected by this call
	 */
	boolean reject(long retryAfterMillis, String message) {
		boolean rejected = finish(true,
				() -> this.response.fail(RequestMessage.FailureReason.NOT_RUN, retryAfterMillis, message));
		if (rejected && this.permit != null) {
			this.permit.abandon();
		}
		return rejected;
	}

	/**
	 * Enters the gate of the runner.
	 * @param runnerGate the gate of its runner
	 * @return whether the request was admitted
	 */
	synchronized boolean enter(RunnerGate runnerGate) {
		if (this.state != State.ADMITTED) {
			return false;
		}
		Optional<RunnerGate.ServedVersion> entered = runnerGate.tryEnter(this.dispatch.version());
		if (entered.isEmpty()) {
			return false;
		}
		this.gate = runnerGate;
		this.servedVersion = entered.get();
		this.state = State.ENTERED;
		return true;
	}

	/**
	 * Sends the request to the runner, unless it has ended in the meantime or may not
	 * start.
	 * @param connection the connection
	 * @param pool the pool that the connection is returned to
	 */
	void send(ClientConnection connection, ConnectionPool pool) {
		this.connectionPool = pool;
		if (!markDispatched()) {
			pool.release(connection);
			return;
		}
		RunnerCall started = RunnerCall.start(connection, pool.authority(), this.dispatch, this);
		boolean abort;
		synchronized (this) {
			this.call = started;
			abort = this.cancelled;
		}
		if (abort) {
			started.abort();
		}
	}

	private void replay(StoredResponse stored) {
		this.response.head(stored.status(), RunnerResponseHeaders.toMessageHeaders(stored.headers()));
		stored.pieces().forEach(this.response::data);
		this.response.end();
	}

	private boolean markDispatched() {
		boolean marked;
		synchronized (this) {
			marked = this.state == State.ENTERED;
			if (marked) {
				this.state = State.DISPATCHED;
			}
		}
		if (!marked && this.permit != null) {
			this.permit.abandon();
		}
		if (marked && this.permit != null && !this.permit.tryStart()) {
			finish(false,
					() -> this.response.fail(RequestMessage.FailureReason.NOT_RUN, VouchingEvaluator.RETRY_AFTER_MILLIS,
							"the call may not start any more; repeat it with the same Idempotency-Key"));
			return false;
		}
		return marked;
	}

	/**
	 * Cancels the request, since no caller waits for it. A non-idempotent call that was
	 * sent to the runner continues, so that its outcome becomes known.
	 * @param message the reason
	 */
	void cancel(String message) {
		RunnerCall running;
		synchronized (this) {
			if (this.state == State.ENDED || (this.state == State.DISPATCHED && !this.dispatch.idempotent())) {
				return;
			}
			this.cancelled = true;
			running = this.call;
		}
		if (running != null) {
			running.abort();
			return;
		}
		reject(0, message);
	}

	/**
	 * Ends the request, since its deadline has passed. A non-idempotent call that was
	 * sent to the runner continues; the entry is notified that its outcome is unknown.
	 * @param message the message to the entry
	 */
	void expire(String message) {
		if (wasDispatched() && !this.dispatch.idempotent()) {
			this.response.fail(RequestMessage.FailureReason.OUTCOME_UNKNOWN, 0, message);
			return;
		}
		cancel(message);
	}

	private synchronized boolean wasDispatched() {
		return this.state == State.DISPATCHED;
	}

	/**
	 * Records how much of the response the entry has received, and resumes reading if the
	 * response stream accepts data again.
	 * @param offset the number of bytes of the body that the entry has received
	 */
	void acknowledge(long offset) {
		if (this.response.acknowledge(offset)) {
			resume();
		}
	}

	void resume() {
		RunnerCall running;
		synchronized (this) {
			running = this.call;
		}
		if (running != null) {
			running.resume();
		}
	}

	@Override
	public boolean onHead(int status, List<RequestMessage.Header> headers) {
		if (!RunnerResponseHeaders.matchesWeights(this.servedVersion.digest(), status, headers)) {
			this.gate.closeIfServing(this.servedVersion.digest());
			finish(false, () -> this.response.fail(RequestMessage.FailureReason.FAILED, 0,
					"the runner answered from other weights than it was admitted with; it is taken out"));
			return false;
		}
		// only an engine guarantees with such a status that the request was not run
		if (this.servedVersion.digest() != null && RunnerResponseHeaders.isRejection(status)) {
			finish(false, () -> this.response.fail(RequestMessage.FailureReason.NOT_RUN,
					RunnerResponseHeaders.retryAfterMillis(headers), "the engine has no place free; come back later"));
			return false;
		}
		if (this.permit != null) {
			this.permit.recordHead(status, RunnerResponseHeaders.toStoredHeaders(headers));
		}
		this.response.head(status, headers);
		return true;
	}

	@Override
	public boolean canAccept() {
		// after a failure has been sent, the rest of the body is read for the permit only
		return this.response.canAccept() || this.response.isTerminated();
	}

	@Override
	public void onData(byte[] bytes) {
		if (this.permit != null) {
			this.permit.recordBody(bytes);
		}
		if (!this.response.isTerminated()) {
			this.response.data(bytes);
		}
	}

	@Override
	public void onEnd(StreamedCall.Completion end) {
		if (end.isReusable()) {
			this.connectionPool.release(end.connection());
		}
		else {
			end.close();
		}
		if (this.permit != null) {
			this.permit.complete();
		}
		finish(false, this.response::end);
	}

	@Override
	public void onFailure(String reason) {
		if (this.permit != null) {
			this.permit.fail();
		}
		RequestMessage.FailureReason kind = (this.dispatch.idempotent()) ? RequestMessage.FailureReason.FAILED
				: RequestMessage.FailureReason.OUTCOME_UNKNOWN;
		finish(false, () -> this.response.fail(kind, 0, reason));
	}

	private boolean finish(boolean onlyIfUnsent, Runnable lastMessage) {
		RunnerGate entered;
		synchronized (this) {
			if (this.state == State.ENDED || (onlyIfUnsent && this.state == State.DISPATCHED)) {
				return false;
			}
			this.state = State.ENDED;
			entered = this.gate;
		}
		lastMessage.run();
		if (entered != null) {
			entered.leave();
		}
		this.onFinished.accept(this);
		return true;
	}

	/**
	 * States of a request.
	 */
	private enum State {

		/** Accepted, possibly waiting. */
		ADMITTED,

		/** Inside the runner's gate; nothing has been sent. */
		ENTERED,

		/** The runner may have received some of it. */
		DISPATCHED,

		/** Finished; nothing more is done. */
		ENDED

	}

}
