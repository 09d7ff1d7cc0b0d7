package org.catkingate.standins.proxy;

import com.beust.jcommander.Parameter;

import org.catkingate.standins.StandInOptions;

/**
 * Options of a proxy. Each but the addresses may change while it runs, for the
 * connections that are open too.
 */
final class ProxyOptions extends StandInOptions {

	@Parameter(names = "--target", description = "IP:PORT to connect to")
	volatile String target;

	@Parameter(names = "--control", description = "IP:PORT of the control API")
	volatile String control = "127.0.0.1:0";

	@Parameter(names = "--delay-ms", description = "delay each way")
	volatile long delayMillis;

	@Parameter(names = "--jitter-ms", description = "at most so much more delay, drawn anew for each piece")
	volatile long jitterMillis;

	@Parameter(names = "--bytes-per-s", description = "rate each way, over all connections; 0 for no limit")
	volatile long bytesPerSecond;

	@Parameter(names = "--loss-percent", description = "share of pieces that are lost and sent again")
	volatile double lossPercent;

	@Parameter(names = "--retransmit-ms", description = "how long a lost piece stalls what follows it")
	volatile long retransmitMillis = 200;

	@Parameter(names = "--corrupt-percent", description = "share of pieces in which a byte is changed")
	volatile double corruptPercent;

	@Parameter(names = "--hold", arity = 1,
			description = "hold back everything, and deliver it late once this is false")
	volatile boolean hold;

	@Parameter(names = "--blackhole", arity = 1,
			description = "swallow everything, on new connections too; those open meanwhile stay silent")
	volatile boolean blackhole;

	@Parameter(names = "--refuse", arity = 1, description = "close new connections at once")
	volatile boolean refuse;

	@Parameter(names = "--seed", description = "seed of loss, jitter and corruption")
	volatile long seed = 1;

}
