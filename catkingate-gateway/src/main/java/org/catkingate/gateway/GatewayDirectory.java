package org.catkingate.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.GatewayMessage;
import org.catkingate.wire.HandshakeMessage;

/**
 * The addresses of the gateways that are connected to this one, which is a seed, and the
 * lists of them for other processes. A list is sent only if it differs from the one last
 * sent over a connection. Used by the traffic thread only.
 */
final class GatewayDirectory {

	private final Map<FrameConnection, String> addresses = new HashMap<>();

	private final Map<FrameConnection, List<String>> sentLists = new HashMap<>();

	private final HandshakeMessage.PeerIdentity self;

	private final String ownAddress;

	GatewayDirectory(HandshakeMessage.PeerIdentity self, String ownAddress) {
		this.self = self;
		this.ownAddress = ownAddress;
	}

	void add(FrameConnection gateway, GatewayMessage.GatewayAddress message) {
		this.addresses.put(gateway, message.address());
	}

	void remove(FrameConnection connection) {
		this.addresses.remove(connection);
		this.sentLists.remove(connection);
	}

	/**
	 * Sends the list to a process unless it has been sent already.
	 * @param receiver the connection to a loader or a gateway
	 * @param originRegion the region of the origin of weights, empty if it is not known
	 */
	void sendList(FrameConnection receiver, Optional<RegionName> originRegion) {
		List<String> list = list(receiver.peer(), originRegion);
		if (!list.isEmpty() && !list.equals(this.sentLists.put(receiver, list))) {
			receiver.send(new GatewayMessage.GatewayList(list));
		}
	}

	private List<String> list(HandshakeMessage.PeerIdentity receiver, Optional<RegionName> originRegion) {
		List<String> list = new ArrayList<>();
		if (isListedFor(receiver, this.self.region(), originRegion)) {
			list.add(this.ownAddress);
		}
		this.addresses.forEach((gateway, address) -> {
			if (isListedFor(receiver, gateway.peer().region(), originRegion)) {
				list.add(address);
			}
		});
		return list.stream().distinct().sorted().limit(GatewayMessage.GatewayList.MAX_ADDRESSES).toList();
	}

	private static boolean isListedFor(HandshakeMessage.PeerIdentity receiver, RegionName gatewayRegion,
			Optional<RegionName> originRegion) {
		return gatewayRegion.equals(receiver.region())
				|| (receiver.role() == Role.ENTRY && originRegion.filter(gatewayRegion::equals).isPresent());
	}

}
