package org.catkingate.decisions.cost;

/**
 * What is left to generate at a runner, and how slow it works. Immutable.
 *
 * @param responseLength the expected length that is left of all responses that were
 * requested from it, in tokens, or in milliseconds for a runner without an engine
 * @param slowdown how long its work is expected to take in proportion to the usual time
 * @param slowdownSpread the standard deviation of that proportion
 * @param reportAgeMillis the age of the newest report of the runner's load, in
 * milliseconds; {@link Long#MAX_VALUE} if there is no valid one
 * @since 0.1
 */
public record RunnerBacklog(double responseLength, double slowdown, double slowdownSpread, long reportAgeMillis) {

}
