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
final class TrackedConnection {

	private final long number;

	private final PeerConnection connection;

	private final AtomicLong reportedAtMillis = new AtomicLong();

	private volatile long lastReceiptAtMillis;

	private volatile long acknowledged;

	private volatile ReportedLoads loads = new ReportedLoads(List.of(), 0);

	TrackedConnection(long number, PeerConnection connection, long nowMillis) {
		this.number = number;
		this.connection = connection;
		this.lastReceiptAtMillis = nowMillis;
	}

	long number() {
		return this.number;
	}

	PeerConnection connection() {
		return this.connection;
	}

	void recordReceipt(long nowMillis) {
		this.lastReceiptAtMillis = nowMillis;
	}

	void recordHeartbeat(Control.Heartbeat heartbeat, long nowMillis) {
		this.connection.newestHeartbeat().accumulateAndGet(heartbeat.sequence(), Math::max);
		this.acknowledged = Math.max(this.acknowledged, heartbeat.acknowledged());
		this.loads = new ReportedLoads(heartbeat.loads(), nowMillis);
	}

	boolean markReported() {
		long heard = this.lastReceiptAtMillis;
		return this.reportedAtMillis.getAndSet(heard) != heard;
	}

	MembershipEvent.Heard report() {
		ReportedLoads newest = this.loads;
		return new MembershipEvent.Heard(this.number, this.lastReceiptAtMillis, this.acknowledged, newest.values(),
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
	private record ReportedLoads(List<Integer> values, long atMillis) {

	}

}
