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
public record InstanceLocation(InstanceId instance, DataCentreName dataCentre, RegionName region) {

	public InstanceLocation {
		Objects.requireNonNull(instance, "instance must not be null");
		Objects.requireNonNull(dataCentre, "dataCentre must not be null");
		Objects.requireNonNull(region, "region must not be null");
	}

	SourceDistance distanceTo(InstanceLocation other) {
		if (!this.region.equals(other.region)) {
			return SourceDistance.OTHER_REGION;
		}
		return this.dataCentre.equals(other.dataCentre) ? SourceDistance.DATA_CENTRE : SourceDistance.REGION;
	}

}
