package org.catkingate.decisions.fleet;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.catkingate.decisions.Rendezvous;
import org.catkingate.decisions.configuration.ConfigurationEvent;
import org.catkingate.decisions.membership.KnownInstance;
import org.catkingate.decisions.membership.Link;
import org.catkingate.decisions.membership.MembershipState;
import org.catkingate.decisions.membership.Self;
import org.catkingate.decisions.reading.ReadPace;
import org.catkingate.model.InstanceId;
import org.catkingate.model.Role;

/**
 * Derives the inputs of configuration from membership: the pace at which this process
 * reads the configuration service, and the peers that it queries when it is new.
 * Stateless.
 */
final class ConfigurationInputs {

	private static final int CLOSE_WATCHERS_PER_DATA_CENTRE = 3;

	private static final int MIN_FAILED_DIALS_IF_ABSENT = 2;

	private ConfigurationInputs() {
	}

	static ConfigurationEvent.ReadPaceChanged readPace(MembershipState state) {
		boolean close = !state.listKnown() || isWatcher(state.self(), state.instances().values());
		return new ConfigurationEvent.ReadPaceChanged(close ? ReadPace.CLOSE : ReadPace.STEADY, state.fleetSize());
	}

	private static boolean isWatcher(Self self, Collection<KnownInstance> instances) {
		Set<InstanceId> candidates = new HashSet<>();
		candidates.add(self.instance());
		for (KnownInstance known : instances) {
			boolean present = known.unlistedSinceMillis() == 0 && known.failedDials() < MIN_FAILED_DIALS_IF_ABSENT;
			if (present && !known.instance().leaving() && known.instance().dataCentre().equals(self.dataCentre())) {
				candidates.add(known.instance().id());
			}
		}
		long key = Rendezvous.hash(self.dataCentre().value());
		return Rendezvous.rank(key, candidates, CLOSE_WATCHERS_PER_DATA_CENTRE).contains(self.instance());
	}

	static ConfigurationEvent.ContactsChanged contacts(MembershipState state) {
		Set<Long> links = new HashSet<>();
		Set<InstanceId> met = new HashSet<>();
		boolean metByEntry = false;
		for (Link link : state.links().values()) {
			boolean entry = link.peer().role() == Role.ENTRY;
			metByEntry |= entry;
			if ((entry || state.wanted().contains(link.peer().instance())) && met.add(link.peer().instance())) {
				links.add(link.number());
			}
		}
		boolean complete = state.listKnown() && met.containsAll(state.wanted())
				&& (metByEntry || state.self().role() == Role.ENTRY || entries(state).isEmpty());
		return new ConfigurationEvent.ContactsChanged(complete, links);
	}

	private static List<KnownInstance> entries(MembershipState state) {
		return state.instances().values().stream().filter((known) -> known.instance().role() == Role.ENTRY).toList();
	}

}
