package org.catkingate.decisions.distribution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.model.Digest;
import org.catkingate.model.Manifest;

/**
 * A planner that starts the transfers of missing chunks, the rarest first, and requests
 * the slices of the transfers in progress. Stateless and safe for use by any thread.
 */
final class TransferPlanner {

	private static final Comparator<Candidate> RAREST_FIRST = Comparator.comparingInt(Candidate::holders)
		.thenComparingLong(Candidate::tieBreaker);

	private TransferPlanner() {
	}

	static void plan(MutableDistributionState state) {
		if (state.transfers.size() < Limits.MAX_TRANSFERS) {
			startTransfers(state);
		}
		for (Digest chunk : List.copyOf(state.transfers.keySet())) {
			requestSlices(state, chunk);
		}
	}

	private static void startTransfers(MutableDistributionState state) {
		List<Candidate> candidates = new ArrayList<>();
		state.downloads.forEach((manifest, download) -> {
			if (download.isActive() && !download.isComplete()) {
				addMissing(state, manifest, download, candidates);
			}
		});
		candidates.sort(RAREST_FIRST);
		start(state, candidates, Limits.MAX_TRANSFERS, false);
		if (state.settings.preference() == SourcePreference.TIME) {
			start(state, candidates, Limits.MAX_TRANSFERS_WITHOUT_WAITING, true);
		}
	}

	private static void start(MutableDistributionState state, List<Candidate> candidates, int maxTransfers,
			boolean withoutWaiting) {
		for (Candidate candidate : candidates) {
			if (state.transfers.size() >= maxTransfers) {
				return;
			}
			start(state, candidate, withoutWaiting);
		}
	}

	private static void addMissing(MutableDistributionState state, Digest digest, Download download,
			List<Candidate> candidates) {
		Manifest manifest = download.manifestData().manifest();
		long ownHash = RendezvousHashing.hash(state.settings.own().instance().value());
		for (int i = 0; i < manifest.chunks().size(); i++) {
			Digest chunk = manifest.chunks().get(i);
			if (!download.held().contains(i) && !state.transfers.containsKey(chunk)) {
				int holders = countHolders(download, i);
				long key = RendezvousHashing.hash(chunk);
				long tieBreaker = (holders == 0) ? key : RendezvousHashing.score(key, ownHash);
				candidates.add(new Candidate(digest, i, chunk, holders, tieBreaker));
			}
		}
	}

	private static int countHolders(Download download, int index) {
		int count = 0;
		for (ChunkSet chunks : download.chunksByPeer().values()) {
			if (chunks.contains(index)) {
				count++;
			}
		}
		return count;
	}

	private static void start(MutableDistributionState state, Candidate candidate, boolean withoutWaiting) {
		if (state.transfers.containsKey(candidate.chunk())) {
			return;
		}
		Download download = state.downloads.get(candidate.manifest());
		SourceSelector.of(state, download, withoutWaiting).choose(candidate.index()).ifPresent((choice) -> {
			int size = download.manifestData().manifest().sizeOf(candidate.index());
			state.transfers.put(candidate.chunk(), Transfer.start(candidate.manifest(), candidate.index(), size,
					choice.source(), choice.distance(), state.now));
			state.add(new DistributionEffect.BeginChunk(candidate.chunk(), size, choice.source()));
		});
	}

	private static void requestSlices(MutableDistributionState state, Digest chunk) {
		Transfer transfer = state.transfers.get(chunk);
		while (transfer.nextSliceLength() > 0 && canRequest(state, transfer)) {
			Download download = state.downloads.get(transfer.manifest());
			long chunkPosition = (long) transfer.index() * download.manifestData().manifest().chunkBytes();
			state.add(new DistributionEffect.RequestSlice(transfer.source(), download.version().id(),
					chunkPosition + transfer.requested(), chunk, transfer.requested(), transfer.nextSliceLength()));
			transfer = transfer.withSliceRequested();
			state.transfers.put(chunk, transfer);
		}
	}

	private static boolean canRequest(MutableDistributionState state, Transfer transfer) {
		if (!transfer.isUpstream()) {
			return transfer.outstanding().size() < Limits.MAX_SLICES_PER_TRANSFER;
		}
		long outstanding = 0;
		for (Map.Entry<Digest, Transfer> entry : state.transfers.entrySet()) {
			Transfer active = entry.getValue();
			if (active.source().equals(transfer.source())) {
				outstanding += (long) active.outstanding().size() * Limits.UPSTREAM_SLICE_BYTES;
			}
		}
		return state.source(transfer.source()).window().admits(outstanding, state.now);
	}

	/**
	 * A missing chunk. Immutable.
	 *
	 * @param manifest the digest of the manifest's bytes
	 * @param index the chunk's index
	 * @param chunk the chunk
	 * @param holders the number of peers that hold the chunk
	 * @param tieBreaker the order among equally rare chunks: the same on all instances if
	 * no peer holds them, different on each instance otherwise
	 */
	private record Candidate(Digest manifest, int index, Digest chunk, int holders, long tieBreaker) {

	}

}
