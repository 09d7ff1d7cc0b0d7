package org.catkingate.standins.plain;

import com.beust.jcommander.Parameter;

import org.catkingate.standins.StandInOptions;

/**
 * Options of a plain service, including injected faults. All may change at run time.
 */
final class PlainOptions extends StandInOptions {

	@Parameter(names = "--delay-ms", description = "duration of a call")
	volatile long delayMillis;

	@Parameter(names = "--down", arity = 1, description = "close connections without a response")
	volatile boolean down;

	@Parameter(names = "--die-after-run", arity = 1,
			description = "run the call, then close its connection without a response")
	volatile boolean dieAfterRun;

	@Parameter(names = "--answer-bytes", description = "minimum size to which responses are padded")
	volatile int minResponseBytes;

}
