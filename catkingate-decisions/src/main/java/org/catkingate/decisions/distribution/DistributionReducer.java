package org.catkingate.decisions.distribution;

import org.catkingate.decisions.Event;
import org.catkingate.decisions.Reducer;
import org.catkingate.decisions.Step;

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
	public Step<DistributionState> reduce(DistributionState state, long nowMillis, Event event) {
		if (!(event instanceof DistributionEvent change)) {
			return Step.of(state);
		}
		ReductionContext context = ReductionContext.of(state, nowMillis);
		apply(context, change);
		ManifestSearch.request(context);
		Announcements.send(context);
		TransferPlanner.plan(context);
		return context.toStep();
	}

	private static void apply(ReductionContext context, DistributionEvent event) {
		if (event instanceof DistributionEvent.Ticked) {
			TransferEventHandler.abandonStalled(context);
		}
		else if (event instanceof DistributionEvent.FleetChanged changed) {
			VersionEventHandler.handleFleetChanged(context, changed.fleet());
		}
		else if (event instanceof DistributionEvent.ManifestArrived arrived) {
			VersionEventHandler.handleManifestArrived(context, arrived.digest(), arrived.manifest());
		}
		else if (event instanceof DistributionEvent.ManifestFailed failed) {
			ManifestSearch.handleFailure(context, failed);
		}
		else if (event instanceof DistributionEvent.PeerConnected connected) {
			Announcements.handlePeerConnected(context, connected.peer());
		}
		else if (event instanceof DistributionEvent.PeerDisconnected disconnected) {
			TransferEventHandler.handleSourceLost(context, new Source.Peer(disconnected.peer()));
			context.downloads.replaceAll((digest, download) -> download.withoutPeer(disconnected.peer()));
		}
		else if (event instanceof DistributionEvent.PeerAnnounced announced) {
			Announcements.handleAnnouncement(context, announced);
		}
		else {
			applyToTransfers(context, event);
		}
	}

	private static void applyToTransfers(ReductionContext context, DistributionEvent event) {
		if (event instanceof DistributionEvent.SliceArrived arrived) {
			TransferEventHandler.handleSliceArrived(context, arrived);
		}
		else if (event instanceof DistributionEvent.SliceRejected rejected) {
			TransferEventHandler.handleSliceRejected(context, rejected);
		}
		else if (event instanceof DistributionEvent.SliceFailed failed) {
			TransferEventHandler.handleSliceFailed(context, failed.source(), failed.chunk());
		}
		else if (event instanceof DistributionEvent.ChunkVerified verified) {
			TransferEventHandler.handleChunkVerified(context, verified.chunk());
		}
		else if (event instanceof DistributionEvent.ChunkCorrupt corrupt) {
			TransferEventHandler.handleChunkCorrupt(context, corrupt.chunk());
		}
	}

}
