package org.catkingate.model;

import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * An instance in the platform's list of instances, which may lag behind the actual state.
 * Immutable and safe for use by any thread.
 *
 * @param id the instance
 * @param role whether an entry or an agent runs there
 * @param address the IP address and port on which the process listens for peers
 * @param dataCentre the data centre
 * @param region the region of the data centre
 * @param labels the instance's labels
 * @param leaving whether the platform has marked the instance as leaving
 * @since 0.1
 */
public record InstanceRecord(InstanceId id, Role role, InetSocketAddress address, DataCentreName dataCentre,
		RegionName region, Labels labels, boolean leaving) {

	public InstanceRecord {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(role, "role must not be null");
		Objects.requireNonNull(address, "address must not be null");
		Objects.requireNonNull(dataCentre, "dataCentre must not be null");
		Objects.requireNonNull(region, "region must not be null");
		Objects.requireNonNull(labels, "labels must not be null");
	}

}
