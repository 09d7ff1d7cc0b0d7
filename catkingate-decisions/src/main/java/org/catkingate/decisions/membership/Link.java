package org.catkingate.decisions.membership;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.Labels;
import org.catkingate.model.RunnerStatus;

/**
 * What is known of one link. Immutable and safe for use by any thread.
 *
 * @param number the link
 * @param dialled whether this process made the connection
 * @param peer who is at the other side
 * @param heardAtMillis when anything arrived last, in milliseconds
 * @param acknowledged the highest of our heartbeats that the peer has acknowledged, or
 * the last sent before the link opened
 * @param verifyFrom the heartbeat that the peer must acknowledge before the link counts,
 * since this process was paused; 0 for none
 * @param status what the agent has told; null before
 * @param loads the loads last reported
 * @param loadsAtMillis when they arrived, in milliseconds
 * @param unwantedSinceMillis since when nothing asks for the link, in milliseconds; 0
 * while something does
 * @since 0.1
 */
public record Link(long number, boolean dialled, MembershipEvent.Peer peer, long heardAtMillis, long acknowledged,
		long verifyFrom, Status status, List<Integer> loads, long loadsAtMillis, long unwantedSinceMillis) {

	public Link {
		Objects.requireNonNull(peer, "peer must not be null");
		loads = List.copyOf(loads);
	}

	static Link opened(MembershipEvent.LinkOpened event, long nowMillis, long sequence) {
		return new Link(event.link(), event.dialled(), event.peer(), nowMillis, sequence, 0, null, List.of(), 0, 0);
	}

	/**
	 * Tells whether what the link has told can be relied on.
	 * @return false from a pause of this process until the peer has answered after it
	 */
	public boolean isVerified() {
		return this.verifyFrom == 0;
	}

	boolean isSuspect(long nowMillis) {
		return nowMillis - this.heardAtMillis >= MembershipTimes.SUSPECT_MILLIS;
	}

	boolean isSilent(long nowMillis, long sequence) {
		return nowMillis - this.heardAtMillis >= MembershipTimes.SILENT_MILLIS
				|| sequence - this.acknowledged > MembershipTimes.HEARTBEATS_WITHOUT_ANSWER;
	}

	Link heard(MembershipEvent.Heard heard) {
		long highest = Math.max(this.acknowledged, heard.acknowledged());
		boolean verified = highest >= this.verifyFrom;
		long heardAt = verified ? Math.max(this.heardAtMillis, heard.atMillis()) : this.heardAtMillis;
		return new Link(this.number, this.dialled, this.peer, heardAt, highest, verified ? 0 : this.verifyFrom,
				this.status, heard.loads(), heard.loadsAtMillis(), this.unwantedSinceMillis);
	}

	Link announced(Status next) {
		return new Link(this.number, this.dialled, this.peer, this.heardAtMillis, this.acknowledged, this.verifyFrom,
				next, this.loads, this.loadsAtMillis, this.unwantedSinceMillis);
	}

	Link toVerify(long nowMillis, long sequence) {
		return new Link(this.number, this.dialled, this.peer, nowMillis, Math.max(this.acknowledged, sequence - 1),
				sequence, this.status, this.loads, this.loadsAtMillis, this.unwantedSinceMillis);
	}

	Link unwantedSince(long millis) {
		return new Link(this.number, this.dialled, this.peer, this.heardAtMillis, this.acknowledged, this.verifyFrom,
				this.status, this.loads, this.loadsAtMillis, millis);
	}

	/**
	 * What an agent has told of itself.
	 *
	 * @param draining whether it takes no more work
	 * @param labels its labels
	 * @param runners its runners
	 */
	public record Status(boolean draining, Labels labels, List<RunnerStatus> runners) {

		public Status {
			runners = List.copyOf(runners);
		}

	}

}
