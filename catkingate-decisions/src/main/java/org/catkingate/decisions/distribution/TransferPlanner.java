package org.catkingate.decisions.distribution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

import org.catkingate.decisions.Rendezvous;
import org.catkingate.model.Digest;
import org.catkingate.model.Manifest;

/**
 * Starts transfers, the rarest chunks first, and asks for their slices. Stateless and
 * safe for use by any thread.
 */
final class TransferPlanner {

	private static final Comparator<Candidate> ORDER = Comparator.comparingInt(Candidate::holders)
		.thenComparingLong(Candidate::tie);

	private TransferPlanner() {
	}

	static void plan(Work work) {
		if (work.transfers.size() < Limits.TRANSFERS) {
			startTransfers(work);
		}
		for (Digest chunk : List.copyOf(work.transfers.keySet())) {
			requestSlices(work, chunk);
		}
	}

	private static void startTransfers(Work work) {
		List<Candidate> candidates = new ArrayList<>();
		work.downloads.forEach((manifest, download) -> {
			if (download.isActive() && !download.isWhole()) {
				addMissing(work, manifest, download, candidates);
			}
		});
		candidates.sort(ORDER);
		start(work, candidates, Limits.TRANSFERS, false);
		if (work.settings.preference() == Preference.TIME) {
			start(work, candidates, Limits.TRANSFERS_WHEN_IMPATIENT, true);
		}
	}

	private static void start(Work work, List<Candidate> candidates, int transfers, boolean impatient) {
		for (Candidate candidate : candidates) {
			if (work.transfers.size() >= transfers) {
				return;
			}
			start(work, candidate, impatient);
		}
	}

	private static void addMissing(Work work, Digest digest, Download download, List<Candidate> candidates) {
		Manifest manifest = download.content().manifest();
		long own = Rendezvous.hash(work.settings.own().instance().value());
		for (int i = 0; i < manifest.chunks().size(); i++) {
			Digest chunk = manifest.chunks().get(i);
			if (!download.held().contains(i) && !work.transfers.containsKey(chunk)) {
				int holders = holders(download, i);
				long key = Rendezvous.hash(chunk);
				long tie = (holders == 0) ? key : Rendezvous.score(key, own);
				candidates.add(new Candidate(digest, i, chunk, holders, tie));
			}
		}
	}

	private static int holders(Download download, int index) {
		int count = 0;
		for (ChunkSet chunks : download.peers().values()) {
			if (chunks.contains(index)) {
				count++;
			}
		}
		return count;
	}

	private static void start(Work work, Candidate candidate, boolean impatient) {
		if (work.transfers.containsKey(candidate.chunk())) {
			return;
		}
		Download download = work.downloads.get(candidate.manifest());
		SourceChoice.of(work, download, impatient).choose(candidate.index()).ifPresent((choice) -> {
			int size = download.content().manifest().sizeOf(candidate.index());
			work.transfers.put(candidate.chunk(), Transfer.start(candidate.manifest(), candidate.index(), size,
					choice.source(), choice.distance(), work.now));
			work.add(new DistributionEffect.BeginChunk(candidate.chunk(), size, choice.source()));
		});
	}

	private static void requestSlices(Work work, Digest chunk) {
		Transfer transfer = work.transfers.get(chunk);
		while (transfer.nextSliceLength() > 0 && mayRequest(work, transfer)) {
			Download download = work.downloads.get(transfer.manifest());
			long start = (long) transfer.index() * download.content().manifest().chunkBytes();
			work.add(new DistributionEffect.RequestSlice(transfer.source(), download.version().id(),
					start + transfer.requested(), chunk, transfer.requested(), transfer.nextSliceLength()));
			transfer = transfer.requestedSlice();
			work.transfers.put(chunk, transfer);
		}
	}

	private static boolean mayRequest(Work work, Transfer transfer) {
		if (!transfer.isUpstream()) {
			return transfer.outstanding().size() < Limits.SLICES_PER_TRANSFER;
		}
		long outstanding = 0;
		for (Map.Entry<Digest, Transfer> entry : work.transfers.entrySet()) {
			Transfer other = entry.getValue();
			if (other.source().equals(transfer.source())) {
				outstanding += (long) other.outstanding().size() * Limits.UPSTREAM_SLICE_BYTES;
			}
		}
		return work.source(transfer.source()).window().admits(outstanding, work.now);
	}

	/**
	 * A chunk that is missing. Immutable.
	 *
	 * @param manifest the digest of the manifest's bytes
	 * @param index the chunk's index
	 * @param chunk the chunk
	 * @param holders how many peers hold it
	 * @param tie orders those that are as rare: alike everywhere if nobody holds them,
	 * differently at each instance otherwise
	 */
	private record Candidate(Digest manifest, int index, Digest chunk, int holders, long tie) {

	}

}
