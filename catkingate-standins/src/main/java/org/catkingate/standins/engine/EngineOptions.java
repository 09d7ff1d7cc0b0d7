package org.catkingate.standins.engine;

import com.beust.jcommander.Parameter;

import org.catkingate.standins.StandInOptions;

/**
 * Options of an engine, including injected faults. All may change at run time.
 */
final class EngineOptions extends StandInOptions {

	@Parameter(names = "--token-micros", description = "time to generate one token")
	volatile long tokenMicros = 5000;

	@Parameter(names = "--prefill-micros-per-character",
			description = "time to process each character of a prompt that is not cached")
	volatile long prefillMicrosPerCharacter;

	@Parameter(names = "--cached-prefixes",
			description = "number of prompt prefixes to cache; prompts with a cached prefix need no processing")
	volatile int cachedPrefixes = 64;

	@Parameter(names = "--concurrency", description = "number of requests that run concurrently")
	volatile int concurrency = 16;

	@Parameter(names = "--queue",
			description = "number of requests that may wait; further requests are rejected with 429")
	volatile int queue = 1000;

	@Parameter(names = "--checks-fencing", arity = 1, description = "reject load commands with an old fencing number")
	volatile boolean checksFencing = true;

	@Parameter(names = "--load-bytes-per-s", description = "rate at which weights are read; 0 for no limit")
	volatile long loadBytesPerSecond;

	@Parameter(names = "--load-lag-ms",
			description = "delay after which changes of the numbers of running and waiting requests are reported")
	volatile long loadLagMillis;

	@Parameter(names = "--initial-digest", description = "digest of the weights that are loaded at start-up")
	volatile String initialDigest;

	@Parameter(names = "--initial-model", description = "model of these weights")
	volatile String initialModel;

	@Parameter(names = "--initial-version", description = "version of these weights")
	volatile String initialVersion;

	@Parameter(names = "--die-after-tokens", description = "close the connection after this many tokens; 0 for never")
	volatile int dieAfterTokens;

	@Parameter(names = "--down", arity = 1, description = "close connections without a response")
	volatile boolean down;

}
