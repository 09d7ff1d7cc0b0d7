package org.catkingate.standins.platform;

import com.beust.jcommander.Parameter;

import org.catkingate.standins.StandInOptions;

/**
 * Options of the platform, faults included. Each may change while it runs.
 */
final class PlatformOptions extends StandInOptions {

	@Parameter(names = "--serve-index", description = "serve the configuration as of this index; -1 for the newest")
	volatile long serveIndex = -1;

	@Parameter(names = "--down", arity = 1, description = "close connections without an answer")
	volatile boolean down;

	@Parameter(names = "--delay-ms", description = "wait before each answer")
	volatile long delayMillis;

	@Parameter(names = "--half-value", arity = 1, description = "answer with the first half of a value")
	volatile boolean halfValue;

	@Parameter(names = "--cut-value", arity = 1, description = "close the connection in mid-value")
	volatile boolean cutValue;

	@Parameter(names = "--flap-ms", description = "be down and up in turn for this long; 0 for never")
	volatile long flapMillis;

	@Parameter(names = "--instances-lag-ms", description = "show changes of the list of instances this late")
	volatile long instancesLagMillis;

	@Parameter(names = "--instances-down", arity = 1, description = "let the list of instances alone be down")
	volatile boolean instancesDown;

	boolean isDown(long nowMillis) {
		return this.down || (this.flapMillis > 0 && nowMillis / this.flapMillis % 2 == 1);
	}

}
