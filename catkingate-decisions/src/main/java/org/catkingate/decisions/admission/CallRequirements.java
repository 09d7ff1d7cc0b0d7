package org.catkingate.decisions.admission;

/**
 * The requirements of a call. Immutable.
 *
 * @param promptTokens the length of the prompt, in tokens
 * @param goalMillis the time within which the response must start to have its full value,
 * in milliseconds
 * @param remainingMillis the time left until the deadline, in milliseconds
 * @param correctionFactor the recent ratio of observed to predicted time to the first
 * event, see {@link PredictionCorrection}
 * @since 0.1
 */
public record CallRequirements(long promptTokens, long goalMillis, long remainingMillis, double correctionFactor) {

	/**
	 * The part of its goal that a call may use that has waited for runners to load. Its
	 * response is late already, so it leaves the rest to calls that can still be in time.
	 */
	private static final double GOAL_FRACTION_AFTER_WAITING = 0.5;

	/**
	 * Returns the requirements of this call after it has waited for runners to load.
	 * @return the requirements, with a lower goal
	 */
	public CallRequirements afterWaiting() {
		return new CallRequirements(this.promptTokens, (long) (GOAL_FRACTION_AFTER_WAITING * this.goalMillis),
				this.remainingMillis, this.correctionFactor);
	}

}
