package org.catkingate.gateway;

import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.registry.RegistryView;
import org.catkingate.model.DataCentreName;

/**
 * Logs evacuations of data centres, one line for each change. Stateless.
 */
final class EvacuationLog {

	private static final Logger logger = LoggerFactory.getLogger(EvacuationLog.class);

	private EvacuationLog() {
	}

	/**
	 * Logs the data centres that are evacuated from now on, and those that are not any
	 * more.
	 * @param before the view so far
	 * @param next the view from now on
	 */
	static void recordChanges(RegistryView before, RegistryView next) {
		record(next.evacuated(), before.evacuated(), next, true);
		record(before.evacuated(), next.evacuated(), next, false);
	}

	private static void record(Set<DataCentreName> all, Set<DataCentreName> known, RegistryView next,
			boolean evacuated) {
		for (DataCentreName dataCentre : all) {
			if (!known.contains(dataCentre)) {
				logger.atInfo()
					.addKeyValue("event", "evacuation")
					.addKeyValue("data-centre", dataCentre)
					.addKeyValue("evacuated", evacuated)
					.addKeyValue("runners", countRunners(next, dataCentre))
					.addKeyValue("revision", next.position().revision())
					.log(evacuated ? "a data centre is evacuated; its runners get no new requests"
							: "the evacuation of a data centre is over; its runners get requests again");
			}
		}
	}

	private static long countRunners(RegistryView view, DataCentreName dataCentre) {
		return view.runners().values().stream().filter((runner) -> runner.dataCentre().equals(dataCentre)).count();
	}

}
