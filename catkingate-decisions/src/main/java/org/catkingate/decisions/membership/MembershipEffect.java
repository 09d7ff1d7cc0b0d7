package org.catkingate.decisions.membership;

import java.net.InetSocketAddress;

import org.catkingate.decisions.Effect;
import org.catkingate.model.InstanceId;

/**
 * The effects that {@link MembershipReducer} requests.
 *
 * @since 0.1
 */
public sealed interface MembershipEffect extends Effect {

	/**
	 * An instruction to open a connection.
	 *
	 * @param instance the instance to connect to
	 * @param address the address that it listens on
	 */
	record OpenConnection(InstanceId instance, InetSocketAddress address) implements MembershipEffect {

	}

	/**
	 * An instruction to close a connection.
	 *
	 * @param connection the number of the connection
	 * @param reason the cause, for the log
	 */
	record CloseConnection(long connection, String reason) implements MembershipEffect {

	}

	/**
	 * An instruction to send a heartbeat over every connection.
	 *
	 * @param sequence its sequence number
	 */
	record SendHeartbeats(long sequence) implements MembershipEffect {

	}

	/**
	 * An instruction to read the instance list of the platform.
	 *
	 * @param after the index last seen; 0 for none
	 * @param waitMillis how long to wait for a change, in milliseconds
	 */
	record ReadList(long after, long waitMillis) implements MembershipEffect {

	}

	/**
	 * An instruction to publish a new snapshot to the threads that handle requests.
	 *
	 * @param snapshot the snapshot
	 */
	record PublishSnapshot(FleetSnapshot snapshot) implements MembershipEffect {

	}

	/**
	 * An instruction to report that this process was paused, and that its connections are
	 * verified before they are trusted again.
	 *
	 * @param gapMillis the time without ticks, in milliseconds
	 */
	record PauseDetected(long gapMillis) implements MembershipEffect {

	}

}
