package org.catkingate.decisions.distribution;

import org.catkingate.decisions.Event;
import org.catkingate.decisions.Reducer;
import org.catkingate.decisions.ReductionResult;

/**
 * The reducer that decides which chunks an agent fetches, from where and when. Stateless
 * and safe for use by any thread; events of other families are ignored.
 *
 * @since 0.1
 */
public final class DistributionReducer implements Reducer<DistributionState> {

	private DistributionReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer, never null
	 */
	public static DistributionReducer create() {
		return new DistributionReducer();
	}

	@Override
	public ReductionResult<DistributionState> reduce(DistributionState state, long nowMillis, Event event) {
		if (!(event instanceof DistributionEvent change)) {
			return ReductionResult.of(state);
		}
		MutableDistributionState next = MutableDistributionState.of(state, nowMillis);
		apply(next, change);
		ManifestSearch.requestMissing(next);
		Announcements.sendDue(next);
		TransferPlanner.plan(next);
		return next.toResult();
	}

	private static void apply(MutableDistributionState state, DistributionEvent event) {
		if (event instanceof DistributionEvent.Ticked) {
			TransferEventHandler.abandonStalled(state);
		}
		else if (event instanceof DistributionEvent.FleetChanged changed) {
			VersionEventHandler.handleFleetChanged(state, changed.fleet());
		}
		else if (event instanceof DistributionEvent.ManifestArrived arrived) {
			VersionEventHandler.handleManifestArrived(state, arrived.digest(), arrived.manifest());
		}
		else if (event instanceof DistributionEvent.ManifestFailed failed) {
			ManifestSearch.handleFailure(state, failed);
		}
		else if (event instanceof DistributionEvent.PeerConnected connected) {
			Announcements.handlePeerConnected(state, connected.peer());
		}
		else if (event instanceof DistributionEvent.PeerDisconnected disconnected) {
			TransferEventHandler.handleSourceLost(state, new Source.Peer(disconnected.peer()));
			state.downloads.replaceAll((digest, download) -> download.withoutPeer(disconnected.peer()));
		}
		else if (event instanceof DistributionEvent.PeerAnnounced announced) {
			Announcements.handleAnnouncement(state, announced);
		}
		else {
			applyToTransfers(state, event);
		}
	}

	private static void applyToTransfers(MutableDistributionState state, DistributionEvent event) {
		if (event instanceof DistributionEvent.SliceArrived arrived) {
			TransferEventHandler.handleSliceArrived(state, arrived);
		}
		else if (event instanceof DistributionEvent.SliceRejected rejected) {
			TransferEventHandler.handleSliceRejected(state, rejected);
		}
		else if (event instanceof DistributionEvent.SliceFailed failed) {
			TransferEventHandler.handleSliceFailed(state, failed.source(), failed.chunk());
		}
		else if (event instanceof DistributionEvent.ChunkVerified verified) {
			TransferEventHandler.handleChunkVerified(state, verified.chunk());
		}
		else if (event instanceof DistributionEvent.ChunkCorrupt corrupt) {
			TransferEventHandler.handleChunkCorrupt(state, corrupt.chunk());
		}
	}

}
