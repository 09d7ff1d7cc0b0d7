package org.catkingate.decisions.membership;

import org.catkingate.decisions.Event;
import org.catkingate.decisions.Reducer;
import org.catkingate.decisions.Step;

/**
 * The reducer that decides which instances exist, which connections to keep, and which
 * agents may receive requests. Stateless and safe for use by any thread. Events that are
 * not a {@link MembershipEvent} are ignored.
 *
 * @since 0.1
 */
public final class MembershipReducer implements Reducer<MembershipState> {

	private MembershipReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer, never null
	 */
	public static MembershipReducer create() {
		return new MembershipReducer();
	}

	@Override
	public Step<MembershipState> reduce(MembershipState state, long nowMillis, Event event) {
		if (!(event instanceof MembershipEvent)) {
			return Step.of(state);
		}
		MembershipReduction work = new MembershipReduction(state, nowMillis);
		if (event instanceof MembershipEvent.Ticked ticked) {
			tick(work, ticked);
		}
		else if (event instanceof MembershipEvent.StatusAnnounced announced) {
			work.onStatusAnnounced(announced);
		}
		else if (event instanceof MembershipEvent.ConnectionOpened opened) {
			work.onConnectionOpened(opened);
		}
		else if (event instanceof MembershipEvent.ConnectionClosed closed) {
			work.onConnectionClosed(closed.connection());
		}
		else if (event instanceof MembershipEvent.DialFailed failed) {
			work.onDialFailed(failed.instance());
		}
		else if (event instanceof MembershipEvent.ConfigurationInForce adopted) {
			work.onConfigurationInForce(adopted.configuration());
		}
		else if (event instanceof MembershipEvent.ContactsDemanded demanded) {
			work.onContactsDemanded(demanded.agents());
		}
		else {
			reduceList(work, event);
		}
		return work.toStep();
	}

	private static void reduceList(MembershipReduction work, Event event) {
		if (event instanceof MembershipEvent.ListRead read) {
			work.onListRead(read.index(), read.instances());
		}
		else if (event instanceof MembershipEvent.ListUnchanged) {
			work.onListUnchanged();
		}
		else {
			work.onListFailed();
		}
	}

	private static void tick(MembershipReduction work, MembershipEvent.Ticked ticked) {
		work.onActivity(ticked.activity());
		work.checkPause();
		work.sendHeartbeats();
		work.closeSilentConnections();
		work.closeUnwantedConnections();
		work.removeUnlistedInstances();
		work.dialWantedAgents();
		work.readList();
	}

}
