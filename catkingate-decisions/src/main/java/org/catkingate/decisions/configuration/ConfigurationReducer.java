package org.catkingate.decisions.configuration;

import org.catkingate.decisions.Event;
import org.catkingate.decisions.Reducer;
import org.catkingate.decisions.Step;

/**
 * The reducer that decides which published configuration is in force, what to read from
 * the service, and which peer to request a version from. Stateless and safe for use by
 * any thread. Events that are not a {@link ConfigurationEvent} are ignored.
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
			return Step.of(state);
		}
		ConfigurationReduction work = new ConfigurationReduction(state, nowMillis);
		if (event instanceof ConfigurationEvent.Ticked) {
			work.onTick();
		}
		else if (event instanceof ConfigurationEvent.ReadPaceChanged paceChanged) {
			work.onReadPaceChanged(paceChanged);
		}
		else if (event instanceof ConfigurationEvent.ContactsChanged contacts) {
			work.onContactsChanged(contacts);
		}
		else if (!reduceFromService(work, event)) {
			reduceFromPeer(work, event);
		}
		work.proceed();
		return work.toStep();
	}

	private static boolean reduceFromService(ConfigurationReduction work, Event event) {
		if (event instanceof ConfigurationEvent.HeadRead read) {
			work.onHeadRead(read.index(), read.head());
		}
		else if (event instanceof ConfigurationEvent.HeadUnchanged) {
			work.onHeadUnchanged();
		}
		else if (event instanceof ConfigurationEvent.HeadFailed) {
			work.onHeadFailed();
		}
		else if (event instanceof ConfigurationEvent.PartRead read) {
			work.onPartRead(read.part(), read.bytes());
		}
		else if (event instanceof ConfigurationEvent.PartFailed failed) {
			work.onPartFailed(failed.part(), failed.reason());
		}
		else {
			return false;
		}
		return true;
	}

	private static void reduceFromPeer(ConfigurationReduction work, Event event) {
		if (event instanceof ConfigurationEvent.VersionOffered offered) {
			work.onVersionOffered(offered);
		}
		else if (event instanceof ConfigurationEvent.PeerDisconnected disconnected) {
			work.onPeerDisconnected(disconnected.connection());
		}
		else if (event instanceof ConfigurationEvent.VersionRequested request) {
			work.onVersionRequested(request);
		}
		else if (event instanceof ConfigurationEvent.VersionReceived received) {
			work.onVersionReceived(received);
		}
	}

}
