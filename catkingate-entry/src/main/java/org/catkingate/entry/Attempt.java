package org.catkingate.entry;

import org.catkingate.decisions.routing.RunnerKey;
import org.catkingate.model.RequestId;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.RequestMessage;

/**
 * One attempt to run a request on one runner. Each attempt has its own identifier, so
 * that a late response to an earlier attempt cannot be mistaken for a response to this
 * one. Immutable, except for the connection that it is attached to and whether its
 * response has started, which only the request's I/O thread changes.
 */
final class Attempt {

	private final RequestId attemptId;

	private final RunnerKey runner;

	private final long incarnation;

	private final long sentAtMillis;

	private volatile PeerConnection connection;

	private volatile boolean attached = true;

	private volatile boolean responseStarted;

	Attempt(RequestId attemptId, RunnerKey runner, PeerConnection connection, long sentAtMillis) {
		this.attemptId = attemptId;
		this.runner = runner;
		this.sentAtMillis = sentAtMillis;
		this.connection = connection;
		this.incarnation = connection.frameConnection().peer().incarnation();
	}

	RequestId attemptId() {
		return this.attemptId;
	}

	RunnerKey runner() {
		return this.runner;
	}

	long sentAtMillis() {
		return this.sentAtMillis;
	}

	/**
	 * Records that the response has started.
	 * @return whether this is the first call
	 */
	boolean markResponseStarted() {
		boolean first = !this.responseStarted;
		this.responseStarted = true;
		return first;
	}

	boolean isResponseStarted() {
		return this.responseStarted;
	}

	boolean isAttached() {
		return this.attached;
	}

	boolean usesConnection(PeerConnection candidate) {
		return this.connection.equals(candidate);
	}

	/**
	 * Returns whether a connection's peer is the process that the request was sent to.
	 * @param candidate the connection
	 * @return whether the instance and the incarnation are the same
	 */
	boolean isSameProcess(PeerConnection candidate) {
		return isSameInstance(candidate) && candidate.frameConnection().peer().incarnation() == this.incarnation;
	}

	boolean isSameInstance(PeerConnection candidate) {
		FrameConnection frameConnection = candidate.frameConnection();
		return frameConnection.peer() != null && frameConnection.peer().instance().equals(this.runner.instance());
	}

	void detach() {
		this.attached = false;
	}

	void attach(PeerConnection next, boolean headReceived, long offset) {
		this.connection = next;
		this.attached = next.frameConnection().send(new RequestMessage.Attach(this.attemptId, headReceived, offset));
	}

	void send(RequestMessage message) {
		if (this.attached) {
			this.connection.frameConnection().send(message);
		}
	}

}
