package org.catkingate.decisions.admission;

/**
 * Whether one start of a runner takes new requests, as it has stated itself in its
 * responses. Once it leaves, it takes none for as long as it runs. A pause that it asked
 * for is never shortened. Immutable.
 *
 * @param leaving whether the runner has stated that it leaves
 * @param pausedUntilMillis the time before which it takes no requests, in monotonic
 * milliseconds; {@link Long#MIN_VALUE} if it has never asked for a pause
 * @since 0.1
 */
public record RunnerIntake(boolean leaving, long pausedUntilMillis) {

	/**
	 * The longest pause that a runner is granted, in milliseconds, so that a wrong value
	 * does not take it out of service for good.
	 */
	public static final long MAX_PAUSE_MILLIS = 300_000;

	private static final RunnerIntake OPEN = new RunnerIntake(false, Long.MIN_VALUE);

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
		return new RunnerIntake(true, this.pausedUntilMillis);
	}

	/**
	 * Returns the intake after the runner has asked for a pause.
	 * @param pauseMillis the pause, in milliseconds; longer ones than the maximum are
	 * shortened to it, and 0 or less is no pause
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the intake, never null
	 */
	public RunnerIntake withPause(long pauseMillis, long nowMillis) {
		long untilMillis = nowMillis + Math.min(pauseMillis, MAX_PAUSE_MILLIS);
		return (pauseMillis > 0 && untilMillis > this.pausedUntilMillis) ? new RunnerIntake(this.leaving, untilMillis)
				: this;
	}

	/**
	 * Returns whether a request may be sent to the runner.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return whether it neither leaves nor has asked for a pause that is not over
	 */
	public boolean accepts(long nowMillis) {
		return !this.leaving && nowMillis >= this.pausedUntilMillis;
	}

	/**
	 * Returns the rest of the pause that the runner has asked for.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the time in milliseconds, 0 if it has not asked for one or it is over
	 */
	public long pauseLeftMillis(long nowMillis) {
		return (nowMillis < this.pausedUntilMillis) ? this.pausedUntilMillis - nowMillis : 0;
	}

}
