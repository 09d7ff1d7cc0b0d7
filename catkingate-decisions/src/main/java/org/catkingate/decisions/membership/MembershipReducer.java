package org.catkingate.decisions.membership;

import org.catkingate.decisions.Event;
import org.catkingate.decisions.Reducer;
import org.catkingate.decisions.ReductionResult;

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
	public ReductionResult<MembershipState> reduce(MembershipState state, long nowMillis, Event event) {
		if (!(event instanceof MembershipEvent)) {
			return ReductionResult.of(state);
		}
		MembershipReduction reduction = new MembershipReduction(state, nowMillis);
		if (event instanceof MembershipEvent.Ticked ticked) {
			tick(reduction, ticked);
		}
		else if (event instanceof MembershipEvent.StatusAnnounced announced) {
			reduction.onStatusAnnounced(announced);
		}
		else if (event instanceof MembershipEvent.ConnectionOpened opened) {
			reduction.onConnectionOpened(opened);
		}
		else if (event instanceof MembershipEvent.ConnectionClosed closed) {
			reduction.onConnectionClosed(closed.connection());
		}
		else if (event instanceof MembershipEvent.DialFailed failed) {
			reduction.onDialFailed(failed.instance());
		}
		else if (event instanceof MembershipEvent.ConfigurationInForce adopted) {
			reduction.onConfigurationInForce(adopted.configuration());
		}
		else if (event instanceof MembershipEvent.ContactsDemanded demanded) {
			reduction.onContactsDemanded(demanded.agents());
		}
		else {
			reduceListEvent(reduction, event);
		}
		return reduction.toResult();
	}

	private static void reduceListEvent(MembershipReduction reduction, Event event) {
		if (event instanceof MembershipEvent.ListRead read) {
			reduction.onListRead(read.index(), read.instances());
		}
		else if (event instanceof MembershipEvent.ListUnchanged) {
			reduction.onListUnchanged();
		}
		else {
			reduction.onListFailed();
		}
	}

	private static void tick(MembershipReduction reduction, MembershipEvent.Ticked ticked) {
		reduction.onActivity(ticked.activity());
		reduction.checkPause();
		reduction.sendHeartbeats();
		reduction.closeSilentConnections();
		reduction.closeUnwantedConnections();
		reduction.removeUnlistedInstances();
		reduction.dialWantedAgents();
		reduction.readList();
	}

}
