package org.catkingate.bench.weights;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Options of the weights benchmark. Not thread-safe.
 */
@Parameters(
		commandDescription = "measures the time, origin bytes and cost of a burst of fetches, compared to all agents fetching from the origin")
public final class WeightsBenchOptions {

	private static final int BYTES_PER_MEBIBYTE = 1024 * 1024;

	@Parameter(names = "--agents", description = "numbers of agents; one run for each")
	List<Integer> agents = List.of(4, 8, 16, 32);

	@Parameter(names = "--megabytes", description = "size of the version, in MiB")
	int megabytes = 32;

	@Parameter(names = "--chunk-kilobytes", description = "size of a chunk, in KiB")
	int chunkKilobytes = 256;

	@Parameter(names = "--link-megabytes-per-s",
			description = "rate of the link of an agent in each direction, in MiB/s")
	double linkMegabytesPerSecond = 8;

	@Parameter(names = "--origin-links",
			description = "rate of the link of the origin, as a multiple of the rate of an agent's link")
	double originLinks = 2;

	@Parameter(names = "--baseline", arity = 1,
			description = "whether to also measure all agents fetching from the origin")
	boolean baseline = true;

	@Parameter(names = "--lost-agents",
			description = "number of agents that are closed without notice one second after the start")
	int lostAgents;

	@Parameter(names = "--timeout-s", description = "maximum duration of one run, in seconds")
	int timeoutSeconds = 300;

	long versionBytes() {
		return (long) this.megabytes * BYTES_PER_MEBIBYTE;
	}

	int chunkBytes() {
		return this.chunkKilobytes * 1024;
	}

	long linkBytesPerSecond() {
		return (long) (this.linkMegabytesPerSecond * BYTES_PER_MEBIBYTE);
	}

	long originBytesPerSecond() {
		return (long) (this.originLinks * linkBytesPerSecond());
	}

}
