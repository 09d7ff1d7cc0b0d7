package org.catkingate.decisions.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.catkingate.model.Digest;

/**
 * What the outcome of slices and chunks changes. Stateless and safe for use by any
 * thread.
 */
final class TransferSteps {

	private TransferSteps() {
	}

	static void arrived(Work work, DistributionEvent.SliceArrived event) {
		Transfer transfer = work.transfers.get(event.chunk());
		if (!isExpected(transfer, event)) {
			return;
		}
		Transfer further = transfer.receivedSlice(event.offset(), event.length(), work.now);
		work.transfers.put(event.chunk(), further);
		if (transfer.isUpstream()) {
			work.changeSource(transfer.source(),
					(state) -> state.withWindow(state.window().answered(work.now, event.tookMillis(), event.length())));
		}
		if (further.isWhole()) {
			work.add(new DistributionEffect.VerifyChunk(event.chunk()));
		}
	}

	private static boolean isExpected(Transfer transfer, DistributionEvent.SliceArrived event) {
		return transfer != null && transfer.source().equals(event.source())
				&& transfer.outstanding().contains(event.offset())
				&& transfer.lengthAt(event.offset()) == event.length();
	}

	static void refused(Work work, DistributionEvent.SliceRefused event) {
		Transfer transfer = work.transfers.get(event.chunk());
		if (transfer == null || !transfer.source().equals(event.source()) || transfer.isWhole()) {
			return;
		}
		work.abandon(event.chunk());
		long retry = Math.max(Limits.SHORTEST_RETRY_MILLIS, event.retryAfterMillis());
		if (event.source() instanceof Source.Peer peer) {
			refusedByPeer(work, transfer, peer, event.retryAfterMillis(), retry);
		}
		else {
			work.abandonFrom(event.source());
			work.changeSource(event.source(), (state) -> state.busyUntil(work.now + retry));
		}
	}

	private static void refusedByPeer(Work work, Transfer transfer, Source.Peer peer, long named, long retry) {
		ChunkSet claimed = work.downloads.get(transfer.manifest()).peers().get(peer.instance());
		boolean claims = claimed != null && claimed.contains(transfer.index());
		if (claims && named == 0) {
			work.changeDownload(transfer.manifest(),
					(download) -> download.withPeer(peer.instance(), claimed.without(transfer.index())));
			work.changeSource(peer, (state) -> state.failed(work.now, Limits.LIE_BACKOFF_MILLIS));
			return;
		}
		boolean far = transfer.distance() == Distance.OTHER_REGION;
		if (!claims && named == 0 && !far) {
			work.abandonFrom(peer);
			work.changeSource(peer, (state) -> state.failed(work.now, Limits.UNWANTED_BACKOFF_MILLIS));
			return;
		}
		work.changeSource(peer, (state) -> state.busyUntil(work.now + retry));
		if (!claims) {
			long again = work.now + ((far && named > 0) ? retry : Limits.SILENCE_MILLIS);
			work.changeDownload(transfer.manifest(), (download) -> download.withRetryAt(transfer.index(), again));
		}
	}

	static void failed(Work work, Source source, Digest chunk) {
		Transfer transfer = work.transfers.get(chunk);
		if (transfer != null && transfer.source().equals(source)) {
			work.abandonFrom(source);
			work.changeSource(source, (state) -> state.failed(work.now, 0));
		}
	}

	static void lost(Work work, Source source) {
		boolean inUse = work.transfersFrom(source) > 0;
		work.abandonFrom(source);
		if (inUse) {
			work.changeSource(source, (state) -> state.failed(work.now, 0));
		}
	}

	static void stalled(Work work) {
		List<Source> stalled = new ArrayList<>();
		for (Transfer transfer : work.transfers.values()) {
			if (transfer.isStalled(work.now) && !stalled.contains(transfer.source())) {
				stalled.add(transfer.source());
			}
		}
		for (Source source : stalled) {
			work.abandonFrom(source);
			work.changeSource(source, (state) -> state.failed(work.now, Limits.STALL_MILLIS));
		}
	}

	static void verified(Work work, Digest chunk) {
		Transfer transfer = work.transfers.get(chunk);
		if (transfer == null || !transfer.isWhole()) {
			return;
		}
		work.transfers.remove(chunk);
		work.changeHeld().put(chunk, transfer.size());
		work.changeSource(transfer.source(), (state) -> state.delivered(transfer.size()));
		work.bytes.merge(transfer.distance(), (long) transfer.size(), Long::sum);
		boolean far = transfer.isUpstream();
		for (Map.Entry<Digest, Download> entry : work.downloads.entrySet()) {
			Download download = entry.getValue();
			List<Integer> indexes = download.indexesOf(chunk);
			if (!indexes.isEmpty()) {
				ChunkSet held = download.held();
				for (int index : indexes) {
					held = held.with(index);
				}
				Download further = download.withHeld(held, far ? work.now : download.progressAtMillis());
				entry.setValue(further);
				reportWhole(work, further);
			}
		}
	}

	static void reportWhole(Work work, Download download) {
		if (download.isWhole()) {
			work.add(new DistributionEffect.VersionWhole(download.version(), download.content().manifest()));
		}
	}

	static void corrupt(Work work, Digest chunk) {
		Transfer transfer = work.transfers.get(chunk);
		if (transfer == null || !transfer.isWhole()) {
			return;
		}
		work.transfers.remove(chunk);
		boolean peer = transfer.source() instanceof Source.Peer;
		long least = peer ? Limits.CORRUPT_BACKOFF_MILLIS : Limits.FIRST_BACKOFF_MILLIS;
		work.abandonFrom(transfer.source());
		work.changeSource(transfer.source(), (state) -> state.failed(work.now, least));
	}

}
