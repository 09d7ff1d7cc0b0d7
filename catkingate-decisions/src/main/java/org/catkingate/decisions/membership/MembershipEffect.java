package org.catkingate.decisions.membership;

import java.net.InetSocketAddress;

import org.catkingate.decisions.Effect;
import org.catkingate.model.InstanceId;

/**
 * What membership wants done.
 *
 * @since 0.1
 */
public sealed interface MembershipEffect extends Effect {

	/**
	 * Make a connection.
	 *
	 * @param instance the instance to meet
	 * @param address where it listens
	 */
	record OpenConnection(InstanceId instance, InetSocketAddress address) implements MembershipEffect {

	}

	/**
	 * Give a link up.
	 *
	 * @param link the link
	 * @param reason why, for the log
	 */
	record CloseConnection(long link, String reason) implements MembershipEffect {

	}

	/**
	 * Send a heartbeat over every link.
	 *
	 * @param sequence its sequence
	 */
	record SendHeartbeats(long sequence) implements MembershipEffect {

	}

	/**
	 * Read the platform's list.
	 *
	 * @param after the index seen last; 0 for none
	 * @param waitMillis how long to wait for a change, in milliseconds
	 */
	record ReadList(long after, long waitMillis) implements MembershipEffect {

	}

	/**
	 * Let traffic threads see a new snapshot.
	 *
	 * @param snapshot the snapshot
	 */
	record PublishSnapshot(FleetSnapshot snapshot) implements MembershipEffect {

	}

	/**
	 * This process was paused; what it knew of others is checked again.
	 *
	 * @param gapMillis how long no tick came, in milliseconds
	 */
	record PauseNoticed(long gapMillis) implements MembershipEffect {

	}

}
