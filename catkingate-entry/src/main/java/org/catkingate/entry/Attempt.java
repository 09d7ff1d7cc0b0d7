package org.catkingate.entry;

import org.catkingate.decisions.routing.RunnerKey;
import org.catkingate.model.RequestId;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.Traffic;

/**
 * One sending of a request to one runner. Each has an identity of its own, so that a late
 * answer to an earlier one cannot be taken for this one's. Immutable, but for the
 * connection that it is attached to, which only the call's I/O thread changes.
 */
final class Attempt {

	private final RequestId wireId;

	private final RunnerKey runner;

	private final long incarnation;

	private final long sentMillis;

	private volatile PeerConnection connection;

	private volatile boolean attached = true;

	Attempt(RequestId wireId, RunnerKey runner, PeerConnection connection, long sentMillis) {
		this.wireId = wireId;
		this.runner = runner;
		this.sentMillis = sentMillis;
		this.connection = connection;
		this.incarnation = connection.frames().peer().incarnation();
	}

	RequestId wireId() {
		return this.wireId;
	}

	RunnerKey runner() {
		return this.runner;
	}

	long sentMillis() {
		return this.sentMillis;
	}

	boolean isAttached() {
		return this.attached;
	}

	boolean uses(PeerConnection candidate) {
		return this.connection.equals(candidate);
	}

	/**
	 * Tells whether a connection leads to the process that has the request.
	 * @param candidate the connection
	 * @return whether instance and incarnation are the same
	 */
	boolean isAt(PeerConnection candidate) {
		return isAtInstance(candidate) && candidate.frames().peer().incarnation() == this.incarnation;
	}

	boolean isAtInstance(PeerConnection candidate) {
		FrameConnection frames = candidate.frames();
		return frames.peer() != null && frames.peer().instance().equals(this.runner.instance());
	}

	void detach() {
		this.attached = false;
	}

	void attach(PeerConnection next, boolean headReceived, long offset) {
		this.connection = next;
		this.attached = next.frames().send(new Traffic.Attach(this.wireId, headReceived, offset));
	}

	void send(Traffic message) {
		if (this.attached) {
			this.connection.frames().send(message);
		}
	}

}
