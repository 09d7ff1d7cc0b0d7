package org.catkingate.decisions.admission;

/**
 * Whether one start of a runner takes new requests, as it has stated itself in its
 * responses. Once it leaves, it takes none for as long as it runs. Immutable.
 *
 * @param leaving whether the runner has stated that it leaves
 * @since 0.1
 */
public record RunnerIntake(boolean leaving) {

	private static final RunnerIntake OPEN = new RunnerIntake(false);

	/**
	 * Returns the intake of a runner that has not stated anything.
	 * @return the intake, never null
	 */
	public static RunnerIntake open() {
		return OPEN;
	}

	/**
	 * Returns the intake after the runner has stated that it leaves.
	 * @return the intake, never null
	 */
	public RunnerIntake withLeaving() {
		return new RunnerIntake(true);
	}

}
