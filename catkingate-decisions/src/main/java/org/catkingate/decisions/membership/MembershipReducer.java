package org.catkingate.decisions.membership;

import org.catkingate.decisions.Event;
import org.catkingate.decisions.Reducer;
import org.catkingate.decisions.Step;

/**
 * Decides which instances there are, which links to keep and which agents may be given
 * work. Stateless and safe for use by any thread. Events of other matters change nothing.
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
			return Step.to(state);
		}
		MembershipWork work = new MembershipWork(state, nowMillis);
		if (event instanceof MembershipEvent.Ticked ticked) {
			tick(work, ticked);
		}
		else if (event instanceof MembershipEvent.StatusAnnounced announced) {
			work.statusAnnounced(announced);
		}
		else if (event instanceof MembershipEvent.LinkOpened opened) {
			work.linkOpened(opened);
		}
		else if (event instanceof MembershipEvent.LinkClosed closed) {
			work.linkClosed(closed.link());
		}
		else if (event instanceof MembershipEvent.DialFailed failed) {
			work.dialFailed(failed.instance());
		}
		else if (event instanceof MembershipEvent.ConfigurationInForce adopted) {
			work.configurationInForce(adopted.configuration());
		}
		else if (event instanceof MembershipEvent.ContactsDemanded demanded) {
			work.contactsDemanded(demanded.agents());
		}
		else {
			reduceList(work, event);
		}
		return work.finish();
	}

	private static void reduceList(MembershipWork work, Event event) {
		if (event instanceof MembershipEvent.ListRead read) {
			work.listRead(read.index(), read.instances());
		}
		else if (event instanceof MembershipEvent.ListUnchanged) {
			work.listUnchanged();
		}
		else {
			work.listFailed();
		}
	}

	private static void tick(MembershipWork work, MembershipEvent.Ticked ticked) {
		work.heard(ticked.heard());
		work.checkPause();
		work.sendHeartbeats();
		work.giveUpSilentLinks();
		work.closeUnwantedLinks();
		work.forget();
		work.dial();
		work.readList();
	}

}
