package org.catkingate.decisions.cost;

import java.util.Objects;

/**
 * The expected cost of one call, and of those that this process does not know. Immutable.
 *
 * @param length the estimated length of its response
 * @param typicalLength the mean length of the responses of its service
 * @param typicalRemaining the mean length that is left of a response of its service that
 * is in progress
 * @since 0.1
 */
public record CallCost(LengthEstimate length, double typicalLength, double typicalRemaining) {

	public CallCost {
		Objects.requireNonNull(length, "length must not be null");
	}

}
