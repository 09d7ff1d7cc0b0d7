package org.catkingate.model.registry;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.catkingate.model.DataCentreName;

/**
 * Where published weights can be read. Immutable and safe for use by any thread.
 *
 * @param address the address
 * @param dataCentre where it stands; null if that is not known
 * @param maxConnections how many connections it takes from all processes together
 * @since 0.1
 */
public record WeightsOrigin(InetSocketAddress address, DataCentreName dataCentre, int maxConnections) {

	public WeightsOrigin {
		Objects.requireNonNull(address, "address must not be null");
	}

}
