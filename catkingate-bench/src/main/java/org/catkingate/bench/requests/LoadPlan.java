package org.catkingate.bench.requests;

/**
 * The parameters of a load. Immutable.
 *
 * @param seed the seed for all random choices
 * @param callsPerSecond the number of calls started per second
 * @param seconds the duration of the load
 * @param tokens the number of tokens that each call requests
 * @param timeoutMillis the timeout of each call, in milliseconds
 * @param abandonPercent the percentage of calls that the client abandons
 * @param abandonWithinMillis the latest time at which these calls are abandoned, in
 * milliseconds after their start
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
