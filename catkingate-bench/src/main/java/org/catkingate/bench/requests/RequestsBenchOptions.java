package org.catkingate.bench.requests;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Options of the benchmark. Not safe for use by several threads.
 */
@Parameters(commandDescription = "latency, throughput, overload, abandonment and faults of live requests")
public final class RequestsBenchOptions {

	@Parameter(names = "--seconds", description = "length of each load")
	double seconds = 5;

	@Parameter(names = "--seed", description = "seed of all random choices")
	long seed = 1;

	@Parameter(names = "--attempts", description = "the most attempts at one request")
	int attempts = 3;

	@Parameter(names = "--only", description = "which parts to run")
	List<String> only = List.of("latency", "tokens", "overload", "abandonment", "retries", "faults");

}
