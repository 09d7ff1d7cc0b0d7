package org.catkingate.decisions.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.catkingate.model.Digest;

/**
 * The handling of events about slices, chunks and the sources of transfers. Stateless and
 * safe for use by any thread.
 */
final class TransferEventHandler {

	private TransferEventHandler() {
	}

	static void handleSliceArrived(ReductionContext context, DistributionEvent.SliceArrived event) {
		Transfer transfer = context.transfers.get(event.chunk());
		if (!isExpected(transfer, event)) {
			return;
		}
		Transfer updated = transfer.withSliceReceived(event.offset(), event.length(), context.now);
		context.transfers.put(event.chunk(), updated);
		if (transfer.isUpstream()) {
			context.updateSource(transfer.source(), (state) -> state
				.withWindow(state.window().withResponse(context.now, event.responseMillis(), event.length())));
		}
		if (updated.isComplete()) {
			context.add(new DistributionEffect.VerifyChunk(event.chunk()));
		}
	}

	private static boolean isExpected(Transfer transfer, DistributionEvent.SliceArrived event) {
		return transfer != null && transfer.source().equals(event.source())
				&& transfer.outstanding().contains(event.offset())
				&& transfer.lengthAt(event.offset()) == event.length();
	}

	static void handleSliceRejected(ReductionContext context, DistributionEvent.SliceRejected event) {
		Transfer transfer = context.transfers.get(event.chunk());
		if (transfer == null || !transfer.source().equals(event.source()) || transfer.isComplete()) {
			return;
		}
		context.abandon(event.chunk());
		long retryMillis = Math.max(Limits.MIN_RETRY_MILLIS, event.retryAfterMillis());
		if (event.source() instanceof Source.Peer peer) {
			handleRejectionByPeer(context, transfer, peer, event.retryAfterMillis(), retryMillis);
		}
		else {
			context.abandonFrom(event.source());
			context.updateSource(event.source(), (state) -> state.withBusyUntil(context.now + retryMillis));
		}
	}

	private static void handleRejectionByPeer(ReductionContext context, Transfer transfer, Source.Peer peer,
			long retryAfterMillis, long retryMillis) {
		ChunkSet announcedChunks = context.downloads.get(transfer.manifest()).peers().get(peer.instance());
		boolean announced = announcedChunks != null && announcedChunks.contains(transfer.index());
		if (announced && retryAfterMillis == 0) {
			context.updateDownload(transfer.manifest(),
					(download) -> download.withPeer(peer.instance(), announcedChunks.without(transfer.index())));
			context.updateSource(peer,
					(state) -> state.withFailure(context.now, Limits.FALSE_ANNOUNCEMENT_BACKOFF_MILLIS));
			return;
		}
		boolean otherRegion = transfer.distance() == SourceDistance.OTHER_REGION;
		if (!announced && retryAfterMillis == 0 && !otherRegion) {
			context.abandonFrom(peer);
			context.updateSource(peer, (state) -> state.withFailure(context.now, Limits.UNWANTED_BACKOFF_MILLIS));
			return;
		}
		context.updateSource(peer, (state) -> state.withBusyUntil(context.now + retryMillis));
		if (!announced) {
			long retryAt = context.now
					+ ((otherRegion && retryAfterMillis > 0) ? retryMillis : Limits.READER_TIMEOUT_MILLIS);
			context.updateDownload(transfer.manifest(), (download) -> download.withRetryAt(transfer.index(), retryAt));
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
		context.bytesByDistance.merge(transfer.distance(), (long) transfer.size(), Long::sum);
		boolean upstream = transfer.isUpstream();
		for (Map.Entry<Digest, Download> entry : context.downloads.entrySet()) {
			Download download = entry.getValue();
			List<Integer> indexes = download.indexesOf(chunk);
			if (!indexes.isEmpty()) {
				ChunkSet held = download.held();
				for (int index : indexes) {
					held = held.with(index);
				}
				Download updated = download.withHeld(held, upstream ? context.now : download.progressAtMillis());
				entry.setValue(updated);
				reportIfComplete(context, updated);
			}
		}
	}

	static void reportIfComplete(ReductionContext context, Download download) {
		if (download.isComplete()) {
			context.add(new DistributionEffect.VersionComplete(download.version(), download.content().manifest()));
		}
	}

	static void handleChunkCorrupt(ReductionContext context, Digest chunk) {
		Transfer transfer = context.transfers.get(chunk);
		if (transfer == null || !transfer.isComplete()) {
			return;
		}
		context.transfers.remove(chunk);
		boolean peer = transfer.source() instanceof Source.Peer;
		long minBackoff = peer ? Limits.CORRUPT_BACKOFF_MILLIS : Limits.INITIAL_BACKOFF_MILLIS;
		context.abandonFrom(transfer.source());
		context.updateSource(transfer.source(), (state) -> state.withFailure(context.now, minBackoff));
	}

}
