package org.catkingate.decisions.configuration;

import org.catkingate.decisions.Event;
import org.catkingate.decisions.Reducer;
import org.catkingate.decisions.Step;

/**
 * Decides which published configuration is in force, what to read for it and whom to ask.
 * Stateless and safe for use by any thread. Events of other matters change nothing.
 *
 * @since 0.1
 */
public final class ConfigurationReducer implements Reducer<ConfigurationState> {

	private ConfigurationReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer, never null
	 */
	public static ConfigurationReducer create() {
		return new ConfigurationReducer();
	}

	@Override
	public Step<ConfigurationState> reduce(ConfigurationState state, long nowMillis, Event event) {
		if (!(event instanceof ConfigurationEvent)) {
			return Step.to(state);
		}
		ConfigurationWork work = new ConfigurationWork(state, nowMillis);
		if (event instanceof ConfigurationEvent.Ticked) {
			work.tick();
		}
		else if (event instanceof ConfigurationEvent.DutyChanged duty) {
			work.dutyChanged(duty);
		}
		else if (event instanceof ConfigurationEvent.ContactsChanged contacts) {
			work.contactsChanged(contacts);
		}
		else if (!fromService(work, event)) {
			fromPeers(work, event);
		}
		work.proceed();
		return work.finish();
	}

	private static boolean fromService(ConfigurationWork work, Event event) {
		if (event instanceof ConfigurationEvent.HeadRead read) {
			work.headRead(read.index(), read.head());
		}
		else if (event instanceof ConfigurationEvent.HeadUnchanged) {
			work.headUnchanged();
		}
		else if (event instanceof ConfigurationEvent.HeadFailed) {
			work.headFailed();
		}
		else if (event instanceof ConfigurationEvent.PartRead read) {
			work.partRead(read.part(), read.bytes());
		}
		else if (event instanceof ConfigurationEvent.PartFailed failed) {
			work.partFailed(failed.part(), failed.reason());
		}
		else {
			return false;
		}
		return true;
	}

	private static void fromPeers(ConfigurationWork work, Event event) {
		if (event instanceof ConfigurationEvent.Offered offered) {
			work.offered(offered);
		}
		else if (event instanceof ConfigurationEvent.PeerLost lost) {
			work.peerLost(lost.link());
		}
		else if (event instanceof ConfigurationEvent.Asked asked) {
			work.asked(asked);
		}
		else if (event instanceof ConfigurationEvent.ContentArrived arrived) {
			work.contentArrived(arrived);
		}
	}

}
