package org.catkingate.agent.requests;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.undertow.client.ClientConnection;

import org.catkingate.agent.idempotency.Admission;
import org.catkingate.agent.idempotency.CallGuard;
import org.catkingate.agent.idempotency.GuardedCall;
import org.catkingate.agent.idempotency.RunPermit;
import org.catkingate.agent.runners.RunnerGate;
import org.catkingate.decisions.idempotency.KeptAnswer;
import org.catkingate.decisions.idempotency.Vouching;
import org.catkingate.runtime.http.KeptConnections;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.wire.Traffic;

/**
 * One request at the agent, from its arrival until its answer is forgotten. Its first
 * byte goes to the runner only after {@link #markDispatched}, and only before that may it
 * be refused as not run. Safe for use by any thread.
 */
final class AgentRequest implements RunnerCall.Listener {

	private final Traffic.Dispatch dispatch;

	private final ResponseStream response;

	private final CallGuard guard;

	private final long arrivalNumber;

	private final long deadlineMillis;

	private final Consumer<AgentRequest> onFinished;

	private RunnerGate gate;

	private RunnerGate.Serving serving;

	private KeptConnections connections;

	private RunnerCall call;

	private State state = State.ADMITTED;

	private volatile RunPermit permit;

	private boolean cancelled;

	private OptionalLong slotSinceMillis = OptionalLong.empty();

	private long endedMillis;

	AgentRequest(Traffic.Dispatch dispatch, PeerConnection connection, CallGuard guard, long arrival,
			long deadlineMillis, Consumer<AgentRequest> finished) {
		this.dispatch = dispatch;
		this.response = new ResponseStream(dispatch.request(), connection);
		this.guard = guard;
		this.arrivalNumber = arrival;
		this.deadlineMillis = deadlineMillis;
		this.onFinished = finished;
	}

	Traffic.Dispatch dispatch() {
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
	 * Takes note that the request has one of its runner's places.
	 * @param nowMillis the time now, in milliseconds
	 */
	synchronized void occupySlot(long nowMillis) {
		this.slotSinceMillis = OptionalLong.of(nowMillis);
	}

	/**
	 * Gives the place back.
	 * @return since when it had one, or empty if it had none
	 */
	synchronized OptionalLong releaseSlot() {
		OptionalLong since = this.slotSinceMillis;
		this.slotSinceMillis = OptionalLong.empty();
		return since;
	}

	/**
	 * Tells whether the request needs no more from this process.
	 * @return whether it has ended and its answer is with the entry, or is none
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
	 * Asks the guard whether the call may run, before anything else is decided about it:
	 * the guard may have its answer.
	 * @return whether to go on; else the request has ended
	 */
	boolean admit() {
		if (this.dispatch.idempotent()) {
			return true;
		}
		Admission admission = this.guard.admit(GuardedCall.of(this.dispatch));
		if (admission instanceof Admission.Run run) {
			this.permit = run.permit();
			return true;
		}
		if (admission instanceof Admission.Refuse refusal) {
			reject(refusal.retryAfterMillis(), refusal.message());
		}
		else if (admission instanceof Admission.Unknown unknown) {
			finish(false, () -> this.response.fail(Traffic.FailureReason.OUTCOME_UNKNOWN, unknown.retryAfterMillis(),
					unknown.message()));
		}
		else if (admission instanceof Admission.Replay replay) {
			finish(false, () -> replay(replay.response()));
		}
		return false;
	}

	/**
	 * Refuses the request, if nothing of it has been sent to the runner.
	 * @param retryAfterMillis when to come back, in milliseconds
	 * @param message why, and the remedy
	 * @return whether it was refused by this call
	 */
	boolean reject(long retryAfterMillis, String message) {
		boolean refused = finish(true,
				() -> this.response.fail(Traffic.FailureReason.NOT_RUN, retryAfterMillis, message));
		if (refused && this.permit != null) {
			this.permit.notStarted();
		}
		return refused;
	}

	/**
	 * Goes through the gate.
	 * @param throughGate the gate of its runner
	 * @return whether it was let in
	 */
	synchronized boolean enter(RunnerGate throughGate) {
		if (this.state != State.ADMITTED) {
			return false;
		}
		Optional<RunnerGate.Serving> entered = throughGate.tryEnter(this.dispatch.version());
		if (entered.isEmpty()) {
			return false;
		}
		this.gate = throughGate;
		this.serving = entered.get();
		this.state = State.ENTERED;
		return true;
	}

	/**
	 * Sends the request to the runner, unless it has ended meanwhile or may not start.
	 * @param connection the connection
	 * @param from where the connection goes back to
	 */
	void send(ClientConnection connection, KeptConnections from) {
		this.connections = from;
		if (!markDispatched()) {
			from.release(connection);
			return;
		}
		RunnerCall started = RunnerCall.start(connection, from.authority(), this.dispatch, this);
		boolean unwanted;
		synchronized (this) {
			this.call = started;
			unwanted = this.cancelled;
		}
		if (unwanted) {
			started.abort();
		}
	}

	private void replay(KeptAnswer first) {
		this.response.head(first.status(), RunnerResponseHeaders.toTrafficHeaders(first.headers()));
		first.pieces().forEach(this.response::data);
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
			this.permit.notStarted();
		}
		if (marked && this.permit != null && !this.permit.start()) {
			finish(false, () -> this.response.fail(Traffic.FailureReason.NOT_RUN, Vouching.RETRY_MILLIS,
					"the call may not start any more; repeat it with the same Idempotency-Key"));
			return false;
		}
		return marked;
	}

	/**
	 * Stops the request since nobody waits for it. A non-idempotent call that the runner
	 * has goes on, so that its outcome becomes known.
	 * @param message why
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
	 * Says that the deadline has passed.
	 * @param message the message to the entry
	 */
	void expire(String message) {
		if (wasDispatched() && !this.dispatch.idempotent()) {
			this.response.fail(Traffic.FailureReason.OUTCOME_UNKNOWN, 0, message);
			return;
		}
		cancel(message);
	}

	private synchronized boolean wasDispatched() {
		return this.state == State.DISPATCHED;
	}

	/**
	 * Goes on with the answer, since the entry has taken some.
	 * @param offset how many bytes it has
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
	public boolean head(int status, List<Traffic.Header> headers) {
		if (!RunnerResponseHeaders.matchesWeights(this.serving.digest(), status, headers)) {
			this.gate.closeIfServing(this.serving.digest());
			finish(false, () -> this.response.fail(Traffic.FailureReason.FAILED, 0,
					"the runner answered from other weights than it was admitted with; it is taken out"));
			return false;
		}
		if (this.serving.digest() != null && RunnerResponseHeaders.isRejection(status)) {
			finish(false, () -> this.response.fail(Traffic.FailureReason.NOT_RUN,
					RunnerResponseHeaders.retryAfterMillis(headers), "the engine has no place free; come back later"));
			return false;
		}
		if (this.permit != null) {
			this.permit.head(status, RunnerResponseHeaders.toStoredHeaders(headers));
		}
		this.response.head(status, headers);
		return true;
	}

	@Override
	public boolean hasRoom() {
		return this.response.hasRoom() || this.response.isTerminated();
	}

	@Override
	public void data(byte[] bytes) {
		if (this.permit != null) {
			this.permit.data(bytes);
		}
		if (!this.response.isTerminated()) {
			this.response.data(bytes);
		}
	}

	@Override
	public void ended(ClientConnection connection) {
		this.connections.release(connection);
		if (this.permit != null) {
			this.permit.ended();
		}
		finish(false, this.response::end);
	}

	@Override
	public void failed(String reason) {
		if (this.permit != null) {
			this.permit.failed();
		}
		Traffic.FailureReason kind = (this.dispatch.idempotent()) ? Traffic.FailureReason.FAILED
				: Traffic.FailureReason.OUTCOME_UNKNOWN;
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
	 * How far a request has come.
	 */
	private enum State {

		/** Taken in, perhaps waiting. */
		ADMITTED,

		/** Inside the runner's gate, nothing sent. */
		ENTERED,

		/** The runner may have some of it. */
		DISPATCHED,

		/** Nothing more is done. */
		ENDED

	}

}
