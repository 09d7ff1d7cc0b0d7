package org.catkingate.decisions.routing;

import java.util.Objects;

import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.RegionName;

/**
 * Where a process is. Immutable and safe for use by any thread.
 *
 * @param dataCentre its data centre
 * @param region its region
 * @since 0.1
 */
public record Location(DataCentreName dataCentre, RegionName region) {

	public Location {
		Objects.requireNonNull(dataCentre, "dataCentre must not be null");
		Objects.requireNonNull(region, "region must not be null");
	}

	/**
	 * Tells how far an instance is.
	 * @param instance the instance
	 * @return the distance, never null
	 */
	public Distance to(InstanceRecord instance) {
		if (instance.dataCentre().equals(this.dataCentre)) {
			return Distance.DATA_CENTRE;
		}
		return (instance.region().equals(this.region)) ? Distance.REGION : Distance.ELSEWHERE;
	}

}
