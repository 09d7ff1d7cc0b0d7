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
 * All that one agent knows of the distribution. Immutable and safe for use by any thread.
 *
 * @since 0.1
 */
public final class DistributionState {

	private final DistributionSettings settings;

	private final Map<Digest, Download> downloads;

	private final Map<Digest, Integer> held;

	private final Map<Digest, Transfer> transfers;

	private final Map<Source, SourceState> sources;

	private final Map<Distance, Long> bytes;

	DistributionState(DistributionSettings settings, Map<Digest, Download> downloads, Map<Digest, Integer> held,
			Map<Digest, Transfer> transfers, Map<Source, SourceState> sources, Map<Distance, Long> bytes) {
		this.settings = Objects.requireNonNull(settings, "settings must not be null");
		this.downloads = Collections.unmodifiableMap(downloads);
		this.held = Collections.unmodifiableMap(held);
		this.transfers = Collections.unmodifiableMap(transfers);
		this.sources = Collections.unmodifiableMap(sources);
		this.bytes = Collections.unmodifiableMap(bytes);
	}

	/**
	 * Returns the state of an agent that has just started.
	 * @param settings what it knows of itself
	 * @return the state, never null
	 */
	public static DistributionState initial(DistributionSettings settings) {
		return new DistributionState(settings, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
	}

	/**
	 * Returns what the agent knows of itself.
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
	 * Counts the bytes of verified chunks by where they came from.
	 * @return the bytes by distance, without those of none
	 */
	public Map<Distance, Long> bytes() {
		return this.bytes;
	}

	/**
	 * Tells how far each wanted version has come.
	 * @return the progress by version
	 */
	public SortedMap<VersionId, Progress> progress() {
		SortedMap<VersionId, Progress> result = new TreeMap<>();
		this.downloads.values().forEach((download) -> result.put(download.version().id(), progressOf(download)));
		return result;
	}

	private static Progress progressOf(Download download) {
		if (download.content() == null) {
			return new Progress(0, 0, 0, false, 0);
		}
		int chunks = download.content().manifest().chunks().size();
		return new Progress(download.held().count(), chunks, download.content().manifest().totalBytes(),
				download.rejected(), download.arrivedAtMillis());
	}

	/**
	 * Tells whether anything is still on its way.
	 * @return whether some wanted version is neither whole nor refused
	 */
	public boolean isIncomplete() {
		return this.downloads.values().stream().anyMatch((download) -> !download.isComplete() && !download.rejected());
	}

	/**
	 * Sums up the sizes of the wanted versions whose manifests are known.
	 * @return the sum, in bytes
	 */
	public long wantedBytes() {
		long sum = 0;
		for (Download download : this.downloads.values()) {
			sum += download.isActive() ? download.content().manifest().totalBytes() : 0;
		}
		return sum;
	}

	/**
	 * Returns the chunks held of a manifest that is wanted.
	 * @param manifest the digest of the manifest's bytes
	 * @return the chunks, or empty if it is not wanted or has not arrived
	 */
	public Optional<ChunkSet> chunksHeld(Digest manifest) {
		Download download = this.downloads.get(manifest);
		return (download != null && download.content() != null) ? Optional.of(download.held()) : Optional.empty();
	}

	/**
	 * Finds a wanted manifest that fits and lists a chunk.
	 * @param chunk the chunk
	 * @return the digest of the manifest's bytes, or empty
	 */
	public Optional<Digest> manifestWith(Digest chunk) {
		for (Map.Entry<Digest, Download> entry : this.downloads.entrySet()) {
			if (!entry.getValue().rejected() && !entry.getValue().indexesOf(chunk).isEmpty()) {
				return Optional.of(entry.getKey());
			}
		}
		return Optional.empty();
	}

	/**
	 * How far a version has come. Immutable.
	 *
	 * @param chunksHeld how many chunks are held
	 * @param chunks how many there are, 0 while the manifest is unknown
	 * @param totalBytes the size of the whole, 0 while the manifest is unknown
	 * @param refused whether it does not fit into the memory
	 * @param manifestArrivedAtMillis when the manifest arrived, by the monotonic clock,
	 * in milliseconds
	 */
	public record Progress(int chunksHeld, int chunks, long totalBytes, boolean refused, long manifestArrivedAtMillis) {

		/**
		 * Estimates the time left, from how long the chunks held have taken.
		 * @param nowMillis the monotonic time, in milliseconds
		 * @return the time in milliseconds, 0 once all are held, -1 if there is nothing
		 * to go by
		 */
		public long estimatedRemainingMillis(long nowMillis) {
			int missing = this.chunks - this.chunksHeld;
			if (this.refused || this.chunksHeld == 0) {
				return -1;
			}
			return (nowMillis - this.manifestArrivedAtMillis) * missing / this.chunksHeld;
		}

	}

}
