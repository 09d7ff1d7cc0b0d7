package org.catkingate.decisions.weights;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.catkingate.decisions.Event;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.RunnerId;

/**
 * An event that concerns both the distribution of weights and the runners.
 *
 * @since 0.1
 */
public sealed interface WeightsEvent extends Event {

	/**
	 * A periodic tick, by which timeouts are detected.
	 *
	 * @param inProgress the requests in progress on each runner
	 * @param closed the runners whose gates are closed
	 */
	record Ticked(Map<RunnerId, Integer> inProgress, Set<RunnerId> closed) implements WeightsEvent {

		public Ticked {
			inProgress = Map.copyOf(inProgress);
			closed = Set.copyOf(closed);
		}

	}

	/**
	 * A change of the configuration or the fleet.
	 *
	 * @param fleet the current configuration and fleet
	 */
	record FleetChanged(FleetSnapshot fleet) implements WeightsEvent {

		public FleetChanged {
			Objects.requireNonNull(fleet, "fleet must not be null");
		}

	}

}
