package org.catkingate.decisions.admission;

import java.util.Objects;

import org.catkingate.decisions.competition.CompetingLevels;

/**
 * The requirements of a call. Immutable.
 *
 * @param promptTokens the length of the prompt, in tokens
 * @param goalMillis the time within which the response must start to have its full value,
 * in milliseconds
 * @param remainingMillis the time left until the deadline, in milliseconds
 * @param correctionFactor the recent ratio of observed to predicted time to the first
 * event, see {@link PredictionCorrection}
 * @param elapsedMillis the time since the arrival of the call, in milliseconds
 * @param patienceMillis the time left until the caller abandons the call if no response
 * has begun, in milliseconds; {@link Long#MAX_VALUE} if it waits until the deadline
 * @param competition the urgency levels that it competes with
 * @since 0.1
 */
public record CallRequirements(long promptTokens, long goalMillis, long remainingMillis, double correctionFactor,
		long elapsedMillis, long patienceMillis, CompetingLevels competition) {

	/**
	 * The part of its goal that a call may use that will be late after waiting, at a
	 * service with one urgency level. Its response is late already, so it leaves the rest
	 * to calls that can still be in time.
	 */
	private static final double GOAL_FRACTION_AFTER_WAITING = 0.5;

	public CallRequirements {
		Objects.requireNonNull(competition, "competition must not be null");
	}

	/**
	 * Creates the requirements of a call that has just arrived at a service with a single
	 * urgency level.
	 * @param promptTokens the length of the prompt, in tokens
	 * @param goalMillis the time within which the response must start, in milliseconds
	 * @param remainingMillis the time left until the deadline, in milliseconds
	 * @param correctionFactor the recent ratio of observed to predicted time
	 */
	public CallRequirements(long promptTokens, long goalMillis, long remainingMillis, double correctionFactor) {
		this(promptTokens, goalMillis, remainingMillis, correctionFactor, 0, Long.MAX_VALUE, CompetingLevels.none());
	}

	/**
	 * Returns the requirements of this call after it has waited so long that its response
	 * will be late. It is sent only into capacity that other calls leave free.
	 * @return the requirements, with a lower limit of the queue
	 */
	public CallRequirements afterWaiting() {
		long lowerGoalMillis = this.competition.exist() ? this.goalMillis
				: (long) (GOAL_FRACTION_AFTER_WAITING * this.goalMillis);
		return new CallRequirements(this.promptTokens, lowerGoalMillis, this.remainingMillis, this.correctionFactor,
				this.elapsedMillis, this.patienceMillis, this.competition.as(CompetingLevels.Standing.LATE));
	}

}
