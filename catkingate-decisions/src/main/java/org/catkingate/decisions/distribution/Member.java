package org.catkingate.decisions.distribution;

import java.util.Objects;

import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.RegionName;

/**
 * A live instance that a version is selected for, with its location. Immutable and safe
 * for use by any thread.
 *
 * @param instance the instance
 * @param dataCentre its data centre
 * @param region its region
 * @since 0.1
 */
public record Member(InstanceId instance, DataCentreName dataCentre, RegionName region) {

	public Member {
		Objects.requireNonNull(instance, "instance must not be null");
		Objects.requireNonNull(dataCentre, "dataCentre must not be null");
		Objects.requireNonNull(region, "region must not be null");
	}

	Distance distanceTo(Member other) {
		if (!this.region.equals(other.region)) {
			return Distance.OTHER_REGION;
		}
		return this.dataCentre.equals(other.dataCentre) ? Distance.DATA_CENTRE : Distance.REGION;
	}

}
