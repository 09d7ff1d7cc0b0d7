package org.catkingate.model.published;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.catkingate.model.Labels;
import org.catkingate.model.Selector;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;

/**
 * Says which requests go to which service, version and instances. Immutable and safe for
 * use by any thread.
 *
 * @param name the rule's name
 * @param accounts the client accounts that it applies to, by their labels
 * @param call the calls that it applies to
 * @param service where they go
 * @param version the version that must answer them; null for plain services
 * @param alsoVersions other versions that may answer them too, such as the former one
 * while a new one spreads
 * @param instances the instances that may answer them, by their labels
 * @since 0.1
 */
public record RoutingRule(String name, Selector accounts, CallPattern call, ServiceName service, VersionId version,
		Set<VersionId> alsoVersions, Selector instances) {

	public RoutingRule {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(accounts, "accounts must not be null");
		Objects.requireNonNull(call, "call must not be null");
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(instances, "instances must not be null");
		alsoVersions = Set.copyOf(alsoVersions);
	}

	/**
	 * Makes a rule that one version alone answers.
	 * @param name the rule's name
	 * @param accounts the client accounts that it applies to, by their labels
	 * @param call the calls that it applies to
	 * @param service where they go
	 * @param version the version that must answer them; null for plain services
	 * @param instances the instances that may answer them, by their labels
	 */
	public RoutingRule(String name, Selector accounts, CallPattern call, ServiceName service, VersionId version,
			Selector instances) {
		this(name, accounts, call, service, version, Set.of(), instances);
	}

	/**
	 * Tells whether the rule applies.
	 * @param account the labels of the client account
	 * @param method the HTTP method
	 * @param path the path without query
	 * @return whether both selectors match
	 */
	public boolean applies(Labels account, String method, String path) {
		return this.accounts.matches(account) && this.call.matches(method, path);
	}

	/**
	 * Tells whether a runner may answer.
	 * @param held the version that it serves; null for none
	 * @return whether it is one that the rule names, or the rule names none
	 */
	public boolean mayBeAnsweredBy(VersionId held) {
		return this.version == null || this.version.equals(held) || (held != null && this.alsoVersions.contains(held));
	}

	/**
	 * Returns the wanted version.
	 * @return the version, or empty for a plain service
	 */
	public Optional<VersionId> wantedVersion() {
		return Optional.ofNullable(this.version);
	}

}
