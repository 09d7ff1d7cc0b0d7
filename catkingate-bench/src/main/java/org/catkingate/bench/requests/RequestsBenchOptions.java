package org.catkingate.bench.requests;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Options of the requests benchmark. Not thread-safe.
 */
@Parameters(commandDescription = "measures latency, throughput, overload, abandonment, retries and faults of requests")
public final class RequestsBenchOptions {

	@Parameter(names = "--seconds", description = "duration of each load, in seconds")
	double seconds = 5;

	@Parameter(names = "--seed", description = "seed for all random choices")
	long seed = 1;

	@Parameter(names = "--attempts", description = "maximum number of attempts per request")
	int attempts = 3;

	@Parameter(names = "--only", description = "parts to run")
	List<String> only = List.of("latency", "tokens", "overload", "abandonment", "retries", "faults");

}
