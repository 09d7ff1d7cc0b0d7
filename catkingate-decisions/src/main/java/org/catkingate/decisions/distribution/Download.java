package org.catkingate.decisions.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;
import org.catkingate.model.Manifest;
import org.catkingate.model.published.WeightsVersion;

/**
 * The download of one wanted version. Immutable and safe for use by any thread.
 *
 * @param version the version
 * @param members the live instances that the version is selected for
 * @param neighbours the peers to exchange announcements with
 * @param manifestData the manifest and the data derived from it; null until it has
 * arrived
 * @param held the chunks held
 * @param chunksByPeer the chunks that each peer has announced
 * @param retryAtMillis when to request a chunk again that a reader did not have, by index
 * @param availableAtMillis when a chunk was first announced by a peer, by index
 * @param progressAtMillis when the manifest, or the last chunk from outside the region,
 * arrived
 * @param manifestSearch the state of the search for the manifest
 * @param announced the chunks that were last announced to the neighbours
 * @param announcedAtMillis when they were announced
 * @param rejected whether the version does not fit into the memory
 */
record Download(WeightsVersion version, List<InstanceLocation> members, Set<InstanceId> neighbours,
		ManifestData manifestData, ChunkSet held, Map<InstanceId, ChunkSet> chunksByPeer,
		Map<Integer, Long> retryAtMillis, Map<Integer, Long> availableAtMillis, long progressAtMillis,
		ManifestSearchState manifestSearch, ChunkSet announced, long announcedAtMillis, boolean rejected) {

	static Download of(WeightsVersion version, List<InstanceLocation> members, Set<InstanceId> neighbours) {
		return new Download(version, members, neighbours, null, ChunkSet.empty(), Map.of(), Map.of(), Map.of(), 0,
				new ManifestSearchState(0, 0, null), null, 0, false);
	}

	long manifestArrivedAtMillis() {
		return this.manifestData.arrivedAtMillis();
	}

	/**
	 * Returns whether chunks of the version may be fetched.
	 * @return whether its manifest has arrived and it fits into the memory
	 */
	boolean isActive() {
		return this.manifestData != null && !this.rejected;
	}

	boolean isComplete() {
		return isActive() && this.held.count() == this.manifestData.manifest().chunks().size();
	}

	List<Integer> indexesOf(Digest chunk) {
		return (this.manifestData != null) ? this.manifestData.indexes().getOrDefault(chunk, List.of()) : List.of();
	}

	Download withVersion(WeightsVersion changed) {
		return new Download(changed, this.members, this.neighbours, this.manifestData, this.held, this.chunksByPeer,
				this.retryAtMillis, this.availableAtMillis, this.progressAtMillis, this.manifestSearch, this.announced,
				this.announcedAtMillis, this.rejected);
	}

	Download withMembers(InstanceLocation own, List<InstanceLocation> changed, Set<InstanceId> changedNeighbours) {
		ManifestData updated = (this.manifestData != null)
				? ManifestData.of(own, changed, this.manifestData.manifest(), this.manifestData.arrivedAtMillis())
				: null;
		Map<InstanceId, ChunkSet> kept = new TreeMap<>(this.chunksByPeer);
		kept.keySet().removeIf((peer) -> changed.stream().noneMatch((member) -> member.instance().equals(peer)));
		return new Download(this.version, changed, changedNeighbours, updated, this.held, kept, this.retryAtMillis,
				this.availableAtMillis, this.progressAtMillis, this.manifestSearch, null, this.announcedAtMillis,
				this.rejected);
	}

	Download withManifestData(ManifestData arrived, ChunkSet present, long now) {
		return new Download(this.version, this.members, this.neighbours, arrived, present, this.chunksByPeer,
				this.retryAtMillis, this.availableAtMillis, now, this.manifestSearch, this.announced,
				this.announcedAtMillis, this.rejected);
	}

	Download withRejected(boolean changed) {
		return new Download(this.version, this.members, this.neighbours, this.manifestData, this.held,
				this.chunksByPeer, this.retryAtMillis, this.availableAtMillis, this.progressAtMillis,
				this.manifestSearch, this.announced, this.announcedAtMillis, changed);
	}

	Download withHeld(ChunkSet changed, long progress) {
		return new Download(this.version, this.members, this.neighbours, this.manifestData, changed, this.chunksByPeer,
				this.retryAtMillis, this.availableAtMillis, progress, this.manifestSearch, this.announced,
				this.announcedAtMillis, this.rejected);
	}

	Download withChunksByPeer(Map<InstanceId, ChunkSet> changed, Map<Integer, Long> changedAvailableAtMillis) {
		return new Download(this.version, this.members, this.neighbours, this.manifestData, this.held, changed,
				this.retryAtMillis, changedAvailableAtMillis, this.progressAtMillis, this.manifestSearch,
				this.announced, this.announcedAtMillis, this.rejected);
	}

	Download withChunksOfPeer(InstanceId peer, ChunkSet chunks) {
		Map<InstanceId, ChunkSet> changed = new TreeMap<>(this.chunksByPeer);
		changed.put(peer, chunks);
		return withChunksByPeer(changed, this.availableAtMillis);
	}

	Download withoutPeer(InstanceId peer) {
		Map<InstanceId, ChunkSet> changed = new TreeMap<>(this.chunksByPeer);
		changed.remove(peer);
		return withChunksByPeer(changed, this.availableAtMillis);
	}

	Download withRetryAt(int index, long millis) {
		Map<Integer, Long> changed = new TreeMap<>(this.retryAtMillis);
		changed.put(index, millis);
		return new Download(this.version, this.members, this.neighbours, this.manifestData, this.held,
				this.chunksByPeer, changed, this.availableAtMillis, this.progressAtMillis, this.manifestSearch,
				this.announced, this.announcedAtMillis, this.rejected);
	}

	Download withManifestSearch(ManifestSearchState changed) {
		return new Download(this.version, this.members, this.neighbours, this.manifestData, this.held,
				this.chunksByPeer, this.retryAtMillis, this.availableAtMillis, this.progressAtMillis, changed,
				this.announced, this.announcedAtMillis, this.rejected);
	}

	Download withAnnounced(ChunkSet sent, long now) {
		return new Download(this.version, this.members, this.neighbours, this.manifestData, this.held,
				this.chunksByPeer, this.retryAtMillis, this.availableAtMillis, this.progressAtMillis,
				this.manifestSearch, sent, now, this.rejected);
	}

	/**
	 * The state of the search for a manifest. Immutable.
	 *
	 * @param requestCount the number of requests sent
	 * @param notBeforeMillis when the next request may be sent
	 * @param hint a peer that is known to have the manifest; null for none
	 */
	record ManifestSearchState(int requestCount, long notBeforeMillis, InstanceId hint) {

	}

	/**
	 * A manifest and the data derived from it. Immutable.
	 *
	 * @param manifest the manifest
	 * @param indexes the indexes at which each chunk occurs
	 * @param readerRankings the readers of each chunk, by rank
	 * @param arrivedAtMillis when the manifest arrived
	 */
	record ManifestData(Manifest manifest, Map<Digest, List<Integer>> indexes, ReaderRankings readerRankings,
			long arrivedAtMillis) {

		static ManifestData of(InstanceLocation own, List<InstanceLocation> members, Manifest manifest,
				long arrivedAt) {
			Map<Digest, List<Integer>> indexes = new TreeMap<>();
			for (int i = 0; i < manifest.chunks().size(); i++) {
				indexes.computeIfAbsent(manifest.chunks().get(i), (chunk) -> new ArrayList<>()).add(i);
			}
			return new ManifestData(manifest, indexes, ReaderRankings.of(own, members, manifest), arrivedAt);
		}

	}

}
