package org.catkingate.gateway;

import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientConnection;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.calls.AnswerHead;
import org.catkingate.runtime.calls.CallFormat;
import org.catkingate.runtime.http.StreamedCall;

/**
 * One send of a call to one runner. It keeps the runner's counts of requests, and tells
 * its listener of exactly one end. Used by the traffic thread only.
 */
final class RunnerAttempt implements StreamedCall.Listener {

	/**
	 * How long a connection may take to open, in milliseconds: many round trips, and well
	 * below the first retransmission of an opening packet after a second.
	 */
	private static final long CONNECT_TIMEOUT_MILLIS = 250;

	private final RunnerState runner;

	private final OutgoingRequest outgoing;

	private final CallFormat format;

	private final MonotonicClock clock;

	private final long startedAtMillis;

	private final Listener listener;

	private XnioExecutor.Key connectTimer;

	private StreamedCall call;

	private AnswerHead responseHead;

	private boolean responseStarted;

	private boolean finished;

	private RunnerAttempt(RunnerState runner, OutgoingRequest sending, CallFormat format, MonotonicClock clock,
			Listener listener) {
		this.runner = runner;
		this.outgoing = sending;
		this.format = format;
		this.clock = clock;
		this.startedAtMillis = clock.millis();
		this.listener = listener;
	}

	/**
	 * Starts a send.
	 * @param runner the runner
	 * @param sending what to send
	 * @param format reads the head of the answer
	 * @param thread the traffic thread
	 * @param clock the clock
	 * @param listener is told what becomes of it
	 * @return the attempt, never null
	 */
	static RunnerAttempt start(RunnerState runner, OutgoingRequest sending, CallFormat format, XnioIoThread thread,
			MonotonicClock clock, Listener listener) {
		RunnerAttempt attempt = new RunnerAttempt(runner, sending, format, clock, listener);
		runner.addPending(sending.promptTokens(), clock.millis());
		attempt.connectTimer = thread.executeAfter(() -> attempt.failUnsent("the connection did not open in time"),
				CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		runner.connections()
			.acquire(sending.onNewConnection(), attempt::sendRequest,
					(ex) -> thread.execute(() -> attempt.failUnsent(String.valueOf(ex.getMessage()))));
		return attempt;
	}

	RunnerState runner() {
		return this.runner;
	}

	/**
	 * Returns what the runner said with its answer.
	 * @return the head, null before it has arrived
	 */
	AnswerHead responseHead() {
		return this.responseHead;
	}

	private void sendRequest(ClientConnection connection) {
		this.connectTimer.remove();
		if (this.finished) {
			this.runner.connections().release(connection);
			return;
		}
		this.listener.onSend(this);
		this.call = StreamedCall.start(connection, this.outgoing.request(), this.outgoing.body(), this);
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
	 * Stops the runner's work by closing the connection. The listener is told nothing
	 * more.
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
	 * Tells whether the request has been handed to a connection.
	 * @return whether the runner may have it
	 */
	boolean isSent() {
		return this.call != null;
	}

	/**
	 * Tells whether the body of the answer has begun.
	 * @return whether a first byte has come
	 */
	boolean isResponseStarted() {
		return this.responseStarted;
	}

	/**
	 * Drops the answer, which is read to its end so that the connection can be kept. The
	 * listener is told nothing more.
	 */
	void discard() {
		if (!this.finished) {
			finish();
		}
	}

	void resume() {
		if (this.call != null) {
			this.call.resume();
		}
	}

	private void finish() {
		this.finished = true;
		if (this.responseStarted) {
			this.runner.endResponse();
		}
		else {
			this.runner.removePending(this.outgoing.promptTokens());
		}
	}

	@Override
	public boolean head(ClientResponse response) {
		if (this.finished) {
			return false;
		}
		this.responseHead = this.format.read(response.getResponseCode(), response.getResponseHeaders());
		this.responseHead.load().ifPresent((load) -> this.runner.recordReport(load, this.clock.millis()));
		return this.listener.onHead(this, response);
	}

	@Override
	public boolean hasRoom() {
		return this.finished || this.listener.hasRoom();
	}

	@Override
	public void data(byte[] bytes) {
		if (this.finished) {
			return;
		}
		if (!this.responseStarted) {
			this.responseStarted = true;
			long took = this.clock.millis() - this.startedAtMillis;
			this.runner.startResponse(this.outgoing.promptTokens(), took);
			this.listener.onResponseStart(this, took);
		}
		this.listener.onData(this, bytes);
	}

	@Override
	public void ended(StreamedCall.End end) {
		boolean reusable = end.isReusable() && this.responseHead.keptMillis() > 0 && !this.outgoing.onNewConnection();
		if (reusable) {
			// half of the time, so that the runner does not close it at the moment of use
			this.runner.connections().release(end.connection(), this.responseHead.keptMillis() / 2);
		}
		else {
			end.close();
		}
		if (!this.finished) {
			finish();
			this.listener.onEnd(this);
		}
	}

	@Override
	public void failed(String reason) {
		if (!this.finished) {
			finish();
			this.runner.recordFailure(this.clock.millis());
			this.listener.onFailure(this, reason);
		}
	}

	/**
	 * What is sent to a runner.
	 *
	 * @param request the head
	 * @param body the body
	 * @param promptTokens the length of the prompt, in tokens
	 * @param onNewConnection whether the connection must be new, so that the runner can
	 * neither have closed it nor have left an answer on it
	 */
	record OutgoingRequest(ClientRequest request, byte[] body, long promptTokens, boolean onNewConnection) {

	}

	/**
	 * Is told what becomes of an attempt.
	 */
	interface Listener {

		/**
		 * The request is about to be written; from now on the runner may run it.
		 * @param attempt the attempt
		 */
		void onSend(RunnerAttempt attempt);

		/**
		 * Nothing was written.
		 * @param attempt the attempt
		 * @param reason why
		 */
		void onNotSent(RunnerAttempt attempt, String reason);

		/**
		 * The head of the answer has arrived.
		 * @param attempt the attempt
		 * @param response the status and the headers
		 * @return whether to go on
		 */
		boolean onHead(RunnerAttempt attempt, ClientResponse response);

		/**
		 * The first byte of the body has arrived.
		 * @param attempt the attempt
		 * @param tookMillis the time since the attempt began, in milliseconds
		 */
		void onResponseStart(RunnerAttempt attempt, long tookMillis);

		/**
		 * A piece of the body has arrived.
		 * @param attempt the attempt
		 * @param bytes the piece
		 */
		void onData(RunnerAttempt attempt, byte[] bytes);

		/**
		 * Tells whether more of the body is wanted now.
		 * @return whether to read on
		 */
		boolean hasRoom();

		/**
		 * The answer has ended properly.
		 * @param attempt the attempt
		 */
		void onEnd(RunnerAttempt attempt);

		/**
		 * The answer broke off, or never came.
		 * @param attempt the attempt
		 * @param reason why
		 */
		void onFailure(RunnerAttempt attempt, String reason);

	}

}
