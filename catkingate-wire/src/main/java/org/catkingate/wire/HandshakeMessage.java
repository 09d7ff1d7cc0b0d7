package org.catkingate.wire;

import java.util.Objects;

import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;

/**
 * A message of the handshake in which two processes prove to each other that they have
 * the shared key.
 *
 * @since 0.1
 */
public sealed interface HandshakeMessage extends Message {

	/**
	 * The first message of each side.
	 *
	 * @param protocol the version of the protocol
	 * @param identity the identity of the sender
	 * @param challenge random bytes that the proof of the other side must cover
	 */
	record Hello(int protocol, PeerIdentity identity, byte[] challenge) implements HandshakeMessage {

		public Hello {
			Objects.requireNonNull(identity, "identity must not be null");
			Objects.requireNonNull(challenge, "challenge must not be null");
		}

	}

	/**
	 * The second message of each side.
	 *
	 * @param mac the HMAC over the {@link Hello} of the sender and that of the receiver,
	 * which contain both challenges and identities
	 */
	record Proof(byte[] mac) implements HandshakeMessage {

		public Proof {
			Objects.requireNonNull(mac, "mac must not be null");
		}

	}

	/**
	 * The identity of a process. A restarted process has a new incarnation.
	 *
	 * @param instance the instance
	 * @param role the role of the process
	 * @param incarnation a random number generated when the process started
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
