package org.catkingate.bench.keys;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * What to count. Filled by the command line.
 *
 * @since 0.1
 */
@Parameters(commandDescription = "share of purchases refused since nobody can vouch for their keys")
public final class KeysBenchOptions {

	@Parameter(names = "--agents", description = "agents of the service, with one runner each")
	int agents = 3;

	@Parameter(names = "--days", description = "days of the schedule")
	int days = 20;

	@Parameter(names = "--restarts", description = "restarts, replacements and failures a day in the fleet")
	int restarts = 101;

	@Parameter(names = "--nodes", description = "nodes of the fleet")
	int nodes = 340;

	@Parameter(names = "--window-s", description = "repeat window of the service")
	int windowSeconds = 60;

	@Parameter(names = "--seed", description = "seed of the schedule")
	long seed = 1;

}
