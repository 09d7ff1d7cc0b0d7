package org.catkingate.decisions.membership;

import java.util.Objects;

import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.Labels;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;

/**
 * Who this process is. Immutable and safe for use by any thread.
 *
 * @param instance the instance
 * @param role the role
 * @param incarnation a random number drawn when the process started; jitter is made from
 * it
 * @param dataCentre the data centre
 * @param region the region
 * @param labels the instance's labels
 * @since 0.1
 */
public record Self(InstanceId instance, Role role, long incarnation, DataCentreName dataCentre, RegionName region,
		Labels labels) {

	public Self {
		Objects.requireNonNull(instance, "instance must not be null");
		Objects.requireNonNull(role, "role must not be null");
		Objects.requireNonNull(dataCentre, "dataCentre must not be null");
		Objects.requireNonNull(region, "region must not be null");
		Objects.requireNonNull(labels, "labels must not be null");
	}

}
