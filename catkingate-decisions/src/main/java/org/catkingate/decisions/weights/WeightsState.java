package org.catkingate.decisions.weights;

import java.util.Objects;

import org.catkingate.decisions.distribution.DistributionState;
import org.catkingate.decisions.runners.RunnersState;

/**
 * The state of the distribution of weights and of the runners on one agent. Immutable and
 * safe for use by any thread.
 *
 * @param distribution the state of the distribution of weights
 * @param runners the state of the runners
 * @since 0.1
 */
public record WeightsState(DistributionState distribution, RunnersState runners) {

	public WeightsState {
		Objects.requireNonNull(distribution, "distribution must not be null");
		Objects.requireNonNull(runners, "runners must not be null");
	}

}
