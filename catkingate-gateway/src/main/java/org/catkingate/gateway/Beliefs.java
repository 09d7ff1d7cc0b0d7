package org.catkingate.gateway;

import java.util.Optional;

import org.catkingate.decisions.registry.RegistryView;
import org.catkingate.model.registry.ServingConfiguration;
import org.catkingate.runtime.registry.RegistryFollower;

/**
 * What decisions about requests may rest on, and how old it is. Safe for use by any
 * thread.
 */
final class Beliefs {

	private final RegistryFollower follower;

	private final long certainMillis;

	/**
	 * Reads what is believed.
	 * @param follower follows the registry
	 * @param certainMillis how old it may be for keys to be accepted, in milliseconds
	 */
	Beliefs(RegistryFollower follower, long certainMillis) {
		this.follower = follower;
		this.certainMillis = certainMillis;
	}

	RegistryView view() {
		return this.follower.view();
	}

	Optional<ServingConfiguration> configuration() {
		return view().configuration();
	}

	boolean keysAreCertain() {
		return this.follower.ageMillis() <= this.certainMillis;
	}

	Admitted.Belief basis() {
		return new Admitted.Belief(configuration().map(ServingConfiguration::version).orElse(0L),
				Math.min(Integer.MAX_VALUE, this.follower.ageMillis()));
	}

}
