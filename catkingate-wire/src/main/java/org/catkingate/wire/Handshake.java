package org.catkingate.wire;

import java.util.Objects;

import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;

/**
 * The messages with which two processes prove the shared key to each other.
 *
 * @since 0.1
 */
public sealed interface Handshake extends Message {

	/**
	 * The first message of each side.
	 *
	 * @param protocol the version of the protocol
	 * @param identity who sends it
	 * @param challenge random bytes that the other side's proof must cover
	 */
	record Hello(int protocol, PeerIdentity identity, byte[] challenge) implements Handshake {

		public Hello {
			Objects.requireNonNull(identity, "identity must not be null");
			Objects.requireNonNull(challenge, "challenge must not be null");
		}

	}

	/**
	 * The second message of each side.
	 *
	 * @param mac the keyed hash over both challenges and the sender's identity
	 */
	record Proof(byte[] mac) implements Handshake {

		public Proof {
			Objects.requireNonNull(mac, "mac must not be null");
		}

	}

	/**
	 * Who a process is. An instance that restarts has a new incarnation.
	 *
	 * @param instance the instance
	 * @param role the role that it plays
	 * @param incarnation a random number drawn when the process started
	 * @param dataCentre its data centre
	 * @param region its region
	 */
	record PeerIdentity(InstanceId instance, Role role, long incarnation, DataCentreName dataCentre,
			RegionName region) {

		public PeerIdentity {
			Objects.requireNonNull(instance, "instance must not be null");
			Objects.requireNonNull(role, "role must not be null");
			Objects.requireNonNull(dataCentre, "dataCentre must not be null");
			Objects.requireNonNull(region, "region must not be null");
		}

	}

}
