package org.catkingate.runtime.peers;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.catkingate.decisions.membership.MembershipEvent;
import org.catkingate.wire.Control;
import org.catkingate.wire.Message;

/**
 * What is counted on one open link. Its I/O thread writes, other threads read. Safe for
 * use by any thread.
 */
final class OpenLink {

	private final long number;

	private final PeerConnection connection;

	private final AtomicLong reportedAtMillis = new AtomicLong();

	private volatile long heardAtMillis;

	private volatile long acknowledged;

	private volatile Loads loads = new Loads(List.of(), 0);

	OpenLink(long number, PeerConnection connection, long nowMillis) {
		this.number = number;
		this.connection = connection;
		this.heardAtMillis = nowMillis;
	}

	long number() {
		return this.number;
	}

	PeerConnection connection() {
		return this.connection;
	}

	void heard(long nowMillis) {
		this.heardAtMillis = nowMillis;
	}

	void heartbeat(Control.Heartbeat heartbeat, long nowMillis) {
		this.connection.newestHeartbeat().accumulateAndGet(heartbeat.sequence(), Math::max);
		this.acknowledged = Math.max(this.acknowledged, heartbeat.acknowledged());
		this.loads = new Loads(heartbeat.loads(), nowMillis);
	}

	boolean hasNews() {
		long heard = this.heardAtMillis;
		return this.reportedAtMillis.getAndSet(heard) != heard;
	}

	MembershipEvent.Heard report() {
		Loads newest = this.loads;
		return new MembershipEvent.Heard(this.number, this.heardAtMillis, this.acknowledged, newest.values(),
				newest.atMillis());
	}

	void send(Message message) {
		this.connection.frames().send(message);
	}

	/**
	 * Sends the present value of something that changes. The last one sent is the newest,
	 * also if several threads send.
	 * @param current gives the present value, or null for none
	 */
	synchronized void sendCurrent(Supplier<? extends Message> current) {
		Message message = current.get();
		if (message != null) {
			send(message);
		}
	}

	/**
	 * Loads and when they arrived. Immutable.
	 *
	 * @param values the load of each runner
	 * @param atMillis when they arrived, in milliseconds
	 */
	private record Loads(List<Integer> values, long atMillis) {

	}

}
