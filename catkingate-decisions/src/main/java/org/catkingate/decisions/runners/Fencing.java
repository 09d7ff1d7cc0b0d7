package org.catkingate.decisions.runners;

/**
 * The computation of fencing numbers without shared state. The revision of the
 * configuration forms the high bits, so that no command of an older configuration
 * overrides one of a newer configuration. The start time of the agent forms the low bits,
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
	 * Returns the fencing number for a command.
	 * @param revision the revision of the configuration that the command results from
	 * @param startedAtEpochSeconds when the agent was started, in seconds
	 * @return the number
	 */
	public static long number(long revision, long startedAtEpochSeconds) {
		return (revision << START_BITS) | (startedAtEpochSeconds & START_MASK);
	}

}
