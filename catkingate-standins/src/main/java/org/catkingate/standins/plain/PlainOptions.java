package org.catkingate.standins.plain;

import com.beust.jcommander.Parameter;

import org.catkingate.standins.StandInOptions;

/**
 * Options of a plain service. Each may change while it runs.
 */
final class PlainOptions extends StandInOptions {

	@Parameter(names = "--delay-ms", description = "time that a call takes")
	volatile long delayMillis;

	@Parameter(names = "--down", arity = 1, description = "close connections without an answer")
	volatile boolean down;

	@Parameter(names = "--die-after-run", arity = 1, description = "run a call, then close without an answer")
	volatile boolean dieAfterRun;

	@Parameter(names = "--answer-bytes", description = "pad answers to this size")
	volatile int answerBytes;

}
