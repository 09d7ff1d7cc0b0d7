package org.catkingate.model.published;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.catkingate.model.AccountName;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.RegionName;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;

/**
 * A complete and consistent configuration: every name referred to in it is defined.
 * Immutable and safe for use by any thread.
 *
 * @param version its version
 * @param dataCentres the region of each data centre
 * @param services the services by name
 * @param groups the groups of instances, by name
 * @param versions the versions of models and adapters
 * @param accounts the client accounts by name
 * @param rules the routing rules, in the order in which they are evaluated
 * @since 0.1
 */
public record PublishedConfiguration(ConfigurationVersion version, Map<DataCentreName, RegionName> dataCentres,
		Map<ServiceName, Service> services, Map<String, InstanceGroup> groups, Map<VersionId, WeightsVersion> versions,
		Map<AccountName, ClientAccount> accounts, List<RoutingRule> rules) {

	private static final PublishedConfiguration EMPTY = new PublishedConfiguration(ConfigurationVersion.none(),
			Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), List.of());

	public PublishedConfiguration {
		Objects.requireNonNull(version, "version must not be null");
		dataCentres = Map.copyOf(dataCentres);
		services = Map.copyOf(services);
		groups = Map.copyOf(groups);
		versions = Map.copyOf(versions);
		accounts = Map.copyOf(accounts);
		rules = List.copyOf(rules);
	}

	/**
	 * Returns the configuration that applies before any has been published.
	 * @return the empty configuration, never null
	 */
	public static PublishedConfiguration empty() {
		return EMPTY;
	}

	/**
	 * Returns a service.
	 * @param name the service's name
	 * @return the service, or empty if it is not defined
	 */
	public Optional<Service> service(ServiceName name) {
		return Optional.ofNullable(this.services.get(name));
	}

}
