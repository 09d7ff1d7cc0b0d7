package org.catkingate.model.registry;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.catkingate.model.ServiceName;

/**
 * A complete configuration that operators publish in the registry. Immutable and safe for
 * use by any thread. The text form does not contain the keys of client accounts.
 *
 * @param version its version, which increases but not necessarily by one
 * @param routes the routes of calls
 * @param services the services by name
 * @param accounts the client accounts by key
 * @param limits the limits on callers
 * @since 0.1
 */
public record ServingConfiguration(long version, RouteTable routes, Map<ServiceName, RegisteredService> services,
		Map<String, RegisteredAccount> accounts, CallerLimits limits) {

	public ServingConfiguration {
		Objects.requireNonNull(routes, "routes must not be null");
		Objects.requireNonNull(limits, "limits must not be null");
		services = Map.copyOf(services);
		accounts = Map.copyOf(accounts);
	}

	/**
	 * Returns the origin of weights.
	 * @return the origin, or empty if none is published
	 */
	public Optional<WeightsOrigin> origin() {
		return this.services.values().stream().flatMap((service) -> service.origin().stream()).findFirst();
	}

	/**
	 * Returns the characteristics of the model engines of a service.
	 * @param service the service
	 * @return the characteristics, or empty if the service is unknown or has no engines
	 */
	public Optional<EngineProfile> engine(ServiceName service) {
		return Optional.ofNullable(this.services.get(service)).flatMap(RegisteredService::engine);
	}

	/**
	 * Returns the behaviour of the runners of a service after a start.
	 * @param service the service
	 * @return the behaviour, or empty if the service is unknown or its runners tolerate
	 * any rate of requests
	 */
	public Optional<ColdStart> coldStart(ServiceName service) {
		return Optional.ofNullable(this.services.get(service)).flatMap(RegisteredService::coldStart);
	}

	@Override
	public String toString() {
		return "ServingConfiguration[version=" + this.version + ", routes=" + this.routes.size() + ", services="
				+ this.services.size() + "]";
	}

}
