package org.catkingate.standins.proxy;

import com.beust.jcommander.Parameter;

import org.catkingate.standins.StandInOptions;

/**
 * Options of a proxy. All except the listen addresses may change at run time. Changes
 * also apply to open connections, except those of {@code --target} and {@code --refuse},
 * which apply to new ones only.
 */
final class ProxyOptions extends StandInOptions {

	@Parameter(names = "--target", description = "IP:PORT to connect to")
	volatile String target;

	@Parameter(names = "--control", description = "IP:PORT of the control API")
	volatile String control = "127.0.0.1:0";

	@Parameter(names = "--delay-ms", description = "delay in each direction")
	volatile long delayMillis;

	@Parameter(names = "--jitter-ms", description = "maximum additional delay, drawn at random for each segment")
	volatile long jitterMillis;

	@Parameter(names = "--bytes-per-s",
			description = "rate in each direction of all connections together; 0 for no limit")
	volatile long bytesPerSecond;

	@Parameter(names = "--loss-percent", description = "percentage of segments that are lost and retransmitted")
	volatile double lossPercent;

	@Parameter(names = "--retransmit-ms",
			description = "additional delay of a lost segment, which also stalls later ones")
	volatile long retransmitMillis = 200;

	@Parameter(names = "--corrupt-percent", description = "percentage of segments in which one bit is flipped")
	volatile double corruptPercent;

	@Parameter(names = "--hold", arity = 1,
			description = "hold back all bytes and deliver them when this is set to false")
	volatile boolean hold;

	@Parameter(names = "--blackhole", arity = 1,
			description = "discard all bytes, also of new connections; connections open meanwhile stay silent")
	volatile boolean blackhole;

	@Parameter(names = "--discard-responses", arity = 1,
			description = "discard the bytes from the target, also of new connections; those of the caller arrive")
	volatile boolean discardResponses;

	@Parameter(names = "--refuse", arity = 1, description = "reset new connections immediately")
	volatile boolean refuse;

	@Parameter(names = "--seed", description = "seed for loss, jitter and corruption")
	volatile long seed = 1;

}
