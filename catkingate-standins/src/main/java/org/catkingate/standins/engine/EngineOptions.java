package org.catkingate.standins.engine;

import com.beust.jcommander.Parameter;

import org.catkingate.standins.StandInOptions;

/**
 * Options of an engine. Each may change while it runs.
 */
final class EngineOptions extends StandInOptions {

	@Parameter(names = "--token-micros", description = "time that one token takes")
	volatile long tokenMicros = 5000;

	@Parameter(names = "--prefill-micros-per-character", description = "time that reading a prompt takes")
	volatile long prefillMicrosPerCharacter;

	@Parameter(names = "--cached-prefixes", description = "how many prompt prefixes are kept, which need no reading")
	volatile int cachedPrefixes = 64;

	@Parameter(names = "--concurrency", description = "how many requests run at a time")
	volatile int concurrency = 16;

	@Parameter(names = "--queue", description = "how many more wait; beyond them requests get 429")
	volatile int queue = 1000;

	@Parameter(names = "--checks-fencing", arity = 1, description = "refuse orders with an old fencing number")
	volatile boolean checksFencing = true;

	@Parameter(names = "--load-bytes-per-s", description = "how fast weights are read; 0 for no limit")
	volatile long loadBytesPerSecond;

	@Parameter(names = "--load-lag-ms", description = "report load this late")
	volatile long loadLagMillis;

	@Parameter(names = "--initial-digest", description = "digest of the weights held at the start")
	volatile String initialDigest;

	@Parameter(names = "--initial-model", description = "their model")
	volatile String initialModel;

	@Parameter(names = "--initial-version", description = "their version")
	volatile String initialVersion;

	@Parameter(names = "--die-after-tokens", description = "close a stream after this many tokens; 0 for never")
	volatile int dieAfterTokens;

	@Parameter(names = "--down", arity = 1, description = "close connections without an answer")
	volatile boolean down;

}
