package org.catkingate.decisions.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.catkingate.model.Digest;

/**
 * What the outcome of slices and chunks changes. Stateless and safe for use by any
 * thread.
 */
final class TransferEventHandler {

	private TransferEventHandler() {
	}

	static void handleSliceArrived(ReductionContext context, DistributionEvent.SliceArrived event) {
		Transfer transfer = context.transfers.get(event.chunk());
		if (!isExpected(transfer, event)) {
			return;
		}
		Transfer further = transfer.withSliceReceived(event.offset(), event.length(), context.now);
		context.transfers.put(event.chunk(), further);
		if (transfer.isUpstream()) {
			context.updateSource(transfer.source(), (state) -> state
				.withWindow(state.window().withResponse(context.now, event.tookMillis(), event.length())));
		}
		if (further.isComplete()) {
			context.add(new DistributionEffect.VerifyChunk(event.chunk()));
		}
	}

	private static boolean isExpected(Transfer transfer, DistributionEvent.SliceArrived event) {
		return transfer != null && transfer.source().equals(event.source())
				&& transfer.outstanding().contains(event.offset())
				&& transfer.lengthAt(event.offset()) == event.length();
	}

	static void handleSliceRejected(ReductionContext context, DistributionEvent.SliceRefused event) {
		Transfer transfer = context.transfers.get(event.chunk());
		if (transfer == null || !transfer.source().equals(event.source()) || transfer.isComplete()) {
			return;
		}
		context.abandon(event.chunk());
		long retry = Math.max(Limits.MIN_RETRY_MILLIS, event.retryAfterMillis());
		if (event.source() instanceof Source.Peer peer) {
			handleRejectionByPeer(context, transfer, peer, event.retryAfterMillis(), retry);
		}
		else {
			context.abandonFrom(event.source());
			context.updateSource(event.source(), (state) -> state.withBusyUntil(context.now + retry));
		}
	}

	private static void handleRejectionByPeer(ReductionContext context, Transfer transfer, Source.Peer peer, long named,
			long retry) {
		ChunkSet claimed = context.downloads.get(transfer.manifest()).peers().get(peer.instance());
		boolean claims = claimed != null && claimed.contains(transfer.index());
		if (claims && named == 0) {
			context.updateDownload(transfer.manifest(),
					(download) -> download.withPeer(peer.instance(), claimed.without(transfer.index())));
			context.updateSource(peer,
					(state) -> state.withFailure(context.now, Limits.FALSE_ANNOUNCEMENT_BACKOFF_MILLIS));
			return;
		}
		boolean far = transfer.distance() == Distance.OTHER_REGION;
		if (!claims && named == 0 && !far) {
			context.abandonFrom(peer);
			context.updateSource(peer, (state) -> state.withFailure(context.now, Limits.UNWANTED_BACKOFF_MILLIS));
			return;
		}
		context.updateSource(peer, (state) -> state.withBusyUntil(context.now + retry));
		if (!claims) {
			long again = context.now + ((far && named > 0) ? retry : Limits.READER_TIMEOUT_MILLIS);
			context.updateDownload(transfer.manifest(), (download) -> download.withRetryAt(transfer.index(), again));
		}
	}

	static void handleSliceFailed(ReductionContext context, Source source, Digest chunk) {
		Transfer transfer = context.transfers.get(chunk);
		if (transfer != null && transfer.source().equals(source)) {
			context.abandonFrom(source);
			context.updateSource(source, (state) -> state.withFailure(context.now, 0));
		}
	}

	static void handleSourceLost(ReductionContext context, Source source) {
		boolean inUse = context.countTransfersFrom(source) > 0;
		context.abandonFrom(source);
		if (inUse) {
			context.updateSource(source, (state) -> state.withFailure(context.now, 0));
		}
	}

	static void abandonStalled(ReductionContext context) {
		List<Source> stalled = new ArrayList<>();
		for (Transfer transfer : context.transfers.values()) {
			if (transfer.isStalled(context.now) && !stalled.contains(transfer.source())) {
				stalled.add(transfer.source());
			}
		}
		for (Source source : stalled) {
			context.abandonFrom(source);
			context.updateSource(source, (state) -> state.withFailure(context.now, Limits.STALL_TIMEOUT_MILLIS));
		}
	}

	static void handleChunkVerified(ReductionContext context, Digest chunk) {
		Transfer transfer = context.transfers.get(chunk);
		if (transfer == null || !transfer.isComplete()) {
			return;
		}
		context.transfers.remove(chunk);
		context.mutableHeld().put(chunk, transfer.size());
		context.updateSource(transfer.source(), (state) -> state.withDelivery(transfer.size()));
		context.bytes.merge(transfer.distance(), (long) transfer.size(), Long::sum);
		boolean far = transfer.isUpstream();
		for (Map.Entry<Digest, Download> entry : context.downloads.entrySet()) {
			Download download = entry.getValue();
			List<Integer> indexes = download.indexesOf(chunk);
			if (!indexes.isEmpty()) {
				ChunkSet held = download.held();
				for (int index : indexes) {
					held = held.with(index);
				}
				Download further = download.withHeld(held, far ? context.now : download.progressAtMillis());
				entry.setValue(further);
				reportIfComplete(context, further);
			}
		}
	}

	static void reportIfComplete(ReductionContext context, Download download) {
		if (download.isComplete()) {
			context.add(new DistributionEffect.VersionWhole(download.version(), download.content().manifest()));
		}
	}

	static void handleChunkCorrupt(ReductionContext context, Digest chunk) {
		Transfer transfer = context.transfers.get(chunk);
		if (transfer == null || !transfer.isComplete()) {
			return;
		}
		context.transfers.remove(chunk);
		boolean peer = transfer.source() instanceof Source.Peer;
		long least = peer ? Limits.CORRUPT_BACKOFF_MILLIS : Limits.INITIAL_BACKOFF_MILLIS;
		context.abandonFrom(transfer.source());
		context.updateSource(transfer.source(), (state) -> state.withFailure(context.now, least));
	}

}
