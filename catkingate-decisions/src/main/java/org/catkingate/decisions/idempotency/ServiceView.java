package org.catkingate.decisions.idempotency;

import java.util.Objects;

import org.catkingate.model.ServiceName;

/**
 * What an agent sees now of one service that it has runners of. Immutable and safe for
 * use by any thread.
 *
 * @param service the service
 * @param repeatWindowMillis how long callers repeat a call, in milliseconds
 * @param ownRunners how many runners of the service the agent has
 * @param view the agents of the service
 * @since 0.1
 */
public record ServiceView(ServiceName service, long repeatWindowMillis, int ownRunners, HomeView view) {

	public ServiceView {
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(view, "view must not be null");
	}

}
