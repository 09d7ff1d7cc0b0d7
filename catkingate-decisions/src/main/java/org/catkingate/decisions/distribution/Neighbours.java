package org.catkingate.decisions.distribution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.model.InstanceId;

/**
 * The choice of the few peers with which an agent exchanges announcements. The choice is
 * symmetric, and a ring through all instances of the region keeps the graph of neighbours
 * connected. Stateless and safe for use by any thread.
 */
final class Neighbours {

	private Neighbours() {
	}

	static Set<InstanceId> of(InstanceLocation own, List<InstanceLocation> members) {
		List<InstanceLocation> region = members.stream()
			.filter((member) -> member.region().equals(own.region()))
			.toList();
		Set<InstanceId> chosen = new TreeSet<>(chosenBy(own, region));
		for (InstanceLocation member : region) {
			if (!member.instance().equals(own.instance()) && chosenBy(member, region).contains(own.instance())) {
				chosen.add(member.instance());
			}
		}
		addRingNeighbours(own, region, chosen);
		chosen.remove(own.instance());
		return chosen;
	}

	private static Set<InstanceId> chosenBy(InstanceLocation chooser, List<InstanceLocation> region) {
		Set<InstanceId> chosen = new TreeSet<>();
		addNearest(chooser, region, (member) -> member.dataCentre().equals(chooser.dataCentre()),
				Limits.NEIGHBOURS_IN_DATA_CENTRE, chosen);
		addNearest(chooser, region, (member) -> !member.dataCentre().equals(chooser.dataCentre()),
				Limits.NEIGHBOURS_IN_REGION, chosen);
		return chosen;
	}

	private static void addNearest(InstanceLocation chooser, List<InstanceLocation> region,
			Predicate<InstanceLocation> filter, int count, Set<InstanceId> chosen) {
		region.stream()
			.filter((member) -> !member.instance().equals(chooser.instance()))
			.filter(filter)
			.map(InstanceLocation::instance)
			.sorted(Comparator.comparingLong((id) -> RendezvousHashing.pairScore(chooser.instance(), id)))
			.limit(count)
			.forEach(chosen::add);
	}

	private static void addRingNeighbours(InstanceLocation own, List<InstanceLocation> region, Set<InstanceId> chosen) {
		List<InstanceId> ring = new ArrayList<>(region.stream().map(InstanceLocation::instance).toList());
		ring.sort(Comparator.comparingLong((InstanceId id) -> RendezvousHashing.hash(id.value()))
			.thenComparing((id) -> id));
		int position = ring.indexOf(own.instance());
		if (position >= 0) {
			chosen.add(ring.get((position + 1) % ring.size()));
			chosen.add(ring.get((position + ring.size() - 1) % ring.size()));
		}
	}

}
