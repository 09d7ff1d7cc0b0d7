package org.catkingate.model.registry;

import java.util.Objects;
import java.util.Optional;

import org.catkingate.model.ServiceName;

/**
 * One service, as published. Immutable and safe for use by any thread.
 *
 * @param name the name
 * @param maximumConnections how many connections one runner takes from all callers
 * @param engine the engines of the service, empty if it has none
 * @param origin where weights can be read, empty if the service is no origin
 * @since 0.1
 */
public record RegisteredService(ServiceName name, int maximumConnections, Optional<Engine> engine,
		Optional<WeightsOrigin> origin) {

	public RegisteredService {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(engine, "engine must not be null");
		Objects.requireNonNull(origin, "origin must not be null");
	}

}
