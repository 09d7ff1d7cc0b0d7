package org.catkingate.gateway;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.undertow.client.ClientConnection;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

import org.catkingate.decisions.coldstart.ColdRunner;
import org.catkingate.decisions.memory.RunnerMemory;
import org.catkingate.decisions.sending.CallScope;
import org.catkingate.decisions.sending.SendCondition;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.calls.HeaderCodec;
import org.catkingate.runtime.calls.RunnerResponseHead;
import org.catkingate.runtime.http.StreamedCall;

/**
 * One attempt to send a request to one runner. It updates the runner's counts of
 * requests, and notifies its listener of exactly one end, unless it is cancelled or
 * discarded. Used by the traffic thread only.
 */
final class RunnerAttempt implements StreamedCall.Listener {

	/**
	 * The time-out for opening a connection: many round trips, and well below the one
	 * second after which TCP first retransmits a SYN.
	 */
	private static final long CONNECT_TIMEOUT_MILLIS = 250;

	private static final int MIN_FAILURE_STATUS = 300;

	/**
	 * The time without a response after which a connection counts as silent. It is longer
	 * than most responses take to begin, and shorter than the time for which the start of
	 * a response is awaited.
	 */
	private static final long SILENCE_MILLIS = 700;

	/** The conditions that this attempt meets if it holds a share of what is limited. */
	private static final Set<SendCondition> MET_BY_OWN_SHARE = EnumSet.of(SendCondition.WITHIN_LIMIT,
			SendCondition.WITHIN_COLD_ALLOWANCE);

	private final RunnerState runner;

	private final OutgoingRequest outgoing;

	private final HeaderCodec codec;

	private final MonotonicClock clock;

	private final long startedAtMillis;

	private final Listener listener;

	private XnioExecutor.Key connectTimer;

	private final SentRequest sent;

	private StreamedCall call;

	private RunnerResponseHead responseHead;

	private boolean onUnusedConnection;

	private boolean successful;

	private boolean responseStarted;

	private long responseStartedAtMillis;

	private boolean finished;

	private long sentAtMillis;

	private Optional<SendCondition> unmetCondition = Optional.empty();

	/** Gives back the permit of this attempt, empty if it has none. */
	private Optional<Runnable> permit = Optional.empty();

	/** The room for a request to a cold runner, empty if there was none so far. */
	private Optional<ColdRunner.Reservation> coldRoom = Optional.empty();

	/** The memory of the runner that this attempt occupies, empty before it is sent. */
	private Optional<RunnerMemory.Reservation> memory = Optional.empty();

	private final EventCounter events = new EventCounter();

	private RunnerAttempt(RunnerState runner, OutgoingRequest outgoing, HeaderCodec codec, MonotonicClock clock,
			Listener listener) {
		this.runner = runner;
		this.outgoing = outgoing;
		this.codec = codec;
		this.clock = clock;
		this.startedAtMillis = clock.millis();
		this.sent = runner.work().add(outgoing.cost(), this.startedAtMillis);
		this.listener = listener;
	}

	/**
	 * Starts an attempt.
	 * @param runner the runner
	 * @param outgoing the request to send
	 * @param codec parses the head of the response
	 * @param thread the traffic thread
	 * @param clock the clock
	 * @param listener is notified of the progress and the end
	 * @return the attempt, never null
	 */
	static RunnerAttempt start(RunnerState runner, OutgoingRequest outgoing, HeaderCodec codec, XnioIoThread thread,
			MonotonicClock clock, Listener listener) {
		RunnerAttempt attempt = new RunnerAttempt(runner, outgoing, codec, clock, listener);
		attempt.takePermit();
		attempt.coldRoom = runner.cold().reserve(clock.millis());
		attempt.connectTimer = thread.executeAfter(() -> attempt.failUnsent("timed out opening the connection"),
				CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		runner.connections()
			.acquire(outgoing.onNewConnection(), attempt::sendRequest,
					(ex) -> thread.execute(() -> attempt.failUnsent(String.valueOf(ex.getMessage()))));
		return attempt;
	}

	RunnerState runner() {
		return this.runner;
	}

	/**
	 * Returns the parsed head of the runner's response.
	 * @return the head, null before it has arrived
	 */
	RunnerResponseHead responseHead() {
		return this.responseHead;
	}

	private void sendRequest(ClientConnection connection) {
		this.connectTimer.remove();
		if (this.finished) {
			this.runner.connections().release(connection);
			return;
		}
		this.unmetCondition = findUnmetCondition();
		if (this.unmetCondition.isPresent()) {
			this.runner.connections().release(connection);
			finish();
			this.listener.onNotSent(this, this.unmetCondition.get().unmetReason());
			return;
		}
		this.sentAtMillis = this.clock.millis();
		this.memory = Optional
			.of(this.runner.work().memory().reserve(this.outgoing.scope().get().memory(), this.sentAtMillis));
		this.listener.onSend(this);
		this.onUnusedConnection = StreamedCall.isUnused(connection);
		this.call = StreamedCall.start(connection, this.outgoing.request(), this.outgoing.body(), this);
	}

	/*
	 * Something may have become known since the choice of the runner. What this attempt
	 * holds itself is not available to others.
	 */
	private Optional<SendCondition> findUnmetCondition() {
		Optional<SendCondition> unmet = SendCondition.firstUnmet(this.outgoing.scope().get(), this.runner,
				this.clock.millis());
		if (unmet.filter((condition) -> !MET_BY_OWN_SHARE.contains(condition)).isPresent()) {
			return unmet;
		}
		if (!takePermit()) {
			return Optional.of(SendCondition.WITHIN_LIMIT);
		}
		return useColdRoom() ? Optional.empty() : Optional.of(SendCondition.WITHIN_COLD_ALLOWANCE);
	}

	/**
	 * Returns the condition because of which the request was not sent.
	 * @return the condition, empty if none was unmet
	 */
	Optional<SendCondition> unmetCondition() {
		return this.unmetCondition;
	}

	/*
	 * Returns whether the request may be sent under the limit of the runner. The runner
	 * may have stated it since it was chosen.
	 */
	private boolean takePermit() {
		if (this.permit.isEmpty() && this.runner.isLimited()) {
			this.permit = this.runner.takePermit(this.clock.millis());
			return this.permit.isPresent();
		}
		return true;
	}

	private boolean useColdRoom() {
		long now = this.clock.millis();
		if (this.coldRoom.isEmpty()) {
			this.coldRoom = this.runner.cold().reserve(now);
		}
		return this.coldRoom.map((room) -> room.use(now)).orElse(false);
	}

	private void failUnsent(String reason) {
		if (!this.finished && this.call == null) {
			this.connectTimer.remove();
			finish();
			this.runner.recordFailure(this.clock.millis());
			this.listener.onNotSent(this, reason);
		}
	}

	/**
	 * Closes the connection, so that the runner stops processing the request. The
	 * listener is not notified any more.
	 */
	void cancel() {
		if (this.finished) {
			return;
		}
		this.connectTimer.remove();
		finish();
		if (this.call != null) {
			this.call.abort();
		}
	}

	/**
	 * Returns whether sending the request on a connection has started.
	 * @return whether the runner may have received the request
	 */
	boolean isSent() {
		return this.call != null;
	}

	/**
	 * Returns whether the request was the first on its connection.
	 * @return whether no response to another request can arrive on the connection
	 */
	boolean wasOnUnusedConnection() {
		return this.onUnusedConnection;
	}

	/**
	 * Returns whether a connection that was reused may no longer carry anything: it has
	 * not been closed, and the head of the response is long overdue.
	 * @return whether a reused connection is silent
	 */
	boolean isReusedConnectionSilent() {
		return isSent() && !this.onUnusedConnection && this.responseHead == null
				&& this.clock.millis() - this.sentAtMillis >= SILENCE_MILLIS;
	}

	/**
	 * Returns whether the body of the response has started.
	 * @return whether a first byte of the body has arrived
	 */
	boolean isResponseStarted() {
		return this.responseStarted;
	}

	/**
	 * Returns the time since the attempt was started.
	 * @return the time in milliseconds
	 */
	long elapsedMillis() {
		return this.clock.millis() - this.startedAtMillis;
	}

	/**
	 * Returns the time since the body of the response has started.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the time in milliseconds, 0 if it has not started
	 */
	long respondingMillis(long nowMillis) {
		return this.responseStarted ? (nowMillis - this.responseStartedAtMillis) : 0;
	}

	/**
	 * Discards the response. Its rest is read only if it is short, so that the connection
	 * can be reused. The listener is not notified any more.
	 */
	void discard() {
		if (!this.finished) {
			finish();
			this.call.discard();
		}
	}

	void resume() {
		if (this.call != null) {
			this.call.resume();
		}
	}

	private void finish() {
		finish(false);
	}

	private void finish(boolean complete) {
		this.finished = true;
		this.memory.ifPresent(RunnerMemory.Reservation::release);
		if (this.call == null) {
			this.permit.ifPresent(Runnable::run);
			this.coldRoom.ifPresent(ColdRunner.Reservation::release);
		}
		this.sent.end(complete, this.clock.millis());
	}

	@Override
	public boolean onHead(ClientResponse response) {
		int status = response.getResponseCode();
		this.responseHead = this.codec.readResponseHead(status, response.getResponseHeaders());
		this.successful = status < MIN_FAILURE_STATUS;
		// also if the response itself is not used any more
		if (this.outgoing.responseCheck().isOwn(this.responseHead, this.onUnusedConnection)) {
			this.runner.recordResponseHead(status, this.responseHead, this.sentAtMillis, this.clock.millis());
		}
		else {
			// a late copy describes an earlier state of the runner, of which only leaving
			// lasts
			this.runner.recordLeaving(status, this.responseHead);
		}
		if (this.finished) {
			return false;
		}
		return this.listener.onHead(this, response);
	}

	@Override
	public boolean canAccept() {
		return this.finished || this.listener.canAccept();
	}

	@Override
	public void onData(byte[] bytes) {
		if (this.finished) {
			return;
		}
		if (!this.responseStarted) {
			this.responseStarted = true;
			this.responseStartedAtMillis = this.clock.millis();
			long elapsedMillis = this.responseStartedAtMillis - this.startedAtMillis;
			this.sent.startResponse(elapsedMillis);
			this.runner.recordResponseStart();
			this.listener.onResponseStart(this, elapsedMillis);
		}
		if (this.successful) {
			this.sent.recordData(bytes);
		}
		this.memory.ifPresent((reservation) -> reservation.addEvents(this.events.add(bytes)));
		this.listener.onData(this, bytes);
	}

	@Override
	public void onEnd(StreamedCall.Completion end) {
		boolean reusable = end.isReusable() && this.responseHead.keepAliveMillis() > 0
				&& !this.outgoing.onNewConnection();
		if (reusable) {
			// half of the time, so that the runner does not close it during reuse
			this.runner.connections().release(end.connection(), this.responseHead.keepAliveMillis() / 2);
		}
		else {
			end.close();
		}
		if (!this.finished) {
			finish(this.successful && end.delimited());
			this.listener.onEnd(this, end.delimited());
		}
	}

	@Override
	public void onFailure(String reason) {
		if (!this.finished) {
			finish();
			this.runner.recordFailure(this.clock.millis());
			this.listener.onFailure(this, reason);
		}
	}

	/**
	 * A request to a runner.
	 *
	 * @param request the head of the request
	 * @param body the body
	 * @param cost its cost
	 * @param onNewConnection whether a new connection is required, which the runner
	 * cannot have closed, and which cannot carry the response to another request
	 * @param scope returns what restricts at this moment where the request may be sent
	 * @param responseCheck tells the response to the request from those to others
	 */
	record OutgoingRequest(ClientRequest request, byte[] body, RequestCost cost, boolean onNewConnection,
			Supplier<CallScope> scope, ResponseCheck responseCheck) {

	}

	/**
	 * A listener for the progress and the end of an attempt.
	 */
	interface Listener {

		/**
		 * Called before the request is written; from now on the runner may run it.
		 * @param attempt the attempt
		 */
		void onSend(RunnerAttempt attempt);

		/**
		 * Called when the attempt has failed before anything was written.
		 * @param attempt the attempt
		 * @param reason the cause
		 */
		void onNotSent(RunnerAttempt attempt, String reason);

		/**
		 * Called when the head of the response has arrived.
		 * @param attempt the attempt
		 * @param response the status and the headers
		 * @return whether to read the body
		 */
		boolean onHead(RunnerAttempt attempt, ClientResponse response);

		/**
		 * Called when the first byte of the body has arrived.
		 * @param attempt the attempt
		 * @param elapsedMillis the time since the start of the attempt, in milliseconds
		 */
		void onResponseStart(RunnerAttempt attempt, long elapsedMillis);

		/**
		 * Called when a part of the body has arrived.
		 * @param attempt the attempt
		 * @param bytes the part
		 */
		void onData(RunnerAttempt attempt, byte[] bytes);

		/**
		 * Returns whether more of the body can be accepted now.
		 * @return whether to continue reading
		 */
		boolean canAccept();

		/**
		 * Called when the response has ended.
		 * @param attempt the attempt
		 * @param delimited whether its length or encoding marked the end; otherwise the
		 * connection has ended, which does not prove that the response is complete
		 */
		void onEnd(RunnerAttempt attempt, boolean delimited);

		/**
		 * Called when the connection failed before the response was complete.
		 * @param attempt the attempt
		 * @param reason the cause
		 */
		void onFailure(RunnerAttempt attempt, String reason);

	}

}
