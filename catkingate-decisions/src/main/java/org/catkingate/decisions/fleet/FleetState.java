package org.catkingate.decisions.fleet;

import java.util.Objects;

import org.catkingate.decisions.configuration.ConfigurationEvent;
import org.catkingate.decisions.configuration.ConfigurationState;
import org.catkingate.decisions.membership.MembershipState;
import org.catkingate.decisions.membership.ProcessIdentity;

/**
 * The control state that processes of all roles have. Immutable and safe for use by any
 * thread.
 *
 * @param membership the state of the other processes
 * @param configuration the state of the published configurations
 * @param readPace the pace at which this process reads the configuration service; null
 * before the first event
 * @param contacts the peers that a new process queries; null before the first event
 * @since 0.1
 */
public record FleetState(MembershipState membership, ConfigurationState configuration,
		ConfigurationEvent.ReadPaceChanged readPace, ConfigurationEvent.ContactsChanged contacts) {

	public FleetState {
		Objects.requireNonNull(membership, "membership must not be null");
		Objects.requireNonNull(configuration, "configuration must not be null");
	}

	/**
	 * Creates the state of a process that has just started.
	 * @param self the identity of this process
	 * @param nowMillis the time, which must be positive, in milliseconds
	 * @return the state, never null
	 */
	public static FleetState starting(ProcessIdentity self, long nowMillis) {
		return new FleetState(MembershipState.starting(self, nowMillis),
				ConfigurationState.starting(self.incarnation(), nowMillis), null, null);
	}

	/**
	 * Returns whether the process may serve.
	 * @return whether it has finished querying its peers and a configuration is in force
	 */
	public boolean isReady() {
		return this.configuration.startup().finished() && this.configuration.inForce() != null;
	}

}
