package org.catkingate.model.registry;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.catkingate.model.AccountName;
import org.catkingate.model.ServiceName;

/**
 * A configuration as the operators publish it in a registry, whole. Immutable and safe
 * for use by any thread; its text form does not show the keys.
 *
 * @param version its version, which grows in uneven steps
 * @param routes where calls go
 * @param services the services by name
 * @param accounts the client account of each key
 * @param limits what callers may send
 * @since 0.1
 */
public record ServingConfiguration(long version, RouteTable routes, Map<ServiceName, RegisteredService> services,
		Map<String, AccountName> accounts, CallerLimits limits) {

	public ServingConfiguration {
		Objects.requireNonNull(routes, "routes must not be null");
		Objects.requireNonNull(limits, "limits must not be null");
		services = Map.copyOf(services);
		accounts = Map.copyOf(accounts);
	}

	/**
	 * Finds where weights can be read.
	 * @return the origin, empty if none is published
	 */
	public Optional<WeightsOrigin> origin() {
		return this.services.values().stream().flatMap((service) -> service.origin().stream()).findFirst();
	}

	/**
	 * Finds the engines of a service.
	 * @param service the service
	 * @return the engines, empty if it is unknown or has none
	 */
	public Optional<Engine> engine(ServiceName service) {
		return Optional.ofNullable(this.services.get(service)).flatMap(RegisteredService::engine);
	}

	@Override
	public String toString() {
		return "ServingConfiguration[version=" + this.version + ", routes=" + this.routes.size() + ", services="
				+ this.services.size() + "]";
	}

}
