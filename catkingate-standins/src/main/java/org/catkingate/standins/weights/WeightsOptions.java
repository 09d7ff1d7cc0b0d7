package org.catkingate.standins.weights;

import com.beust.jcommander.Parameter;

import org.catkingate.standins.StandInOptions;

/**
 * Options of an origin or a weight store, including injected faults. All may change at
 * run time.
 */
final class WeightsOptions extends StandInOptions {

	@Parameter(names = "--bytes-per-s", description = "rate of all connections together; 0 for no limit")
	volatile long bytesPerSecond;

	@Parameter(names = "--requests-per-s",
			description = "rate above which requests are rejected with 429; 0 for no limit")
	volatile long requestsPerSecond;

	@Parameter(names = "--refuse", arity = 1, description = "reject all requests with 429")
	volatile boolean refuse;

	@Parameter(names = "--retry-after-s", description = "value of Retry-After in 429 responses")
	volatile int retryAfterSeconds = 1;

	@Parameter(names = "--corrupt-chunk", description = "flip a bit in the chunk with this index; -1 for none")
	volatile int corruptChunk = -1;

	@Parameter(names = "--corrupt-times", description = "number of responses in which the bit is flipped; -1 for all")
	volatile int corruptTimes = -1;

	@Parameter(names = "--reset-after-bytes",
			description = "close the connection of each response after this many bytes; -1 for never")
	volatile long resetAfterBytes = -1;

	@Parameter(names = "--stall-after-bytes",
			description = "stop sending each response after this many bytes; -1 for never")
	volatile long stallAfterBytes = -1;

	@Parameter(names = "--delay-ms", description = "delay before each response")
	volatile long delayMillis;

	@Parameter(names = "--down", arity = 1, description = "close connections without a response")
	volatile boolean down;

	@Parameter(names = "--weights",
			description = "a version to serve from start-up: MODEL/VERSION/SEED/BYTES/CHUNK-BYTES")
	volatile String weights;

}
