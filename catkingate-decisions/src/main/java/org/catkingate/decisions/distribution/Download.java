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
 * @param content the manifest and the data derived from it; null until it has arrived
 * @param held the chunks held
 * @param peers the chunks that each peer has announced
 * @param retryAt when to request a chunk again that a reader did not have, by index
 * @param availableAt when a chunk was first announced by a peer, by index
 * @param progressAtMillis when the manifest, or the last chunk from outside the region,
 * arrived
 * @param manifestLookup the state of the search for the manifest
 * @param announced the chunks that were last announced to the neighbours
 * @param announcedAtMillis when they were announced
 * @param rejected whether the version does not fit into the memory
 */
record Download(WeightsVersion version, List<InstanceLocation> members, Set<InstanceId> neighbours, Content content,
		ChunkSet held, Map<InstanceId, ChunkSet> peers, Map<Integer, Long> retryAt, Map<Integer, Long> availableAt,
		long progressAtMillis, ManifestLookup manifestLookup, ChunkSet announced, long announcedAtMillis,
		boolean rejected) {

	static Download of(WeightsVersion version, List<InstanceLocation> members, Set<InstanceId> neighbours) {
		return new Download(version, members, neighbours, null, ChunkSet.empty(), Map.of(), Map.of(), Map.of(), 0,
				new ManifestLookup(0, 0, null), null, 0, false);
	}

	long arrivedAtMillis() {
		return this.content.arrivedAtMillis();
	}

	boolean isActive() {
		return this.content != null && !this.rejected;
	}

	boolean isComplete() {
		return isActive() && this.held.count() == this.content.manifest().chunks().size();
	}

	List<Integer> indexesOf(Digest chunk) {
		return (this.content != null) ? this.content.indexes().getOrDefault(chunk, List.of()) : List.of();
	}

	Download withVersion(WeightsVersion changed) {
		return new Download(changed, this.members, this.neighbours, this.content, this.held, this.peers, this.retryAt,
				this.availableAt, this.progressAtMillis, this.manifestLookup, this.announced, this.announcedAtMillis,
				this.rejected);
	}

	Download withMembers(InstanceLocation own, List<InstanceLocation> changed, Set<InstanceId> changedNeighbours) {
		Content updated = (this.content != null)
				? Content.of(own, changed, this.content.manifest(), this.content.arrivedAtMillis()) : null;
		Map<InstanceId, ChunkSet> kept = new TreeMap<>(this.peers);
		kept.keySet().removeIf((peer) -> changed.stream().noneMatch((member) -> member.instance().equals(peer)));
		return new Download(this.version, changed, changedNeighbours, updated, this.held, kept, this.retryAt,
				this.availableAt, this.progressAtMillis, this.manifestLookup, null, this.announcedAtMillis,
				this.rejected);
	}

	Download withContent(Content arrived, ChunkSet present, long now) {
		return new Download(this.version, this.members, this.neighbours, arrived, present, this.peers, this.retryAt,
				this.availableAt, now, this.manifestLookup, this.announced, this.announcedAtMillis, this.rejected);
	}

	Download withRejected(boolean changed) {
		return new Download(this.version, this.members, this.neighbours, this.content, this.held, this.peers,
				this.retryAt, this.availableAt, this.progressAtMillis, this.manifestLookup, this.announced,
				this.announcedAtMillis, changed);
	}

	Download withHeld(ChunkSet changed, long progress) {
		return new Download(this.version, this.members, this.neighbours, this.content, changed, this.peers,
				this.retryAt, this.availableAt, progress, this.manifestLookup, this.announced, this.announcedAtMillis,
				this.rejected);
	}

	Download withPeers(Map<InstanceId, ChunkSet> changed, Map<Integer, Long> changedAvailableAt) {
		return new Download(this.version, this.members, this.neighbours, this.content, this.held, changed, this.retryAt,
				changedAvailableAt, this.progressAtMillis, this.manifestLookup, this.announced, this.announcedAtMillis,
				this.rejected);
	}

	Download withPeer(InstanceId peer, ChunkSet chunks) {
		Map<InstanceId, ChunkSet> changed = new TreeMap<>(this.peers);
		changed.put(peer, chunks);
		return withPeers(changed, this.availableAt);
	}

	Download withoutPeer(InstanceId peer) {
		Map<InstanceId, ChunkSet> changed = new TreeMap<>(this.peers);
		changed.remove(peer);
		return withPeers(changed, this.availableAt);
	}

	Download withRetryAt(int index, long millis) {
		Map<Integer, Long> changed = new TreeMap<>(this.retryAt);
		changed.put(index, millis);
		return new Download(this.version, this.members, this.neighbours, this.content, this.held, this.peers, changed,
				this.availableAt, this.progressAtMillis, this.manifestLookup, this.announced, this.announcedAtMillis,
				this.rejected);
	}

	Download withManifestLookup(ManifestLookup changed) {
		return new Download(this.version, this.members, this.neighbours, this.content, this.held, this.peers,
				this.retryAt, this.availableAt, this.progressAtMillis, changed, this.announced, this.announcedAtMillis,
				this.rejected);
	}

	Download withAnnounced(ChunkSet sent, long now) {
		return new Download(this.version, this.members, this.neighbours, this.content, this.held, this.peers,
				this.retryAt, this.availableAt, this.progressAtMillis, this.manifestLookup, sent, now, this.rejected);
	}

	/**
	 * The state of the search for a manifest. Immutable.
	 *
	 * @param requestCount the number of requests sent
	 * @param notBeforeMillis when the next request may be sent
	 * @param hint a peer that is known to have the manifest; null for none
	 */
	record ManifestLookup(int requestCount, long notBeforeMillis, InstanceId hint) {

	}

	/**
	 * A manifest and the data derived from it. Immutable.
	 *
	 * @param manifest the manifest
	 * @param indexes the indexes at which each chunk occurs
	 * @param readerRankings the readers of each chunk, by rank
	 * @param arrivedAtMillis when the manifest arrived
	 */
	record Content(Manifest manifest, Map<Digest, List<Integer>> indexes, ReaderRankings readerRankings,
			long arrivedAtMillis) {

		static Content of(InstanceLocation own, List<InstanceLocation> members, Manifest manifest, long arrivedAt) {
			Map<Digest, List<Integer>> indexes = new TreeMap<>();
			for (int i = 0; i < manifest.chunks().size(); i++) {
				indexes.computeIfAbsent(manifest.chunks().get(i), (chunk) -> new ArrayList<>()).add(i);
			}
			return new Content(manifest, indexes, ReaderRankings.of(own, members, manifest), arrivedAt);
		}

	}

}
