package org.catkingate.model.published;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.catkingate.model.Labels;
import org.catkingate.model.Selector;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;

/**
 * A rule that assigns requests to a service, versions and instances. Immutable and safe
 * for use by any thread.
 *
 * @param name the rule's name
 * @param accounts the labels of the client accounts to which it applies
 * @param call the calls to which it applies
 * @param service the service to which these calls are routed
 * @param version the version that must respond; null for plain services
 * @param alsoVersions other versions that may respond too, such as the previous one
 * during a rollout
 * @param instances the labels of the instances that may respond
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
	 * Creates a rule with a single version.
	 * @param name the rule's name
	 * @param accounts the labels of the client accounts to which it applies
	 * @param call the calls to which it applies
	 * @param service the service to which these calls are routed
	 * @param version the version that must respond; null for plain services
	 * @param instances the labels of the instances that may respond
	 */
	public RoutingRule(String name, Selector accounts, CallPattern call, ServiceName service, VersionId version,
			Selector instances) {
		this(name, accounts, call, service, version, Set.of(), instances);
	}

	/**
	 * Returns whether the rule applies to a call.
	 * @param account the labels of the client account
	 * @param method the HTTP method
	 * @param path the path without the query
	 * @return {@code true} if the account and the call match
	 */
	public boolean appliesTo(Labels account, String method, String path) {
		return this.accounts.matches(account) && this.call.matches(method, path);
	}

	/**
	 * Returns whether a runner that serves a version may respond to the calls of this
	 * rule.
	 * @param servedVersion the version that the runner serves; null for none
	 * @return {@code true} if the rule allows this version or requires none
	 */
	public boolean acceptsVersion(VersionId servedVersion) {
		return this.version == null || this.version.equals(servedVersion)
				|| (servedVersion != null && this.alsoVersions.contains(servedVersion));
	}

	/**
	 * Returns the version that must respond.
	 * @return the version, or empty for a plain service
	 */
	public Optional<VersionId> requiredVersion() {
		return Optional.ofNullable(this.version);
	}

}
