package org.catkingate.bench.fleet;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Options of the fleet benchmark. Not thread-safe.
 */
@Parameters(
		commandDescription = "measures the time from the publication of a configuration until it is in force, the calls to the platform and the cost of the control plane")
public final class FleetBenchOptions {

	@Parameter(names = "--processes", description = "numbers of processes; one run for each")
	List<Integer> processes = List.of(8, 16, 32, 64);

	@Parameter(names = "--publications", description = "number of publications per run")
	int publications = 20;

	@Parameter(names = "--idle-s", description = "duration of the measurement without changes, in seconds")
	int idleSeconds = 20;

	@Parameter(names = "--accounts", description = "number of client accounts in the part that does not change")
	int accounts = 500;

	@Parameter(names = "--changing-accounts", description = "number of client accounts in the part that changes")
	int changingAccounts = 20;

	@Parameter(names = "--timeout-s", description = "maximum duration of one publication, in seconds")
	int timeoutSeconds = 30;

}
