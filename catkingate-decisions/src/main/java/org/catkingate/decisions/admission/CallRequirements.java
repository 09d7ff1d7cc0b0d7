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

}
