package org.catkingate.model.registry;

import java.util.Objects;
import java.util.Optional;

import org.catkingate.model.ServiceName;

/**
 * A service published in the registry. Immutable and safe for use by any thread.
 *
 * @param name the name
 * @param maxConnections the maximum number of connections that a runner accepts from all
 * callers together
 * @param engine the characteristics of its model engines; empty if it has none
 * @param coldStart how its runners behave after a start; empty if they tolerate any rate
 * of requests
 * @param origin the origin of weights; empty if the service is not an origin
 * @since 0.1
 */
public record RegisteredService(ServiceName name, int maxConnections, Optional<EngineProfile> engine,
		Optional<ColdStart> coldStart, Optional<WeightsOrigin> origin) {

	public RegisteredService {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(engine, "engine must not be null");
		Objects.requireNonNull(coldStart, "coldStart must not be null");
		Objects.requireNonNull(origin, "origin must not be null");
	}

}
