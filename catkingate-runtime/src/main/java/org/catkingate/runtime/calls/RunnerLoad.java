package org.catkingate.runtime.calls;

import java.util.OptionalDouble;

/**
 * The load that a runner reports. Immutable.
 *
 * @param running the number of requests that it is running
 * @param waiting the number of requests in its queue
 * @param slowdown how long work takes on the runner's machine at this moment compared
 * with the usual time; 1 is as usual; empty if it is not reported
 * @since 0.1
 */
public record RunnerLoad(int running, int waiting, OptionalDouble slowdown) {

}
