package org.catkingate.bench.keys;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Options of the keys benchmark. Not thread-safe.
 *
 * @since 0.1
 */
@Parameters(
		commandDescription = "simulates the share of purchases that are rejected because no agent can vouch for their keys")
public final class KeysBenchOptions {

	@Parameter(names = "--agents", description = "number of agents of the service, with one runner each")
	int agents = 3;

	@Parameter(names = "--days", description = "number of days to simulate")
	int days = 20;

	@Parameter(names = "--restarts", description = "number of restarts, replacements and failures in the fleet per day")
	int restarts = 101;

	@Parameter(names = "--nodes", description = "number of nodes in the fleet")
	int nodes = 340;

	@Parameter(names = "--window-s", description = "repeat window of the service, in seconds")
	int windowSeconds = 60;

	@Parameter(names = "--seed", description = "seed for the schedule")
	long seed = 1;

}
