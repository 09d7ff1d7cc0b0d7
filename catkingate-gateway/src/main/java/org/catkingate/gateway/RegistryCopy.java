package org.catkingate.gateway;

import java.util.Optional;

import org.catkingate.decisions.registry.RegistryView;
import org.catkingate.model.registry.ServingConfiguration;
import org.catkingate.runtime.registry.RegistryFollower;

/**
 * What decisions about requests may rest on, and how old it is. Safe for use by any
 * thread.
 */
final class RegistryCopy {

	private final RegistryFollower follower;

	private final long maxKeyAgeMillis;

	/**
	 * Reads what is believed.
	 * @param follower follows the registry
	 * @param certainMillis how old it may be for keys to be accepted, in milliseconds
	 */
	RegistryCopy(RegistryFollower follower, long certainMillis) {
		this.follower = follower;
		this.maxKeyAgeMillis = certainMillis;
	}

	RegistryView view() {
		return this.follower.view();
	}

	Optional<ServingConfiguration> configuration() {
		return view().configuration();
	}

	boolean canAcceptKeys() {
		return this.follower.ageMillis() <= this.maxKeyAgeMillis;
	}

	AdmittedRequest.DecisionBasis basis() {
		return new AdmittedRequest.DecisionBasis(configuration().map(ServingConfiguration::version).orElse(0L),
				Math.min(Integer.MAX_VALUE, this.follower.ageMillis()));
	}

}
