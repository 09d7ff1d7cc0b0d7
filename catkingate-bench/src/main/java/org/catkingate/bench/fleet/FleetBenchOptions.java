package org.catkingate.bench.fleet;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Options of the benchmark. Not safe for use by several threads.
 */
@Parameters(commandDescription = "time from publication to in force, reads of the platform and cost of control")
public final class FleetBenchOptions {

	@Parameter(names = "--processes", description = "numbers of processes, one run for each")
	List<Integer> processes = List.of(8, 16, 32, 64);

	@Parameter(names = "--publications", description = "publications of one run")
	int publications = 20;

	@Parameter(names = "--idle-s", description = "how long control is measured at rest")
	int idleSeconds = 20;

	@Parameter(names = "--accounts", description = "client accounts in the part that does not change")
	int accounts = 500;

	@Parameter(names = "--changing-accounts", description = "client accounts in the part that changes")
	int changingAccounts = 20;

	@Parameter(names = "--timeout-s", description = "longest time of one publication")
	int timeoutSeconds = 30;

}
