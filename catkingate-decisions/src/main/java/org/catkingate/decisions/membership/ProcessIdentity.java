package org.catkingate.decisions.membership;

import java.util.Objects;

import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.Labels;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;

/**
 * The identity of this process. Immutable and safe for use by any thread.
 *
 * @param instance the instance that it runs on
 * @param role its role
 * @param incarnation a random number drawn when the process started; also the seed of its
 * jitter
 * @param dataCentre its data centre
 * @param region its region
 * @param labels the labels of the instance
 * @since 0.1
 */
public record ProcessIdentity(InstanceId instance, Role role, long incarnation, DataCentreName dataCentre,
		RegionName region, Labels labels) {

	public ProcessIdentity {
		Objects.requireNonNull(instance, "instance must not be null");
		Objects.requireNonNull(role, "role must not be null");
		Objects.requireNonNull(dataCentre, "dataCentre must not be null");
		Objects.requireNonNull(region, "region must not be null");
		Objects.requireNonNull(labels, "labels must not be null");
	}

}
