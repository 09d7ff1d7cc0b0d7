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
 * The state of one process with regard to the other processes. It is derived only from
 * the instance list of the platform, from what each instance announces about itself, and
 * from silence on the connections of this process, never from what one process reports
 * about another. Immutable and safe for use by any thread.
 *
 * @param self the identity of this process
 * @param configuration the configuration in force
 * @param instances the known instances, without this one
 * @param connections the open connections by number; a higher number is newer
 * @param wanted the agents that this process keeps connections to
 * @param demanded the agents that other components of this process need connections to
 * @param lastTickMillis when the last tick was, in milliseconds; 0 before the first
 * @param heartbeatSequence the sequence number of the last heartbeat sent
 * @param heartbeatAtMillis when the next heartbeat is due, in milliseconds
 * @param listReads the schedule of the reads of the instance list
 * @param listKnown whether a non-empty list has been read
 * @param distrustedSinceMillis since when the instance list is distrusted, in
 * milliseconds; 0 if it is not
 * @param snapshot the snapshot published last
 * @since 0.1
 */
public record MembershipState(ProcessIdentity self, PublishedConfiguration configuration,
		SortedMap<InstanceId, KnownInstance> instances, SortedMap<Long, ConnectionState> connections,
		SortedSet<InstanceId> wanted, Set<InstanceId> demanded, long lastTickMillis, long heartbeatSequence,
		long heartbeatAtMillis, ReadSchedule listReads, boolean listKnown, long distrustedSinceMillis,
		FleetSnapshot snapshot) {

	public MembershipState {
		Objects.requireNonNull(self, "self must not be null");
		instances = Collections.unmodifiableSortedMap(new TreeMap<>(instances));
		connections = Collections.unmodifiableSortedMap(new TreeMap<>(connections));
		demanded = Set.copyOf(demanded);
		wanted = Collections.unmodifiableSortedSet(new TreeSet<>(wanted));
	}

	/**
	 * Creates the state of a process that has just started.
	 * @param self the identity of this process
	 * @param nowMillis the time, which must be positive, in milliseconds
	 * @return a state without other instances, never null
	 */
	public static MembershipState starting(ProcessIdentity self, long nowMillis) {
		ReadSchedule listReads = ReadSchedule.create(nowMillis, self.incarnation())
			.withPace(nowMillis, ReadPace.CLOSE, 1);
		return new MembershipState(self, PublishedConfiguration.empty(), new TreeMap<>(Map.of()),
				new TreeMap<>(Map.of()), new TreeSet<>(Set.of()), Set.of(), 0, 0, nowMillis, listReads, false, 0,
				FleetSnapshot.empty());
	}

	/**
	 * Returns the number of listed processes, including this one.
	 * @return the number, at least 1
	 */
	public int fleetSize() {
		return 1 + (int) this.instances.values().stream().filter(KnownInstance::isListed).count();
	}

}
