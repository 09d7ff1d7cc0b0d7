package org.catkingate.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.GatewayMessage;
import org.catkingate.wire.HandshakeMessage;

/**
 * The addresses of the gateways that are connected to this one, which is a seed, and the
 * lists of them for other processes. A list is sent only after a change, and if it
 * differs from the one last sent over a connection. Used by the traffic thread only.
 */
final class GatewayDirectory {

	private final Map<FrameConnection, String> addresses = new HashMap<>();

	private final Map<FrameConnection, List<String>> sentLists = new HashMap<>();

	/** The connections whose list may have changed. */
	private final Set<FrameConnection> outdated = new HashSet<>();

	private Optional<RegionName> originRegion = Optional.empty();

	private final HandshakeMessage.PeerIdentity self;

	private final String ownAddress;

	GatewayDirectory(HandshakeMessage.PeerIdentity self, String ownAddress) {
		this.self = self;
		this.ownAddress = ownAddress;
	}

	/**
	 * Adds a process that should receive lists.
	 * @param connection the connection to it
	 */
	void addReceiver(FrameConnection connection) {
		this.outdated.add(connection);
		this.sentLists.put(connection, List.of());
	}

	void add(FrameConnection gateway, GatewayMessage.GatewayAddress message) {
		this.addresses.put(gateway, message.address());
		this.outdated.addAll(this.sentLists.keySet());
	}

	void remove(FrameConnection connection) {
		this.sentLists.remove(connection);
		this.outdated.remove(connection);
		if (this.addresses.remove(connection) != null) {
			this.outdated.addAll(this.sentLists.keySet());
		}
	}

	/**
	 * Sends the lists that have changed.
	 * @param nextOriginRegion the region of the origin of weights, empty if it is not
	 * known
	 */
	void sendChangedLists(Optional<RegionName> nextOriginRegion) {
		if (!nextOriginRegion.equals(this.originRegion)) {
			this.originRegion = nextOriginRegion;
			this.outdated.addAll(this.sentLists.keySet());
		}
		this.outdated.forEach((receiver) -> {
			List<String> list = list(receiver.peer());
			if (!list.equals(this.sentLists.put(receiver, list))) {
				receiver.send(new GatewayMessage.GatewayList(list));
			}
		});
		this.outdated.clear();
	}

	private List<String> list(HandshakeMessage.PeerIdentity receiver) {
		List<String> list = new ArrayList<>();
		if (isListedFor(receiver, this.self.region())) {
			list.add(this.ownAddress);
		}
		this.addresses.forEach((gateway, address) -> {
			if (isListedFor(receiver, gateway.peer().region())) {
				list.add(address);
			}
		});
		return list.stream().distinct().sorted().limit(GatewayMessage.GatewayList.MAX_ADDRESSES).toList();
	}

	private boolean isListedFor(HandshakeMessage.PeerIdentity receiver, RegionName gatewayRegion) {
		return gatewayRegion.equals(receiver.region())
				|| (receiver.role() == Role.ENTRY && this.originRegion.filter(gatewayRegion::equals).isPresent());
	}

}
