package org.catkingate.runtime.calls;

/**
 * The load that a runner reports. Immutable.
 *
 * @param running the number of requests that it is running
 * @param waiting the number of requests in its queue
 * @since 0.1
 */
public record RunnerLoad(int running, int waiting) {

}
