package org.catkingate.decisions.distribution;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.ReductionResult;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;
import org.catkingate.model.Manifest;

/**
 * A mutable copy of the distribution state, on which one event is reduced, with the
 * effects added so far. Used by one thread for one event.
 */
final class MutableDistributionState {

	final DistributionSettings settings;

	final long now;

	final Map<Digest, Download> downloads;

	final Map<Digest, Transfer> transfers;

	final Map<Source, SourceState> sources;

	final Map<SourceDistance, Long> bytesByDistance;

	private final Map<Digest, Integer> heldBefore;

	private Map<Digest, Integer> heldAfter;

	private final List<Effect> effects = new ArrayList<>();

	private MutableDistributionState(DistributionState state, long now) {
		this.settings = state.settings();
		this.now = now;
		this.downloads = new TreeMap<>(state.downloads());
		this.transfers = new TreeMap<>(state.transfers());
		this.sources = new HashMap<>(state.sources());
		this.bytesByDistance = new EnumMap<>(SourceDistance.class);
		this.bytesByDistance.putAll(state.bytesByDistance());
		this.heldBefore = state.held();
	}

	static MutableDistributionState of(DistributionState state, long now) {
		return new MutableDistributionState(state, now);
	}

	ReductionResult<DistributionState> toResult() {
		return new ReductionResult<>(new DistributionState(this.settings, this.downloads, held(), this.transfers,
				this.sources, this.bytesByDistance), this.effects);
	}

	void add(DistributionEffect effect) {
		this.effects.add(effect);
	}

	Map<Digest, Integer> held() {
		return (this.heldAfter != null) ? this.heldAfter : this.heldBefore;
	}

	/**
	 * Returns the held chunks for modification. They are copied on the first call only,
	 * since most events do not change them.
	 * @return the size of each held chunk, in bytes
	 */
	Map<Digest, Integer> mutableHeld() {
		if (this.heldAfter == null) {
			this.heldAfter = new HashMap<>(this.heldBefore);
		}
		return this.heldAfter;
	}

	SourceState source(Source source) {
		return this.sources.getOrDefault(source, SourceState.initial());
	}

	void updateSource(Source source, UnaryOperator<SourceState> change) {
		this.sources.put(source, change.apply(source(source)));
	}

	void updateDownload(Digest manifest, UnaryOperator<Download> change) {
		this.downloads.computeIfPresent(manifest, (digest, download) -> change.apply(download));
	}

	boolean isUsable(InstanceId peer) {
		return source(new Source.Peer(peer)).isUsable(this.now);
	}

	boolean isSuspended(InstanceId peer) {
		return source(new Source.Peer(peer)).isSuspended(this.now);
	}

	int countTransfersFrom(Source source) {
		int count = 0;
		for (Transfer transfer : this.transfers.values()) {
			if (transfer.source().equals(source)) {
				count++;
			}
		}
		return count;
	}

	int countTransfersAt(SourceDistance distance) {
		int count = 0;
		for (Transfer transfer : this.transfers.values()) {
			if (transfer.distance() == distance) {
				count++;
			}
		}
		return count;
	}

	void abandonTransfer(Digest chunk) {
		if (this.transfers.remove(chunk) != null) {
			add(new DistributionEffect.ReleaseChunk(chunk));
		}
	}

	void abandonTransfersFrom(Source source) {
		List<Digest> chunks = new ArrayList<>();
		this.transfers.forEach((chunk, transfer) -> {
			if (transfer.source().equals(source) && !transfer.isComplete()) {
				chunks.add(chunk);
			}
		});
		chunks.forEach(this::abandonTransfer);
	}

	boolean isNeeded(Digest chunk) {
		for (Download download : this.downloads.values()) {
			if (!download.rejected() && !download.indexesOf(chunk).isEmpty()) {
				return true;
			}
		}
		return false;
	}

	long pageCount(Manifest manifest, int index) {
		return (manifest.sizeOf(index) + this.settings.pageBytes() - 1L) / this.settings.pageBytes();
	}

}
