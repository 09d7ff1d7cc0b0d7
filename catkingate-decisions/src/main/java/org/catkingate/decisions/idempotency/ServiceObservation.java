package org.catkingate.decisions.idempotency;

import java.util.Objects;

import org.catkingate.model.ServiceName;

/**
 * What an agent currently observes of one service for which it has runners. Immutable and
 * safe for use by any thread.
 *
 * @param service the service
 * @param repeatWindowMillis how long callers may repeat a call, in milliseconds
 * @param ownRunners the number of runners of the service on the agent
 * @param view the agents of the service
 * @since 0.1
 */
public record ServiceObservation(ServiceName service, long repeatWindowMillis, int ownRunners, HomeView view) {

	public ServiceObservation {
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(view, "view must not be null");
	}

}
