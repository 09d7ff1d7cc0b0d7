package org.catkingate.decisions.configuration;

import org.catkingate.decisions.Event;
import org.catkingate.decisions.Reducer;
import org.catkingate.decisions.ReductionResult;

/**
 * The reducer that decides which published configuration is in force, what to read from
 * the configuration service, and which peer to request a version from. Stateless and safe
 * for use by any thread. Events that are not a {@link ConfigurationEvent} are ignored.
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
	public ReductionResult<ConfigurationState> reduce(ConfigurationState state, long nowMillis, Event event) {
		if (!(event instanceof ConfigurationEvent)) {
			return ReductionResult.of(state);
		}
		ConfigurationReduction reduction = new ConfigurationReduction(state, nowMillis);
		if (event instanceof ConfigurationEvent.Ticked) {
			reduction.onTick();
		}
		else if (event instanceof ConfigurationEvent.ReadPaceChanged paceChanged) {
			reduction.onReadPaceChanged(paceChanged);
		}
		else if (event instanceof ConfigurationEvent.ContactsChanged contacts) {
			reduction.onContactsChanged(contacts);
		}
		else if (!reduceFromService(reduction, event)) {
			reduceFromPeer(reduction, event);
		}
		reduction.performDueActions();
		return reduction.toResult();
	}

	private static boolean reduceFromService(ConfigurationReduction reduction, Event event) {
		if (event instanceof ConfigurationEvent.HeadRead read) {
			reduction.onHeadRead(read.index(), read.head());
		}
		else if (event instanceof ConfigurationEvent.HeadUnchanged) {
			reduction.onHeadUnchanged();
		}
		else if (event instanceof ConfigurationEvent.HeadFailed) {
			reduction.onHeadFailed();
		}
		else if (event instanceof ConfigurationEvent.PartRead read) {
			reduction.onPartRead(read.part(), read.bytes());
		}
		else if (event instanceof ConfigurationEvent.PartFailed failed) {
			reduction.onPartFailed(failed.part(), failed.reason());
		}
		else {
			return false;
		}
		return true;
	}

	private static void reduceFromPeer(ConfigurationReduction reduction, Event event) {
		if (event instanceof ConfigurationEvent.VersionOffered offered) {
			reduction.onVersionOffered(offered);
		}
		else if (event instanceof ConfigurationEvent.PeerDisconnected disconnected) {
			reduction.onPeerDisconnected(disconnected.connection());
		}
		else if (event instanceof ConfigurationEvent.VersionRequested request) {
			reduction.onVersionRequested(request);
		}
		else if (event instanceof ConfigurationEvent.VersionReceived received) {
			reduction.onVersionReceived(received);
		}
	}

}
