package org.catkingate.runtime.peers;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.model.AddressFormatter;
import org.catkingate.model.InstanceId;
import org.catkingate.wire.FrameConnection;

/**
 * The gateways that the seeds list, in addition to the seeds themselves. The list of a
 * seed that is lost is kept until another one has sent its own, so that an outage of all
 * seeds does not disconnect the others. Not thread-safe.
 *
 * @since 0.1
 */
public final class ListedGateways {

	private static final Logger logger = LoggerFactory.getLogger(ListedGateways.class);

	private final Map<FrameConnection, Set<InetSocketAddress>> lists = new HashMap<>();

	private final Set<InetSocketAddress> knownAddresses;

	private final InstanceId self;

	private final int maxGateways;

	private ListedGateways(InstanceId self, Set<InetSocketAddress> knownAddresses, int maxGateways) {
		this.self = self;
		this.knownAddresses = knownAddresses;
		this.maxGateways = maxGateways;
	}

	/**
	 * Creates an empty list.
	 * @param self this process, by which different processes choose different gateways
	 * @param knownAddresses the addresses that are left out: those of seeds and its own
	 * @param maxGateways the maximum number of gateways to connect to
	 * @return the list, never null
	 */
	public static ListedGateways of(InstanceId self, Set<InetSocketAddress> knownAddresses, int maxGateways) {
		return new ListedGateways(self, Set.copyOf(knownAddresses), maxGateways);
	}

	/**
	 * Receives the list of a seed.
	 * @param seed the connection to the seed
	 * @param addresses the addresses, as IP:PORT; malformed ones are left out
	 * @return the gateways to connect to
	 */
	public List<InetSocketAddress> update(FrameConnection seed, List<String> addresses) {
		this.lists.keySet().removeIf(FrameConnection::isClosed);
		Set<InetSocketAddress> listed = new HashSet<>();
		for (String address : addresses) {
			try {
				listed.add(AddressFormatter.parse(address));
			}
			catch (IllegalArgumentException ex) {
				logger.atWarn()
					.addKeyValue("event", "gateway-address-malformed")
					.addKeyValue("address", address)
					.addKeyValue("peer", seed.peer().instance())
					.log("leaving out a gateway with a malformed address; run the same release everywhere");
			}
		}
		listed.removeAll(this.knownAddresses);
		this.lists.put(seed, listed);
		return this.lists.values()
			.stream()
			.flatMap(Set::stream)
			.distinct()
			.sorted(Comparator.comparingLong((address) -> RendezvousHashing.hash(this.self + "/" + address)))
			.limit(this.maxGateways)
			.toList();
	}

}
