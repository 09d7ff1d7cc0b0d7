package org.catkingate.model.registry;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.catkingate.model.ServiceName;

/**
 * A configuration as it is written, before it is published. Unlike a
 * {@link ServingConfiguration} it keeps the order of entries, entries without effect and
 * errors. Immutable; the string form does not contain keys.
 *
 * @param version the version, empty if it cannot be read
 * @param routes the routes that can be read, in their order
 * @param services the services that can be read, in their order
 * @param accounts the accounts that can be read, in their order
 * @param servicesWithoutColdRate the services that state how long their runners are cold
 * and no rate of requests for them
 * @param errors what cannot be read
 * @since 0.1
 */
public record ConfigurationDraft(Optional<Long> version, List<Route> routes, List<RegisteredService> services,
		List<Account> accounts, Set<ServiceName> servicesWithoutColdRate, List<String> errors) {

	public ConfigurationDraft {
		Objects.requireNonNull(version, "version must not be null");
		routes = List.copyOf(routes);
		services = List.copyOf(services);
		accounts = List.copyOf(accounts);
		servicesWithoutColdRate = Set.copyOf(servicesWithoutColdRate);
		errors = List.copyOf(errors);
	}

	/**
	 * An account and its keys. Immutable.
	 *
	 * @param account the account
	 * @param keys its keys, in their order
	 */
	public record Account(RegisteredAccount account, List<String> keys) {

		public Account {
			Objects.requireNonNull(account, "account must not be null");
			keys = List.copyOf(keys);
		}

		@Override
		public String toString() {
			return "Account[account=" + this.account + ", keys=" + this.keys.size() + "]";
		}

	}

}
