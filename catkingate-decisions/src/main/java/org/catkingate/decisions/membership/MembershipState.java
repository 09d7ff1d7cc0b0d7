package org.catkingate.decisions.membership;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

import org.catkingate.decisions.reading.ReadPace;
import org.catkingate.decisions.reading.ReadSchedule;
import org.catkingate.model.InstanceId;
import org.catkingate.model.published.PublishedConfiguration;

/**
 * What this process knows of the others. Nothing in it is another process's opinion: it
 * comes from the platform's list, from what instances tell of themselves and from silence
 * on own links. Immutable and safe for use by any thread.
 *
 * @param self this process
 * @param configuration the configuration in force
 * @param instances the instances remembered, without this one
 * @param links the open links by number; a higher number is newer
 * @param wanted the agents that this process keeps contact with
 * @param demanded the agents that other parts of this process want contact with
 * @param lastTickMillis when the last tick was, in milliseconds; 0 before the first
 * @param heartbeatSequence the sequence of the last heartbeat sent
 * @param heartbeatAtMillis when the next heartbeat is due, in milliseconds
 * @param list when the platform's list is read
 * @param listKnown whether the list has been read once
 * @param doubtSinceMillis since when the list is doubted, in milliseconds; 0 if it is not
 * @param snapshot the snapshot published last
 * @since 0.1
 */
public record MembershipState(Self self, PublishedConfiguration configuration,
		SortedMap<InstanceId, KnownInstance> instances, SortedMap<Long, Link> links, SortedSet<InstanceId> wanted,
		Set<InstanceId> demanded, long lastTickMillis, long heartbeatSequence, long heartbeatAtMillis,
		ReadSchedule list, boolean listKnown, long doubtSinceMillis, FleetSnapshot snapshot) {

	public MembershipState {
		Objects.requireNonNull(self, "self must not be null");
		instances = Collections.unmodifiableSortedMap(new TreeMap<>(instances));
		links = Collections.unmodifiableSortedMap(new TreeMap<>(links));
		demanded = Set.copyOf(demanded);
		wanted = Collections.unmodifiableSortedSet(new TreeSet<>(wanted));
	}

	/**
	 * Starts knowing nobody.
	 * @param self this process
	 * @param nowMillis the time, which must be positive, in milliseconds
	 * @return the state, never null
	 */
	public static MembershipState starting(Self self, long nowMillis) {
		ReadSchedule list = ReadSchedule.startingAt(nowMillis, self.incarnation()).at(nowMillis, ReadPace.CLOSE, 1);
		return new MembershipState(self, PublishedConfiguration.empty(), new TreeMap<>(Map.of()),
				new TreeMap<>(Map.of()), new TreeSet<>(Set.of()), Set.of(), 0, 0, nowMillis, list, false, 0,
				FleetSnapshot.empty());
	}

	/**
	 * Counts the processes of the list, this one included.
	 * @return how many there are, at least 1
	 */
	public int fleetSize() {
		return 1 + (int) this.instances.values().stream().filter(KnownInstance::isListed).count();
	}

}
