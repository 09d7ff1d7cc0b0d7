package org.catkingate.decisions.fleet;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.decisions.configuration.ConfigurationEvent;
import org.catkingate.decisions.membership.ConnectionState;
import org.catkingate.decisions.membership.KnownInstance;
import org.catkingate.decisions.membership.MembershipState;
import org.catkingate.decisions.membership.ProcessIdentity;
import org.catkingate.decisions.reading.ReadPace;
import org.catkingate.model.InstanceId;
import org.catkingate.model.Role;

/**
 * The inputs of configuration that are derived from membership: the pace at which this
 * process reads the configuration service, and the peers that it queries when it is new.
 * Stateless.
 */
final class ConfigurationInputs {

	// the number of processes in each data centre that read the configuration service at
	// the close pace
	private static final int CLOSE_READERS_PER_DATA_CENTRE = 3;

	// a listed instance with this many consecutive failed dials counts as absent
	private static final int ABSENT_AFTER_FAILED_DIALS = 2;

	private ConfigurationInputs() {
	}

	static ConfigurationEvent.ReadPaceChanged readPace(MembershipState state) {
		boolean isClose = !state.listKnown() || isCloseReader(state.self(), state.instances().values());
		return new ConfigurationEvent.ReadPaceChanged(isClose ? ReadPace.CLOSE : ReadPace.STEADY, state.fleetSize());
	}

	private static boolean isCloseReader(ProcessIdentity self, Collection<KnownInstance> instances) {
		Set<InstanceId> candidates = new HashSet<>();
		candidates.add(self.instance());
		for (KnownInstance known : instances) {
			boolean isPresent = known.unlistedSinceMillis() == 0 && known.failedDials() < ABSENT_AFTER_FAILED_DIALS;
			if (isPresent && !known.instance().leaving() && known.instance().dataCentre().equals(self.dataCentre())) {
				candidates.add(known.instance().id());
			}
		}
		long key = RendezvousHashing.hash(self.dataCentre().value());
		return RendezvousHashing.rank(key, candidates, CLOSE_READERS_PER_DATA_CENTRE).contains(self.instance());
	}

	static ConfigurationEvent.ContactsChanged contacts(MembershipState state) {
		Set<Long> connections = new HashSet<>();
		Set<InstanceId> connectedInstances = new HashSet<>();
		boolean hasEntry = false;
		for (ConnectionState connection : state.connections().values()) {
			boolean isEntry = connection.peer().role() == Role.ENTRY;
			hasEntry |= isEntry;
			if ((isEntry || state.wanted().contains(connection.peer().instance()))
					&& connectedInstances.add(connection.peer().instance())) {
				connections.add(connection.number());
			}
		}
		// agents do not open connections to entries, so an agent waits until a listed
		// entry has connected to it
		boolean complete = state.listKnown() && connectedInstances.containsAll(state.wanted())
				&& (hasEntry || state.self().role() == Role.ENTRY || entries(state).isEmpty());
		return new ConfigurationEvent.ContactsChanged(complete, connections);
	}

	private static List<KnownInstance> entries(MembershipState state) {
		return state.instances().values().stream().filter((known) -> known.instance().role() == Role.ENTRY).toList();
	}

}
