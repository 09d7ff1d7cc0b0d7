package org.catkingate.bench.requests;

/**
 * What a load calls for. Immutable.
 *
 * @param seed the seed of all random choices
 * @param callsPerSecond how many calls begin a second
 * @param seconds for how long
 * @param tokens how many tokens each call asks for
 * @param timeoutMillis the deadline of each call, in milliseconds
 * @param abandonPercent how many of 100 callers leave before the end
 * @param abandonWithinMillis when they leave at the latest, in milliseconds
 */
record LoadPlan(long seed, double callsPerSecond, double seconds, int tokens, long timeoutMillis, int abandonPercent,
		long abandonWithinMillis) {

	static LoadPlan steady(long seed, double callsPerSecond, double seconds, int tokens, long timeoutMillis) {
		return new LoadPlan(seed, callsPerSecond, seconds, tokens, timeoutMillis, 0, 1);
	}

	LoadPlan withAbandonment(int percent, long withinMillis) {
		return new LoadPlan(this.seed, this.callsPerSecond, this.seconds, this.tokens, this.timeoutMillis, percent,
				withinMillis);
	}

}
