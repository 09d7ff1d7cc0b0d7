package org.catkingate.model.registry;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.catkingate.model.DataCentreName;

/**
 * The origin from which published weights can be read. Immutable and safe for use by any
 * thread.
 *
 * @param address the address
 * @param dataCentre the data centre in which it runs; null if it is unknown
 * @param maxConnections the maximum number of connections that it accepts from all
 * processes together
 * @since 0.1
 */
public record WeightsOrigin(InetSocketAddress address, DataCentreName dataCentre, int maxConnections) {

	public WeightsOrigin {
		Objects.requireNonNull(address, "address must not be null");
	}

}
