package org.catkingate.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

import org.catkingate.decisions.registry.KeyAcceptance;
import org.catkingate.decisions.registry.RegistryView;
import org.catkingate.model.registry.ServingConfiguration;
import org.catkingate.runtime.registry.RegistryFollower;

/**
 * Read access to this process's copy of the registry and its age. Safe for use by any
 * thread.
 */
final class RegistryCopy {

	private final RegistryFollower follower;

	private final KeyAcceptance keyAcceptance;

	private final Supplier<OptionalLong> othersAgeMillis;

	/**
	 * Creates the access to the copy that a follower maintains.
	 * @param follower follows the registry
	 * @param keyAcceptance decides up to which age of the copy keys are accepted
	 * @param othersAgeMillis the age of the copy that another gateway has lately reported
	 */
	RegistryCopy(RegistryFollower follower, KeyAcceptance keyAcceptance, Supplier<OptionalLong> othersAgeMillis) {
		this.follower = follower;
		this.keyAcceptance = keyAcceptance;
		this.othersAgeMillis = othersAgeMillis;
	}

	RegistryView view() {
		return this.follower.view();
	}

	Optional<ServingConfiguration> configuration() {
		return view().configuration();
	}

	boolean canAcceptKeys() {
		return this.keyAcceptance.canAccept(this.follower.ageMillis());
	}

	/**
	 * Returns after which time a caller should come back whose key cannot be checked.
	 * @return the delay in milliseconds
	 */
	long keyRetryAfterMillis() {
		return this.keyAcceptance.retryAfterMillis(this.othersAgeMillis.get(),
				ThreadLocalRandom.current().nextDouble());
	}

	AdmittedRequest.DecisionBasis basis() {
		return new AdmittedRequest.DecisionBasis(configuration().map(ServingConfiguration::version).orElse(0L),
				Math.min(Integer.MAX_VALUE, this.follower.ageMillis()));
	}

}
