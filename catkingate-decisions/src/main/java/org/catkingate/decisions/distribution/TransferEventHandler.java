package org.catkingate.decisions.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.catkingate.model.Digest;

/**
 * A handler of events about slices, chunks and the sources of transfers. Stateless and
 * safe for use by any thread.
 */
final class TransferEventHandler {

	private TransferEventHandler() {
	}

	static void handleSliceArrived(MutableDistributionState state, DistributionEvent.SliceArrived event) {
		Transfer transfer = state.transfers.get(event.chunk());
		if (!isExpected(transfer, event)) {
			return;
		}
		Transfer updated = transfer.withSliceReceived(event.offset(), event.length(), state.now);
		state.transfers.put(event.chunk(), updated);
		if (transfer.isUpstream()) {
			state.updateSource(transfer.source(), (current) -> current
				.withWindow(current.window().withResponse(state.now, event.responseMillis(), event.length())));
		}
		if (updated.isComplete()) {
			state.add(new DistributionEffect.VerifyChunk(event.chunk()));
		}
	}

	private static boolean isExpected(Transfer transfer, DistributionEvent.SliceArrived event) {
		return transfer != null && transfer.source().equals(event.source())
				&& transfer.outstanding().contains(event.offset())
				&& transfer.lengthAt(event.offset()) == event.length();
	}

	static void handleSliceRejected(MutableDistributionState state, DistributionEvent.SliceRejected event) {
		Transfer transfer = state.transfers.get(event.chunk());
		if (transfer == null || !transfer.source().equals(event.source()) || transfer.isComplete()) {
			return;
		}
		state.abandonTransfer(event.chunk());
		long retryMillis = Math.max(Limits.MIN_CHUNK_RETRY_MILLIS, event.retryAfterMillis());
		if (event.source() instanceof Source.Peer peer) {
			handleRejectionByPeer(state, transfer, peer, event.retryAfterMillis(), retryMillis);
		}
		else {
			state.abandonTransfersFrom(event.source());
			state.updateSource(event.source(), (current) -> current.withBusyUntil(state.now + retryMillis));
		}
	}

	/**
	 * Handles the rejection of a chunk by a peer. A peer that permanently rejects a chunk
	 * that it announced is suspended, and so is a peer of the own region that does not
	 * want the version. Any other peer counts as busy until its retry time.
	 * @param state the state in which the event is reduced
	 * @param transfer the abandoned transfer
	 * @param peer the peer
	 * @param retryAfterMillis the retry time that the peer gave, in milliseconds, 0 for
	 * never
	 * @param retryMillis the time for which the peer counts as busy, in milliseconds
	 */
	private static void handleRejectionByPeer(MutableDistributionState state, Transfer transfer, Source.Peer peer,
			long retryAfterMillis, long retryMillis) {
		ChunkSet announcedChunks = state.downloads.get(transfer.manifest()).chunksByPeer().get(peer.instance());
		boolean announced = announcedChunks != null && announcedChunks.contains(transfer.index());
		if (announced && retryAfterMillis == 0) {
			state.updateDownload(transfer.manifest(), (download) -> download.withChunksOfPeer(peer.instance(),
					announcedChunks.without(transfer.index())));
			state.updateSource(peer,
					(current) -> current.withFailure(state.now, Limits.FALSE_ANNOUNCEMENT_BACKOFF_MILLIS));
			return;
		}
		boolean otherRegion = transfer.distance() == SourceDistance.OTHER_REGION;
		if (!announced && retryAfterMillis == 0 && !otherRegion) {
			state.abandonTransfersFrom(peer);
			state.updateSource(peer,
					(current) -> current.withFailure(state.now, Limits.UNWANTED_VERSION_BACKOFF_MILLIS));
			return;
		}
		state.updateSource(peer, (current) -> current.withBusyUntil(state.now + retryMillis));
		if (!announced) {
			long retryAt = state.now
					+ ((otherRegion && retryAfterMillis > 0) ? retryMillis : Limits.READER_TIMEOUT_MILLIS);
			state.updateDownload(transfer.manifest(), (download) -> download.withRetryAt(transfer.index(), retryAt));
		}
	}

	static void handleSliceFailed(MutableDistributionState state, Source source, Digest chunk) {
		Transfer transfer = state.transfers.get(chunk);
		if (transfer != null && transfer.source().equals(source)) {
			state.abandonTransfersFrom(source);
			state.updateSource(source, (current) -> current.withFailure(state.now, 0));
		}
	}

	static void handleSourceLost(MutableDistributionState state, Source source) {
		boolean inUse = state.countTransfersFrom(source) > 0;
		state.abandonTransfersFrom(source);
		if (inUse) {
			state.updateSource(source, (current) -> current.withFailure(state.now, 0));
		}
	}

	static void abandonStalled(MutableDistributionState state) {
		List<Source> stalled = new ArrayList<>();
		for (Transfer transfer : state.transfers.values()) {
			if (transfer.isStalled(state.now) && !stalled.contains(transfer.source())) {
				stalled.add(transfer.source());
			}
		}
		for (Source source : stalled) {
			state.abandonTransfersFrom(source);
			state.updateSource(source, (current) -> current.withFailure(state.now, Limits.STALL_TIMEOUT_MILLIS));
		}
	}

	static void handleChunkVerified(MutableDistributionState state, Digest chunk) {
		Transfer transfer = state.transfers.get(chunk);
		if (transfer == null || !transfer.isComplete()) {
			return;
		}
		state.transfers.remove(chunk);
		state.mutableHeld().put(chunk, transfer.size());
		state.updateSource(transfer.source(), (current) -> current.withDelivery(transfer.size()));
		state.bytesByDistance.merge(transfer.distance(), (long) transfer.size(), Long::sum);
		boolean upstream = transfer.isUpstream();
		for (Map.Entry<Digest, Download> entry : state.downloads.entrySet()) {
			Download download = entry.getValue();
			List<Integer> indexes = download.indexesOf(chunk);
			if (!indexes.isEmpty()) {
				ChunkSet held = download.held();
				for (int index : indexes) {
					held = held.with(index);
				}
				Download updated = download.withHeld(held, upstream ? state.now : download.progressAtMillis());
				entry.setValue(updated);
				reportIfComplete(state, updated);
			}
		}
	}

	static void reportIfComplete(MutableDistributionState state, Download download) {
		if (download.isComplete()) {
			state.add(new DistributionEffect.VersionComplete(download.version(), download.manifestData().manifest()));
		}
	}

	static void handleChunkCorrupt(MutableDistributionState state, Digest chunk) {
		Transfer transfer = state.transfers.get(chunk);
		if (transfer == null || !transfer.isComplete()) {
			return;
		}
		state.transfers.remove(chunk);
		boolean fromPeer = transfer.source() instanceof Source.Peer;
		long minBackoff = fromPeer ? Limits.CORRUPT_BACKOFF_MILLIS : Limits.INITIAL_BACKOFF_MILLIS;
		state.abandonTransfersFrom(transfer.source());
		state.updateSource(transfer.source(), (current) -> current.withFailure(state.now, minBackoff));
	}

}
