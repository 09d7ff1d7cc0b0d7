package org.catkingate.runtime.calls;

/**
 * How busy a runner says it is. Immutable.
 *
 * @param running how many requests it works on
 * @param waiting how many wait at it
 * @since 0.1
 */
public record RunnerLoad(int running, int waiting) {

}
