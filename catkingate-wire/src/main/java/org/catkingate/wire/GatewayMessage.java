package org.catkingate.wire;

import java.util.List;
import java.util.Objects;

/**
 * A message by which processes learn of the gateways that their settings do not name.
 *
 * @since 0.1
 */
public sealed interface GatewayMessage extends Message {

	/**
	 * The address at which the sender, a gateway, accepts connections of other processes.
	 *
	 * @param address the address, as IP:PORT
	 */
	record GatewayAddress(String address) implements GatewayMessage {

		public GatewayAddress {
			Objects.requireNonNull(address, "address must not be null");
		}

	}

	/**
	 * The gateways from which the receiver should request weights: those of its region
	 * and, for a gateway, of the region of the origin.
	 *
	 * @param addresses their addresses, as IP:PORT, at most {@link #MAX_ADDRESSES}
	 */
	record GatewayList(List<String> addresses) implements GatewayMessage {

		/** The maximum number of addresses in a list. */
		public static final int MAX_ADDRESSES = 64;

		public GatewayList {
			addresses = List.copyOf(addresses);
			if (addresses.size() > MAX_ADDRESSES) {
				throw new IllegalArgumentException("a list must not have more than " + MAX_ADDRESSES + " addresses");
			}
		}

	}

	/**
	 * All gateways that the sender, a gateway, has ever known, including itself.
	 *
	 * @param instances the names of their instances, at most {@link #MAX_INSTANCES}
	 * @param answerRequested whether the receiver, if it is a seed, should send what it
	 * knows
	 */
	record KnownGateways(List<String> instances, boolean answerRequested) implements GatewayMessage {

		/** The maximum number of names in a message. */
		public static final int MAX_INSTANCES = 1000;

		public KnownGateways {
			instances = List.copyOf(instances);
			if (instances.size() > MAX_INSTANCES) {
				throw new IllegalArgumentException("a message must not have more than " + MAX_INSTANCES + " names");
			}
		}

	}

}
