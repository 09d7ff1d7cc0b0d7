package org.catkingate.decisions.runners;

/**
 * Fencing numbers without shared state: the configuration's revision first, so that no
 * order of an older configuration overrides one of a newer; then the start of the agent,
 * so that a replacement overrides the agent that it replaces. Stateless and safe for use
 * by any thread.
 *
 * @since 0.1
 */
public final class Fencing {

	private static final int START_BITS = 32;

	private static final long START_MASK = (1L << START_BITS) - 1;

	private Fencing() {
	}

	/**
	 * Makes a fencing number.
	 * @param revision the revision of the configuration that the order follows from
	 * @param startedAtEpochSeconds when the agent was started, in seconds
	 * @return the number
	 */
	public static long number(long revision, long startedAtEpochSeconds) {
		return (revision << START_BITS) | (startedAtEpochSeconds & START_MASK);
	}

}
