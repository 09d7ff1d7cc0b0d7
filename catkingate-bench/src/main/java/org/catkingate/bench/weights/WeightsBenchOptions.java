package org.catkingate.bench.weights;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Options of the benchmark. Not safe for use by several threads.
 */
@Parameters(
		commandDescription = "time, origin bytes and cost of a burst of weights, against everyone reading the origin")
public final class WeightsBenchOptions {

	private static final int MEGABYTE = 1024 * 1024;

	@Parameter(names = "--agents", description = "numbers of agents, one run for each")
	List<Integer> agents = List.of(4, 8, 16, 32);

	@Parameter(names = "--megabytes", description = "size of the version")
	int megabytes = 32;

	@Parameter(names = "--chunk-kilobytes", description = "size of a chunk")
	int chunkKilobytes = 256;

	@Parameter(names = "--link-megabytes-per-s", description = "rate of each agent's link, each way")
	double linkMegabytesPerSecond = 8;

	@Parameter(names = "--origin-links", description = "rate of the origin's link, in links of an agent")
	double originLinks = 2;

	@Parameter(names = "--baseline", arity = 1, description = "whether to measure everyone reading the origin too")
	boolean baseline = true;

	@Parameter(names = "--lost-agents", description = "how many agents end a second after the start, unannounced")
	int lostAgents;

	@Parameter(names = "--timeout-s", description = "longest time of one run")
	int timeoutSeconds = 300;

	long bytes() {
		return (long) this.megabytes * MEGABYTE;
	}

	int chunkBytes() {
		return this.chunkKilobytes * 1024;
	}

	long linkRate() {
		return (long) (this.linkMegabytesPerSecond * MEGABYTE);
	}

	long originRate() {
		return (long) (this.originLinks * linkRate());
	}

}
