package org.catkingate.standins.weights;

import com.beust.jcommander.Parameter;

import org.catkingate.standins.StandInOptions;

/**
 * Options of an origin or a store, faults included. Each may change while it runs.
 */
final class WeightsOptions extends StandInOptions {

	@Parameter(names = "--bytes-per-s", description = "rate of the link, over all connections; 0 for no limit")
	volatile long bytesPerSecond;

	@Parameter(names = "--requests-per-s", description = "beyond this rate requests get 429; 0 for no limit")
	volatile long requestsPerSecond;

	@Parameter(names = "--refuse", arity = 1, description = "answer 429 to everything")
	volatile boolean refuse;

	@Parameter(names = "--retry-after-s", description = "what 429 gives as Retry-After")
	volatile int retryAfterSeconds = 1;

	@Parameter(names = "--corrupt-chunk", description = "flip a bit in the chunk of this index; -1 for none")
	volatile int corruptChunk = -1;

	@Parameter(names = "--corrupt-times", description = "in how many answers it is flipped; -1 for all")
	volatile int corruptTimes = -1;

	@Parameter(names = "--reset-after-bytes", description = "cut each answer after this many bytes; -1 for never")
	volatile long resetAfterBytes = -1;

	@Parameter(names = "--stall-after-bytes", description = "stop sending after this many bytes; -1 for never")
	volatile long stallAfterBytes = -1;

	@Parameter(names = "--delay-ms", description = "wait before each answer")
	volatile long delayMillis;

	@Parameter(names = "--down", arity = 1, description = "close connections without an answer")
	volatile boolean down;

	@Parameter(names = "--weights",
			description = "a version to hold from the start: MODEL/VERSION/SEED/BYTES/CHUNK-BYTES")
	volatile String weights;

}
