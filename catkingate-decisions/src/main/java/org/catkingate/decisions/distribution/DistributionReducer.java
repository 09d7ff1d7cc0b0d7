package org.catkingate.decisions.distribution;

import org.catkingate.decisions.Event;
import org.catkingate.decisions.Reducer;
import org.catkingate.decisions.Step;

/**
 * Decides which chunks to fetch, from where and when. Stateless and safe for use by any
 * thread; events of other families are ignored.
 *
 * @since 0.1
 */
public final class DistributionReducer implements Reducer<DistributionState> {

	private DistributionReducer() {
	}

	/**
	 * Returns the reducer.
	 * @return the reducer, never null
	 */
	public static DistributionReducer create() {
		return new DistributionReducer();
	}

	@Override
	public Step<DistributionState> reduce(DistributionState state, long nowMillis, Event event) {
		if (!(event instanceof DistributionEvent change)) {
			return Step.to(state);
		}
		Work work = Work.on(state, nowMillis);
		apply(work, change);
		ManifestSearch.ask(work);
		Announcements.send(work);
		TransferPlanner.plan(work);
		return work.finish();
	}

	private static void apply(Work work, DistributionEvent event) {
		if (event instanceof DistributionEvent.Ticked) {
			TransferSteps.stalled(work);
		}
		else if (event instanceof DistributionEvent.FleetChanged changed) {
			VersionSteps.fleetChanged(work, changed.fleet());
		}
		else if (event instanceof DistributionEvent.ManifestArrived arrived) {
			VersionSteps.manifestArrived(work, arrived.digest(), arrived.manifest());
		}
		else if (event instanceof DistributionEvent.ManifestFailed failed) {
			ManifestSearch.failed(work, failed);
		}
		else if (event instanceof DistributionEvent.PeerOpened opened) {
			Announcements.opened(work, opened.peer());
		}
		else if (event instanceof DistributionEvent.PeerLost lost) {
			TransferSteps.lost(work, new Source.Peer(lost.peer()));
			work.downloads.replaceAll((digest, download) -> download.withoutPeer(lost.peer()));
		}
		else if (event instanceof DistributionEvent.PeerAnnounced announced) {
			Announcements.received(work, announced);
		}
		else {
			applyToTransfers(work, event);
		}
	}

	private static void applyToTransfers(Work work, DistributionEvent event) {
		if (event instanceof DistributionEvent.SliceArrived arrived) {
			TransferSteps.arrived(work, arrived);
		}
		else if (event instanceof DistributionEvent.SliceRefused refused) {
			TransferSteps.refused(work, refused);
		}
		else if (event instanceof DistributionEvent.SliceFailed failed) {
			TransferSteps.failed(work, failed.source(), failed.chunk());
		}
		else if (event instanceof DistributionEvent.ChunkVerified verified) {
			TransferSteps.verified(work, verified.chunk());
		}
		else if (event instanceof DistributionEvent.ChunkCorrupt corrupt) {
			TransferSteps.corrupt(work, corrupt.chunk());
		}
	}

}
