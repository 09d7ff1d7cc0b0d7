package org.catkingate.gateway;

import java.util.Optional;

import org.catkingate.decisions.registry.RegistryView;
import org.catkingate.model.registry.ServingConfiguration;
import org.catkingate.runtime.registry.RegistryFollower;

/**
 * Read access to this process's copy of the registry and its age. Safe for use by any
 * thread.
 */
final class RegistryCopy {

	private final RegistryFollower follower;

	private final long maxAgeForKeysMillis;

	/**
	 * Creates the access to the copy that a follower maintains.
	 * @param follower follows the registry
	 * @param maxAgeForKeysMillis the maximum age of the copy at which keys are accepted,
	 * in milliseconds
	 */
	RegistryCopy(RegistryFollower follower, long maxAgeForKeysMillis) {
		this.follower = follower;
		this.maxAgeForKeysMillis = maxAgeForKeysMillis;
	}

	RegistryView view() {
		return this.follower.view();
	}

	Optional<ServingConfiguration> configuration() {
		return view().configuration();
	}

	boolean canAcceptKeys() {
		return this.follower.ageMillis() <= this.maxAgeForKeysMillis;
	}

	AdmittedRequest.DecisionBasis basis() {
		return new AdmittedRequest.DecisionBasis(configuration().map(ServingConfiguration::version).orElse(0L),
				Math.min(Integer.MAX_VALUE, this.follower.ageMillis()));
	}

}
