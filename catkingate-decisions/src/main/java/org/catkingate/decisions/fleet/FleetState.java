package org.catkingate.decisions.fleet;

import java.util.Objects;

import org.catkingate.decisions.configuration.ConfigurationEvent;
import org.catkingate.decisions.configuration.ConfigurationState;
import org.catkingate.decisions.membership.MembershipState;
import org.catkingate.decisions.membership.Self;

/**
 * All control state that both roles have. Immutable and safe for use by any thread.
 *
 * @param membership what is known of other processes
 * @param configuration what is known of published configurations
 * @param readPace how this process reads the configuration service; null before it is
 * known
 * @param contacts whom a new process has to ask; null before it is known
 * @since 0.1
 */
public record FleetState(MembershipState membership, ConfigurationState configuration,
		ConfigurationEvent.ReadPaceChanged readPace, ConfigurationEvent.ContactsChanged contacts) {

	public FleetState {
		Objects.requireNonNull(membership, "membership must not be null");
		Objects.requireNonNull(configuration, "configuration must not be null");
	}

	/**
	 * Starts knowing nothing.
	 * @param self this process
	 * @param nowMillis the time, which must be positive, in milliseconds
	 * @return the state, never null
	 */
	public static FleetState starting(Self self, long nowMillis) {
		return new FleetState(MembershipState.starting(self, nowMillis),
				ConfigurationState.starting(self.incarnation(), nowMillis), null, null);
	}

	/**
	 * Tells whether the process may serve.
	 * @return whether it has asked its peers and a configuration is in force
	 */
	public boolean isReady() {
		return this.configuration.startup().finished() && this.configuration.inForce() != null;
	}

}
