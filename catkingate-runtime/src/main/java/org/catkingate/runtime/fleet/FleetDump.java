package org.catkingate.runtime.fleet;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import org.catkingate.decisions.configuration.ConfigurationState;
import org.catkingate.decisions.configuration.Rejection;
import org.catkingate.decisions.configuration.Transfer;
import org.catkingate.decisions.fleet.FleetState;
import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.Link;
import org.catkingate.decisions.membership.MembershipState;
import org.catkingate.decisions.reading.ReadSchedule;

/**
 * The state of {@link Fleet} for operators, in plain values and without secrets.
 * Immutable and safe for use by any thread.
 *
 * @param instance this instance
 * @param ready whether the process may serve
 * @param configuration what is known of published configurations
 * @param agents the agents known, by instance
 * @param links the open links, by number
 * @param contacts the agents that contact is kept with
 * @param list how the list of instances is read
 * @param listDoubted whether the list is doubted
 * @since 0.1
 */
public record FleetDump(String instance, boolean ready, Configuration configuration, Map<String, Agent> agents,
		Map<Long, OpenLink> links, List<String> contacts, Reading list, boolean listDoubted) {

	static FleetDump of(FleetState state) {
		MembershipState members = state.membership();
		Map<String, Agent> agents = new TreeMap<>();
		members.snapshot().agents().forEach((id, view) -> agents.put(id.value(), Agent.of(view)));
		Map<Long, OpenLink> links = new TreeMap<>();
		members.links().forEach((number, link) -> links.put(number, OpenLink.of(link)));
		return new FleetDump(members.self().instance().value(), state.isReady(),
				Configuration.of(state.configuration()), agents, links,
				members.wanted().stream().map(Object::toString).toList(), Reading.of(members.list()),
				members.doubtSinceMillis() != 0);
	}

	/**
	 * What is known of published configurations.
	 *
	 * @param revision the revision in force, 0 for none
	 * @param version the version in force
	 * @param peersAsked whether a new process has asked its peers
	 * @param partsHeld how many parts are held
	 * @param offers the version in force at each peer, by link
	 * @param rejected the publications not adopted
	 * @param lowerReads how often the service gave a lower version
	 * @param reading the higher version whose parts are being read, and why the last read
	 * failed; empty if none is
	 * @param service how the service is read
	 */
	public record Configuration(long revision, String version, boolean peersAsked, int partsHeld,
			Map<Long, String> offers, List<Rejected> rejected, long lowerReads, String reading, Reading service) {

		private static Configuration of(ConfigurationState state) {
			Map<Long, String> offers = new TreeMap<>();
			state.offers().forEach((link, offer) -> offers.put(link, offer.version().toString()));
			return new Configuration(state.version().revision(), state.version().toString(), state.startup().finished(),
					state.parts().size(), offers, state.rejections().stream().map(Rejected::of).toList(),
					state.lowerReads(), reading(state.transfer()), Reading.of(state.head()));
		}

		private static String reading(Transfer transfer) {
			return (transfer != null) ? (transfer.version() + " " + transfer.reason()).strip() : "";
		}

	}

	/**
	 * A publication not adopted.
	 *
	 * @param version its version
	 * @param head the digest of its head
	 * @param problems what is wrong with it
	 */
	public record Rejected(String version, String head, List<String> problems) {

		private static Rejected of(Rejection rejection) {
			return new Rejected(rejection.version().toString(), rejection.head().hex(),
					rejection.problems().stream().map(Object::toString).toList());
		}

	}

	/**
	 * An agent.
	 *
	 * @param address where it listens
	 * @param dataCentre its data centre
	 * @param reachable whether a link to it works
	 * @param draining whether it takes no more work
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
	 * A link.
	 *
	 * @param peer the instance at the other side
	 * @param incarnation its incarnation
	 * @param dialled whether this process made the connection
	 * @param verified whether it has answered since this process was paused
	 */
	public record OpenLink(String peer, String incarnation, boolean dialled, boolean verified) {

		private static OpenLink of(Link link) {
			return new OpenLink(link.peer().instance().value(), Long.toHexString(link.peer().incarnation()),
					link.dialled(), link.isVerified());
		}

	}

	/**
	 * How a value of the platform is read.
	 *
	 * @param pace closely or slowly
	 * @param index the index seen last
	 * @param reads how many reads were started
	 * @param failures how many failed since the last answer
	 */
	public record Reading(String pace, long index, long reads, int failures) {

		private static Reading of(ReadSchedule schedule) {
			return new Reading(schedule.pace().name().toLowerCase(Locale.ROOT), schedule.index(), schedule.reads(),
					schedule.failures());
		}

	}

}
