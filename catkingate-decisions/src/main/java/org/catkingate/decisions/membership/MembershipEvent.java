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
 * What membership is told. A link is one connection, named by a number of this process.
 *
 * @since 0.1
 */
public sealed interface MembershipEvent extends Event {

	/**
	 * The platform's list has been read.
	 *
	 * @param index the list's index
	 * @param instances the instances
	 */
	record ListRead(long index, List<InstanceRecord> instances) implements MembershipEvent {

		public ListRead {
			instances = List.copyOf(instances);
		}

	}

	/**
	 * The platform's list has not changed.
	 */
	record ListUnchanged() implements MembershipEvent {

	}

	/**
	 * The platform's list could not be read.
	 *
	 * @param reason why, for the dump
	 */
	record ListFailed(String reason) implements MembershipEvent {

	}

	/**
	 * A link is open and the peer has proved the shared key.
	 *
	 * @param connection the link
	 * @param dialled whether this process made the connection
	 * @param peer who is at the other side
	 */
	record LinkOpened(long connection, boolean dialled, Peer peer) implements MembershipEvent {

		public LinkOpened {
			Objects.requireNonNull(peer, "peer must not be null");
		}

	}

	/**
	 * A link is closed.
	 *
	 * @param connection the link
	 */
	record LinkClosed(long connection) implements MembershipEvent {

	}

	/**
	 * A connection could not be made.
	 *
	 * @param instance the instance that was tried
	 */
	record DialFailed(InstanceId instance) implements MembershipEvent {

	}

	/**
	 * An agent has told its status.
	 *
	 * @param connection the link
	 * @param draining whether it takes no more work
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
	 * A configuration is in force from now on.
	 *
	 * @param configuration the configuration
	 */
	record ConfigurationInForce(PublishedConfiguration configuration) implements MembershipEvent {

	}

	/**
	 * Other parts of this process want to be in contact with agents.
	 *
	 * @param agents all that they want, in place of those before
	 */
	record ContactsDemanded(Set<InstanceId> agents) implements MembershipEvent {

		public ContactsDemanded {
			agents = Set.copyOf(agents);
		}

	}

	/**
	 * Time has passed.
	 *
	 * @param activity what has been heard over links since the last tick
	 */
	record Ticked(List<Heard> activity) implements MembershipEvent {

		public Ticked {
			activity = List.copyOf(activity);
		}

	}

	/**
	 * Who is at the other side of a link.
	 *
	 * @param instance the instance
	 * @param role its role
	 * @param incarnation its incarnation
	 * @param dataCentre its data centre
	 * @param region its region
	 */
	record Peer(InstanceId instance, Role role, long incarnation, DataCentreName dataCentre, RegionName region) {

	}

	/**
	 * The newest that has been heard over a link.
	 *
	 * @param connection the link
	 * @param lastReceivedAtMillis when anything arrived last, in milliseconds
	 * @param acknowledged the highest of our heartbeats that the peer has acknowledged
	 * @param loads the load of each runner
	 * @param loadsAtMillis when the loads arrived, in milliseconds
	 */
	record Heard(long connection, long lastReceivedAtMillis, long acknowledged, List<Integer> loads,
			long loadsAtMillis) {

		public Heard {
			loads = List.copyOf(loads);
		}

	}

}
