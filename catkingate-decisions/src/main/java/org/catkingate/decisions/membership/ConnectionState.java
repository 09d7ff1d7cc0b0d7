package org.catkingate.decisions.membership;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.Labels;
import org.catkingate.model.RunnerStatus;

/**
 * The state of one connection to a peer. Immutable and safe for use by any thread.
 *
 * @param number the number of the connection
 * @param dialled whether this process opened the connection
 * @param peer the process at the other end
 * @param lastReceivedAtMillis when data last arrived, in milliseconds
 * @param acknowledged the highest sequence number of the heartbeats of this process that
 * the peer has acknowledged, or that of the last heartbeat sent before the connection
 * opened
 * @param verifySequence the sequence number of the heartbeat that the peer must
 * acknowledge before the connection is trusted again after a pause of this process; 0 for
 * none
 * @param status the status last announced by the agent; null before the first
 * @param loads the loads last reported
 * @param loadsAtMillis when the loads arrived, in milliseconds
 * @param unwantedSinceMillis since when the connection has not been needed, in
 * milliseconds; 0 while it is needed
 * @since 0.1
 */
public record ConnectionState(long number, boolean dialled, MembershipEvent.Peer peer, long lastReceivedAtMillis,
		long acknowledged, long verifySequence, AgentStatus status, List<Integer> loads, long loadsAtMillis,
		long unwantedSinceMillis) {

	public ConnectionState {
		Objects.requireNonNull(peer, "peer must not be null");
		loads = List.copyOf(loads);
	}

	static ConnectionState of(MembershipEvent.ConnectionOpened event, long nowMillis, long sequence) {
		return new ConnectionState(event.connection(), event.dialled(), event.peer(), nowMillis, sequence, 0, null,
				List.of(), 0, 0);
	}

	/**
	 * Returns whether the state of this connection can be trusted.
	 * @return false from a pause of this process until the peer has acknowledged a
	 * heartbeat sent after it
	 */
	public boolean isVerified() {
		return this.verifySequence == 0;
	}

	boolean isSuspect(long nowMillis) {
		return nowMillis - this.lastReceivedAtMillis >= MembershipTimes.SUSPECT_AFTER_MILLIS;
	}

	boolean isSilent(long nowMillis, long sequence) {
		return nowMillis - this.lastReceivedAtMillis >= MembershipTimes.SILENCE_TIMEOUT_MILLIS
				|| sequence - this.acknowledged > MembershipTimes.MAX_UNACKNOWLEDGED_HEARTBEATS;
	}

	ConnectionState withActivity(MembershipEvent.ConnectionActivity activity) {
		long highestAcknowledged = Math.max(this.acknowledged, activity.acknowledged());
		// data that arrives after a pause may have been in buffers since before it, and
		// does not prove that the peer is alive
		boolean verified = highestAcknowledged >= this.verifySequence;
		long receivedAtMillis = verified ? Math.max(this.lastReceivedAtMillis, activity.lastReceivedAtMillis())
				: this.lastReceivedAtMillis;
		return new ConnectionState(this.number, this.dialled, this.peer, receivedAtMillis, highestAcknowledged,
				verified ? 0 : this.verifySequence, this.status, activity.loads(), activity.loadsAtMillis(),
				this.unwantedSinceMillis);
	}

	ConnectionState withStatus(AgentStatus announced) {
		return new ConnectionState(this.number, this.dialled, this.peer, this.lastReceivedAtMillis, this.acknowledged,
				this.verifySequence, announced, this.loads, this.loadsAtMillis, this.unwantedSinceMillis);
	}

	// Heartbeats sent before the pause no longer count as unacknowledged.
	ConnectionState withVerificationRequired(long nowMillis, long sequence) {
		return new ConnectionState(this.number, this.dialled, this.peer, nowMillis,
				Math.max(this.acknowledged, sequence - 1), sequence, this.status, this.loads, this.loadsAtMillis,
				this.unwantedSinceMillis);
	}

	ConnectionState withUnwantedSince(long sinceMillis) {
		return new ConnectionState(this.number, this.dialled, this.peer, this.lastReceivedAtMillis, this.acknowledged,
				this.verifySequence, this.status, this.loads, this.loadsAtMillis, sinceMillis);
	}

	/**
	 * The status that an agent has announced.
	 *
	 * @param draining whether the agent accepts no new requests
	 * @param labels its labels
	 * @param runners its runners
	 */
	public record AgentStatus(boolean draining, Labels labels, List<RunnerStatus> runners) {

		public AgentStatus {
			runners = List.copyOf(runners);
		}

	}

}
