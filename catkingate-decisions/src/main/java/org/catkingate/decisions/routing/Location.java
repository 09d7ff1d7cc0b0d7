package org.catkingate.decisions.routing;

import java.util.Objects;

import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.RegionName;

/**
 * The location of a process. Immutable and safe for use by any thread.
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
	 * Returns the distance to an instance.
	 * @param instance the instance
	 * @return the distance, never null
	 */
	public Distance distanceTo(InstanceRecord instance) {
		return distanceTo(instance.dataCentre(), instance.region());
	}

	/**
	 * Returns the distance to another location.
	 * @param otherDataCentre its data centre
	 * @param otherRegion its region, null if unknown
	 * @return the distance, never null
	 */
	public Distance distanceTo(DataCentreName otherDataCentre, RegionName otherRegion) {
		if (otherDataCentre.equals(this.dataCentre)) {
			return Distance.DATA_CENTRE;
		}
		return (this.region.equals(otherRegion)) ? Distance.REGION : Distance.ELSEWHERE;
	}

}
