package org.catkingate.decisions.distribution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.model.Digest;
import org.catkingate.model.Manifest;

/**
 * The planner of transfers, which starts them with the rarest chunks first and requests
 * their slices. Stateless and safe for use by any thread.
 */
final class TransferPlanner {

	private static final Comparator<Candidate> RAREST_FIRST = Comparator.comparingInt(Candidate::holders)
		.thenComparingLong(Candidate::tieBreaker);

	private TransferPlanner() {
	}

	static void plan(ReductionContext context) {
		if (context.transfers.size() < Limits.MAX_TRANSFERS) {
			startTransfers(context);
		}
		for (Digest chunk : List.copyOf(context.transfers.keySet())) {
			requestSlices(context, chunk);
		}
	}

	private static void startTransfers(ReductionContext context) {
		List<Candidate> candidates = new ArrayList<>();
		context.downloads.forEach((manifest, download) -> {
			if (download.isActive() && !download.isComplete()) {
				addMissing(context, manifest, download, candidates);
			}
		});
		candidates.sort(RAREST_FIRST);
		start(context, candidates, Limits.MAX_TRANSFERS, false);
		if (context.settings.preference() == SourcePreference.TIME) {
			start(context, candidates, Limits.MAX_TRANSFERS_WITHOUT_WAITING, true);
		}
	}

	private static void start(ReductionContext context, List<Candidate> candidates, int transfers,
			boolean withoutWaiting) {
		for (Candidate candidate : candidates) {
			if (context.transfers.size() >= transfers) {
				return;
			}
			start(context, candidate, withoutWaiting);
		}
	}

	private static void addMissing(ReductionContext context, Digest digest, Download download,
			List<Candidate> candidates) {
		Manifest manifest = download.content().manifest();
		long own = RendezvousHashing.hash(context.settings.own().instance().value());
		for (int i = 0; i < manifest.chunks().size(); i++) {
			Digest chunk = manifest.chunks().get(i);
			if (!download.held().contains(i) && !context.transfers.containsKey(chunk)) {
				int holders = countHolders(download, i);
				long key = RendezvousHashing.hash(chunk);
				long tieBreaker = (holders == 0) ? key : RendezvousHashing.score(key, own);
				candidates.add(new Candidate(digest, i, chunk, holders, tieBreaker));
			}
		}
	}

	private static int countHolders(Download download, int index) {
		int count = 0;
		for (ChunkSet chunks : download.peers().values()) {
			if (chunks.contains(index)) {
				count++;
			}
		}
		return count;
	}

	private static void start(ReductionContext context, Candidate candidate, boolean withoutWaiting) {
		if (context.transfers.containsKey(candidate.chunk())) {
			return;
		}
		Download download = context.downloads.get(candidate.manifest());
		SourceChoice.of(context, download, withoutWaiting).choose(candidate.index()).ifPresent((choice) -> {
			int size = download.content().manifest().sizeOf(candidate.index());
			context.transfers.put(candidate.chunk(), Transfer.start(candidate.manifest(), candidate.index(), size,
					choice.source(), choice.distance(), context.now));
			context.add(new DistributionEffect.BeginChunk(candidate.chunk(), size, choice.source()));
		});
	}

	private static void requestSlices(ReductionContext context, Digest chunk) {
		Transfer transfer = context.transfers.get(chunk);
		while (transfer.nextSliceLength() > 0 && canRequest(context, transfer)) {
			Download download = context.downloads.get(transfer.manifest());
			long start = (long) transfer.index() * download.content().manifest().chunkBytes();
			context.add(new DistributionEffect.RequestSlice(transfer.source(), download.version().id(),
					start + transfer.requested(), chunk, transfer.requested(), transfer.nextSliceLength()));
			transfer = transfer.withSliceRequested();
			context.transfers.put(chunk, transfer);
		}
	}

	private static boolean canRequest(ReductionContext context, Transfer transfer) {
		if (!transfer.isUpstream()) {
			return transfer.outstanding().size() < Limits.MAX_SLICES_PER_TRANSFER;
		}
		long outstanding = 0;
		for (Map.Entry<Digest, Transfer> entry : context.transfers.entrySet()) {
			Transfer other = entry.getValue();
			if (other.source().equals(transfer.source())) {
				outstanding += (long) other.outstanding().size() * Limits.UPSTREAM_SLICE_BYTES;
			}
		}
		return context.source(transfer.source()).window().admits(outstanding, context.now);
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
