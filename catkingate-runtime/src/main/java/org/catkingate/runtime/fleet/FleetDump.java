package org.catkingate.runtime.fleet;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import org.catkingate.decisions.configuration.ConfigurationDownload;
import org.catkingate.decisions.configuration.ConfigurationState;
import org.catkingate.decisions.configuration.Rejection;
import org.catkingate.decisions.fleet.FleetState;
import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.ConnectionState;
import org.catkingate.decisions.membership.MembershipState;
import org.catkingate.decisions.reading.ReadSchedule;

/**
 * A dump of the state of {@link Fleet} for operators, in plain values and without
 * secrets. Immutable and safe for use by any thread.
 *
 * @param instance the instance that the process runs on
 * @param ready whether the process may serve requests
 * @param configuration the state of published configurations
 * @param agents the known agents, by instance
 * @param links the open connections to other processes, by number
 * @param contacts the agents to which connections are kept open
 * @param list the reading of the list of instances
 * @param listDoubted whether the list of instances is currently distrusted
 * @since 0.1
 */
public record FleetDump(String instance, boolean ready, Configuration configuration, Map<String, Agent> agents,
		Map<Long, OpenLink> links, List<String> contacts, Reading list, boolean listDoubted) {

	static FleetDump of(FleetState state) {
		MembershipState members = state.membership();
		Map<String, Agent> agents = new TreeMap<>();
		members.snapshot().agents().forEach((id, view) -> agents.put(id.value(), Agent.of(view)));
		Map<Long, OpenLink> links = new TreeMap<>();
		members.connections().forEach((number, connection) -> links.put(number, OpenLink.of(connection)));
		return new FleetDump(members.self().instance().value(), state.isReady(),
				Configuration.of(state.configuration()), agents, links,
				members.wanted().stream().map(Object::toString).toList(), Reading.of(members.listReads()),
				members.distrustedSinceMillis() != 0);
	}

	/**
	 * The state of published configurations.
	 *
	 * @param revision the revision in force, 0 for none
	 * @param version the version in force
	 * @param peersAsked whether the process has finished requesting the configuration
	 * from its peers after its start
	 * @param partsHeld the number of parts that the process holds
	 * @param offers the version in force at each peer, by the number of the connection
	 * @param rejected the publications that were not adopted
	 * @param lowerReads how often the service returned a lower version
	 * @param reading the higher version whose parts are being read, with the reason why
	 * the previous read failed; empty if none is being read
	 * @param service the reading of the configuration service
	 */
	public record Configuration(long revision, String version, boolean peersAsked, int partsHeld,
			Map<Long, String> offers, List<Rejected> rejected, long lowerReads, String reading, Reading service) {

		private static Configuration of(ConfigurationState state) {
			Map<Long, String> offers = new TreeMap<>();
			state.peerVersions().forEach((number, peerVersion) -> offers.put(number, peerVersion.version().toString()));
			return new Configuration(state.version().revision(), state.version().toString(), state.startup().finished(),
					state.parts().size(), offers, state.rejections().stream().map(Rejected::of).toList(),
					state.lowerVersionReads(), reading(state.download()), Reading.of(state.headReads()));
		}

		private static String reading(ConfigurationDownload download) {
			return (download != null) ? (download.version() + " " + download.failureReason()).strip() : "";
		}

	}

	/**
	 * A publication that was not adopted.
	 *
	 * @param version its version
	 * @param head the digest of its head
	 * @param problems the problems found in it
	 */
	public record Rejected(String version, String head, List<String> problems) {

		private static Rejected of(Rejection rejection) {
			return new Rejected(rejection.version().toString(), rejection.headDigest().hex(),
					rejection.problems().stream().map(Object::toString).toList());
		}

	}

	/**
	 * An agent.
	 *
	 * @param address the address that it listens on
	 * @param dataCentre its data centre
	 * @param reachable whether there is a working connection to it
	 * @param draining whether it accepts no more requests
	 * @param runners its runners and what each serves
	 */
	public record Agent(String address, String dataCentre, boolean reachable, boolean draining,
			Map<String, String> runners) {

		private static Agent of(AgentView view) {
			Map<String, String> runners = new TreeMap<>();
			view.runners()
				.forEach((runner) -> runners.put(runner.runner().toString(),
						runner.service() + " " + runner.version() + (runner.admitting() ? "" : " (closed)")));
			return new Agent(view.instance().address().toString(), view.instance().dataCentre().value(),
					view.reachable(), view.draining(), runners);
		}

	}

	/**
	 * An open connection to another process.
	 *
	 * @param peer the instance at the other end
	 * @param incarnation the incarnation of the process there
	 * @param dialled whether this process opened the connection
	 * @param verified whether the peer has responded since this process was paused
	 */
	public record OpenLink(String peer, String incarnation, boolean dialled, boolean verified) {

		private static OpenLink of(ConnectionState connection) {
			return new OpenLink(connection.peer().instance().value(), Long.toHexString(connection.peer().incarnation()),
					connection.dialled(), connection.isVerified());
		}

	}

	/**
	 * The state of reading a value from the platform.
	 *
	 * @param pace the pace of the reads: close, steady or slow
	 * @param index the last index that was read
	 * @param reads the number of reads started
	 * @param failures the number of failures since the last response
	 */
	public record Reading(String pace, long index, long reads, int failures) {

		private static Reading of(ReadSchedule schedule) {
			return new Reading(schedule.pace().name().toLowerCase(Locale.ROOT), schedule.index(), schedule.reads(),
					schedule.failures());
		}

	}

}
