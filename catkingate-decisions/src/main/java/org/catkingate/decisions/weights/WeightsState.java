package org.catkingate.decisions.weights;

import java.util.Objects;

import org.catkingate.decisions.distribution.DistributionState;
import org.catkingate.decisions.runners.RunnersState;

/**
 * What one agent knows of weights. Immutable and safe for use by any thread.
 *
 * @param distribution the distribution of weights
 * @param runners the runners
 * @since 0.1
 */
public record WeightsState(DistributionState distribution, RunnersState runners) {

	public WeightsState {
		Objects.requireNonNull(distribution, "distribution must not be null");
		Objects.requireNonNull(runners, "runners must not be null");
	}

}
