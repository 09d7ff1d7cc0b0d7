package org.catkingate.standins.platform;

import com.beust.jcommander.Parameter;

import org.catkingate.standins.StandInOptions;

/**
 * Options of the platform, including injected faults. All may change at run time.
 */
final class PlatformOptions extends StandInOptions {

	@Parameter(names = "--serve-index", description = "serve the configuration as of this index; -1 for the latest")
	volatile long serveIndex = -1;

	@Parameter(names = "--down", arity = 1, description = "close connections without a response")
	volatile boolean down;

	@Parameter(names = "--delay-ms", description = "delay before each response")
	volatile long delayMillis;

	@Parameter(names = "--half-value", arity = 1,
			description = "respond with the first half of a value, as if it were complete")
	volatile boolean halfValue;

	@Parameter(names = "--cut-value", arity = 1, description = "close the connection after the first half of a value")
	volatile boolean cutValue;

	@Parameter(names = "--flap-ms", description = "alternate between up and down with this interval; 0 for always up")
	volatile long flapMillis;

	@Parameter(names = "--instances-lag-ms",
			description = "delay after which changes of the list of instances are served")
	volatile long instancesLagMillis;

	@Parameter(names = "--instances-down", arity = 1,
			description = "close connections to the list of instances without a response")
	volatile boolean instancesDown;

	boolean isDown(long nowMillis) {
		return this.down || (this.flapMillis > 0 && nowMillis / this.flapMillis % 2 == 1);
	}

}
