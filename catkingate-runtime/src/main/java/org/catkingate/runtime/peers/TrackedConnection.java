package org.catkingate.runtime.peers;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.catkingate.decisions.membership.MembershipEvent;
import org.catkingate.wire.ControlMessage;
import org.catkingate.wire.Message;

/**
 * An open connection to another process with the latest heartbeat, acknowledgement and
 * loads received over it. The connection's I/O thread writes them, other threads read
 * them. Safe for use by any thread.
 */
final class TrackedConnection {

	private final long number;

	private final PeerConnection peerConnection;

	private final AtomicLong reportedAtMillis = new AtomicLong();

	private volatile long lastReceiptAtMillis;

	private volatile long acknowledged;

	private volatile ReportedLoads loads = new ReportedLoads(List.of(), 0);

	TrackedConnection(long number, PeerConnection connection, long nowMillis) {
		this.number = number;
		this.peerConnection = connection;
		this.lastReceiptAtMillis = nowMillis;
	}

	long number() {
		return this.number;
	}

	PeerConnection peerConnection() {
		return this.peerConnection;
	}

	void recordReceipt(long nowMillis) {
		this.lastReceiptAtMillis = nowMillis;
	}

	void recordHeartbeat(ControlMessage.Heartbeat heartbeat, long nowMillis) {
		this.peerConnection.newestHeartbeat().accumulateAndGet(heartbeat.sequence(), Math::max);
		this.acknowledged = Math.max(this.acknowledged, heartbeat.acknowledged());
		this.loads = new ReportedLoads(heartbeat.loads(), nowMillis);
	}

	/**
	 * Marks what has been received so far as reported.
	 * @return whether anything was received since the previous report
	 */
	boolean markReported() {
		long receivedAt = this.lastReceiptAtMillis;
		return this.reportedAtMillis.getAndSet(receivedAt) != receivedAt;
	}

	MembershipEvent.ConnectionActivity report() {
		ReportedLoads latest = this.loads;
		return new MembershipEvent.ConnectionActivity(this.number, this.lastReceiptAtMillis, this.acknowledged,
				latest.values(), latest.atMillis());
	}

	void send(Message message) {
		this.peerConnection.frameConnection().send(message);
	}

	/**
	 * Sends the current value of something that changes. The value that is sent last is
	 * the newest, also if several threads send.
	 * @param current supplies the current value, or null for none
	 */
	synchronized void sendCurrent(Supplier<? extends Message> current) {
		Message message = current.get();
		if (message != null) {
			send(message);
		}
	}

	/**
	 * The loads from a heartbeat and the time at which they arrived. Immutable.
	 *
	 * @param values the load of each runner
	 * @param atMillis the time of arrival, in milliseconds of the monotonic clock
	 */
	private record ReportedLoads(List<Integer> values, long atMillis) {

	}

}
