package org.catkingate.decisions.membership;

import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.catkingate.decisions.Event;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Labels;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.RunnerStatus;
import org.catkingate.model.published.PublishedConfiguration;

/**
 * The events that {@link MembershipReducer} processes. A connection is identified by a
 * number that is unique within this process.
 *
 * @since 0.1
 */
public sealed interface MembershipEvent extends Event {

	/**
	 * The instance list of the platform has been read.
	 *
	 * @param index the index of the list
	 * @param instances the listed instances
	 */
	record ListRead(long index, List<InstanceRecord> instances) implements MembershipEvent {

		public ListRead {
			instances = List.copyOf(instances);
		}

	}

	/**
	 * The instance list of the platform has not changed.
	 */
	record ListUnchanged() implements MembershipEvent {

	}

	/**
	 * The instance list of the platform could not be read.
	 *
	 * @param reason the cause, for the log
	 */
	record ListFailed(String reason) implements MembershipEvent {

	}

	/**
	 * A connection is open and the peer has proved possession of the shared key.
	 *
	 * @param connection the number of the connection
	 * @param dialled whether this process opened the connection
	 * @param peer the process at the other end
	 */
	record ConnectionOpened(long connection, boolean dialled, Peer peer) implements MembershipEvent {

		public ConnectionOpened {
			Objects.requireNonNull(peer, "peer must not be null");
		}

	}

	/**
	 * A connection is closed.
	 *
	 * @param connection the number of the connection
	 */
	record ConnectionClosed(long connection) implements MembershipEvent {

	}

	/**
	 * An attempt to connect to an instance has failed.
	 *
	 * @param instance the instance
	 */
	record DialFailed(InstanceId instance) implements MembershipEvent {

	}

	/**
	 * An agent has announced its status.
	 *
	 * @param connection the number of the connection
	 * @param draining whether the agent accepts no new requests
	 * @param labels its labels
	 * @param runners its runners
	 */
	record StatusAnnounced(long connection, boolean draining, Labels labels,
			List<RunnerStatus> runners) implements MembershipEvent {

		public StatusAnnounced {
			Objects.requireNonNull(labels, "labels must not be null");
			runners = List.copyOf(runners);
		}

	}

	/**
	 * A configuration has come into force.
	 *
	 * @param configuration the configuration
	 */
	record ConfigurationInForce(PublishedConfiguration configuration) implements MembershipEvent {

	}

	/**
	 * Other components of this process need connections to agents.
	 *
	 * @param agents all agents that they need, in place of those demanded before
	 */
	record ContactsDemanded(Set<InstanceId> agents) implements MembershipEvent {

		public ContactsDemanded {
			agents = Set.copyOf(agents);
		}

	}

	/**
	 * Time has passed.
	 *
	 * @param activity what has been received over each connection since the last tick
	 */
	record Ticked(List<ConnectionActivity> activity) implements MembershipEvent {

		public Ticked {
			activity = List.copyOf(activity);
		}

	}

	/**
	 * The process at the other end of a connection.
	 *
	 * @param instance its instance
	 * @param role its role
	 * @param incarnation its incarnation
	 * @param dataCentre its data centre
	 * @param region its region
	 */
	record Peer(InstanceId instance, Role role, long incarnation, DataCentreName dataCentre, RegionName region) {

	}

	/**
	 * The latest activity on a connection.
	 *
	 * @param connection the number of the connection
	 * @param lastReceivedAtMillis when data last arrived, in milliseconds
	 * @param acknowledged the highest sequence number of the heartbeats of this process
	 * that the peer has acknowledged
	 * @param loads the load of each runner as last reported
	 * @param loadsAtMillis when the loads arrived, in milliseconds
	 */
	record ConnectionActivity(long connection, long lastReceivedAtMillis, long acknowledged, List<Integer> loads,
			long loadsAtMillis) {

		public ConnectionActivity {
			loads = List.copyOf(loads);
		}

	}

}
