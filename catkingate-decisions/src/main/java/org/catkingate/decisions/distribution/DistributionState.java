package org.catkingate.decisions.distribution;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.catkingate.model.Digest;
import org.catkingate.model.VersionId;

/**
 * The state of the distribution on one agent. Immutable and safe for use by any thread.
 *
 * @since 0.1
 */
public final class DistributionState {

	private final DistributionSettings settings;

	private final Map<Digest, Download> downloads;

	private final Map<Digest, Integer> held;

	private final Map<Digest, Transfer> transfers;

	private final Map<Source, SourceState> sources;

	private final Map<SourceDistance, Long> bytesByDistance;

	DistributionState(DistributionSettings settings, Map<Digest, Download> downloads, Map<Digest, Integer> held,
			Map<Digest, Transfer> transfers, Map<Source, SourceState> sources,
			Map<SourceDistance, Long> bytesByDistance) {
		this.settings = Objects.requireNonNull(settings, "settings must not be null");
		this.downloads = Collections.unmodifiableMap(downloads);
		this.held = Collections.unmodifiableMap(held);
		this.transfers = Collections.unmodifiableMap(transfers);
		this.sources = Collections.unmodifiableMap(sources);
		this.bytesByDistance = Collections.unmodifiableMap(bytesByDistance);
	}

	/**
	 * Returns the state of an agent that has just started.
	 * @param settings the settings of the agent
	 * @return the state, never null
	 */
	public static DistributionState initial(DistributionSettings settings) {
		return new DistributionState(settings, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
	}

	/**
	 * Returns the settings of the agent.
	 * @return the settings, never null
	 */
	public DistributionSettings settings() {
		return this.settings;
	}

	Map<Digest, Download> downloads() {
		return this.downloads;
	}

	Map<Digest, Integer> held() {
		return this.held;
	}

	Map<Digest, Transfer> transfers() {
		return this.transfers;
	}

	Map<Source, SourceState> sources() {
		return this.sources;
	}

	/**
	 * Returns the bytes of verified chunks received from each distance.
	 * @return the bytes by distance; distances without bytes are absent
	 */
	public Map<SourceDistance, Long> bytesByDistance() {
		return this.bytesByDistance;
	}

	/**
	 * Returns the progress of each wanted version.
	 * @return the progress by version
	 */
	public SortedMap<VersionId, Progress> progress() {
		SortedMap<VersionId, Progress> result = new TreeMap<>();
		this.downloads.values().forEach((download) -> result.put(download.version().id(), progressOf(download)));
		return result;
	}

	private static Progress progressOf(Download download) {
		if (download.manifestData() == null) {
			return new Progress(0, 0, 0, false, 0);
		}
		int chunks = download.manifestData().manifest().chunks().size();
		return new Progress(download.held().count(), chunks, download.manifestData().manifest().totalBytes(),
				download.rejected(), download.manifestArrivedAtMillis());
	}

	/**
	 * Returns whether the distribution to this agent is incomplete.
	 * @return whether some wanted version is neither complete nor rejected
	 */
	public boolean isIncomplete() {
		return this.downloads.values().stream().anyMatch((download) -> !download.isComplete() && !download.rejected());
	}

	/**
	 * Returns the total size of the wanted versions whose manifests are known and that
	 * fit into the memory.
	 * @return the total size, in bytes
	 */
	public long wantedBytes() {
		long sum = 0;
		for (Download download : this.downloads.values()) {
			sum += download.isActive() ? download.manifestData().manifest().totalBytes() : 0;
		}
		return sum;
	}

	/**
	 * Returns the chunks held of a wanted manifest.
	 * @param manifest the digest of the manifest's bytes
	 * @return the chunks, or empty if the manifest is not wanted or has not arrived
	 */
	public Optional<ChunkSet> chunksHeld(Digest manifest) {
		Download download = this.downloads.get(manifest);
		return (download != null && download.manifestData() != null) ? Optional.of(download.held()) : Optional.empty();
	}

	/**
	 * Finds a wanted manifest that lists a chunk and whose version fits into the memory.
	 * @param chunk the chunk
	 * @return the digest of the manifest's bytes, or empty
	 */
	public Optional<Digest> manifestContaining(Digest chunk) {
		for (Map.Entry<Digest, Download> entry : this.downloads.entrySet()) {
			if (!entry.getValue().rejected() && !entry.getValue().indexesOf(chunk).isEmpty()) {
				return Optional.of(entry.getKey());
			}
		}
		return Optional.empty();
	}

	/**
	 * The progress of one version, whose component names appear in the state that an
	 * agent shows to operators. Immutable.
	 *
	 * @param chunksHeld the number of chunks held
	 * @param chunks the number of chunks in the version, 0 while the manifest is unknown
	 * @param totalBytes the size of the version, in bytes, 0 while the manifest is
	 * unknown
	 * @param refused whether the version does not fit into the memory
	 * @param sinceMillis when the manifest arrived, in milliseconds of the monotonic
	 * clock
	 */
	public record Progress(int chunksHeld, int chunks, long totalBytes, boolean refused, long sinceMillis) {

		/**
		 * Estimates the remaining time from the time that the held chunks have taken.
		 * @param nowMillis the monotonic time, in milliseconds
		 * @return the time in milliseconds, 0 once all chunks are held, -1 if no estimate
		 * is possible
		 */
		public long estimatedRemainingMillis(long nowMillis) {
			int missing = this.chunks - this.chunksHeld;
			if (this.refused || this.chunksHeld == 0) {
				return -1;
			}
			return (nowMillis - this.sinceMillis) * missing / this.chunksHeld;
		}

	}

}
