package org.catkingate.decisions.distribution;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.model.InstanceId;

/**
 * A selector of the sources of a version's chunks, during one event. A nearby peer that
 * holds the chunk is preferred. Otherwise the first instance in rank of the region
 * fetches it from another region, the origin or the store, and the other instances
 * request it from that first instance after a time without progress that grows with their
 * rank. Used by one thread for one event.
 */
final class SourceSelector {

	private static final Source ORIGIN = new Source.Origin();

	private static final Source STORE = new Source.Store();

	private final MutableDistributionState state;

	private final Download download;

	private final ReaderRankings readerRankings;

	private final boolean withoutWaiting;

	private SourceSelector(MutableDistributionState state, Download download, boolean withoutWaiting) {
		this.state = state;
		this.withoutWaiting = withoutWaiting;
		this.download = download;
		this.readerRankings = download.manifestData().readerRankings();
	}

	/**
	 * Creates a selector for one version.
	 * @param state the state in which the event is reduced
	 * @param download the version
	 * @param withoutWaiting whether to read the origin rather than wait for another
	 * region
	 * @return the selector, never null
	 */
	static SourceSelector of(MutableDistributionState state, Download download, boolean withoutWaiting) {
		return new SourceSelector(state, download, withoutWaiting);
	}

	/**
	 * Chooses the source of a chunk.
	 * @param chunk the index of the chunk
	 * @return the source, or empty if the chunk must not be requested now
	 */
	Optional<Choice> choose(int chunk) {
		Holders holders = holders(chunk);
		boolean mustWait = holders.hasDataCentreHolder && isRecentlyAvailable(chunk);
		if (holders.dataCentre != null || mustWait) {
			return Optional.ofNullable(holders.dataCentre);
		}
		if (holders.hasRegionHolder) {
			return Optional.ofNullable(canCrossDataCentres(chunk) ? holders.region : null);
		}
		if (holders.hasDataCentreHolder) {
			return Optional.empty();
		}
		int rank = this.readerRankings.rankInRegion(chunk, (member) -> !this.state.isSuspended(member.instance()));
		if (rank > 0) {
			return chooseReader(chunk, rank);
		}
		if (holders.otherRegion != null) {
			return Optional.of(holders.otherRegion);
		}
		return chooseForRegion(chunk, holders.hasOtherRegionHolder);
	}

	private Holders holders(int chunk) {
		Holders holders = new Holders();
		for (Map.Entry<InstanceId, ChunkSet> entry : this.download.chunksByPeer().entrySet()) {
			if (entry.getValue().contains(chunk) && !this.state.isSuspended(entry.getKey())) {
				holders.add(this, chunk, entry.getKey());
			}
		}
		return holders;
	}

	private long availableSince(int chunk) {
		return this.download.availableAtMillis().getOrDefault(chunk, this.download.manifestArrivedAtMillis());
	}

	private boolean isRecentlyAvailable(int chunk) {
		return this.state.now - availableSince(chunk) < Limits.DATA_CENTRE_TIMEOUT_MILLIS;
	}

	private boolean canCrossDataCentres(int chunk) {
		int rank = this.readerRankings.rankInDataCentre(chunk, (member) -> !this.state.isSuspended(member.instance()));
		return this.state.now - availableSince(chunk) >= rank * Limits.DATA_CENTRE_TIMEOUT_MILLIS;
	}

	private Optional<Choice> chooseReader(int chunk, int rank) {
		long due = this.download.retryAtMillis()
			.getOrDefault(chunk, this.download.progressAtMillis() + rank * Limits.READER_TIMEOUT_MILLIS);
		if (this.state.now < due) {
			return Optional.empty();
		}
		return firstUsable(this.readerRankings.readersInRegion(chunk));
	}

	private Optional<Choice> chooseForRegion(int chunk, boolean hasOtherRegionHolder) {
		if (!isAnnouncementWaitOver()) {
			return Optional.empty();
		}
		if (this.readerRankings.isInHomeRegion(chunk)) {
			Optional<Choice> upstream = chooseUpstream();
			return (upstream.isPresent() || isUpstreamAvailable()) ? upstream : chooseOtherRegion(chunk);
		}
		Optional<Choice> otherRegion = chooseOtherRegion(chunk);
		if (otherRegion.isPresent()) {
			return otherRegion;
		}
		boolean mustWait = !this.withoutWaiting && (hasOtherRegionHolder || hasAvailableReaderInHomeRegion(chunk))
				&& !hasOtherRegionTimedOut();
		return mustWait ? Optional.empty() : chooseUpstream();
	}

	/**
	 * Returns whether the neighbours have had time to announce the chunks that they hold,
	 * so that an instance that joins late does not read chunks that the region already
	 * has.
	 * @return whether all neighbours have announced them, or the time to do so has passed
	 */
	private boolean isAnnouncementWaitOver() {
		return this.state.now - this.download.manifestArrivedAtMillis() >= Limits.ANNOUNCEMENT_TIMEOUT_MILLIS
				|| this.download.chunksByPeer().keySet().containsAll(this.download.neighbours());
	}

	private boolean hasOtherRegionTimedOut() {
		return this.state.now - this.download.progressAtMillis() > Limits.OTHER_REGION_TIMEOUT_MILLIS;
	}

	private boolean hasAvailableReaderInHomeRegion(int chunk) {
		for (InstanceLocation member : this.readerRankings.readersInOtherRegions(chunk)) {
			if (member.region().equals(this.readerRankings.homeRegion(chunk))
					&& !this.state.isSuspended(member.instance())) {
				return true;
			}
		}
		return false;
	}

	private Optional<Choice> chooseOtherRegion(int chunk) {
		if (this.state.now < this.download.retryAtMillis().getOrDefault(chunk, 0L)
				|| this.state.countTransfersAt(SourceDistance.OTHER_REGION) >= Limits.MAX_UPSTREAM_TRANSFERS) {
			return Optional.empty();
		}
		return firstUsable(this.readerRankings.readersInOtherRegions(chunk));
	}

	private Optional<Choice> firstUsable(List<InstanceLocation> candidates) {
		for (InstanceLocation member : candidates) {
			boolean isPeer = !member.instance().equals(this.state.settings.own().instance());
			if (isPeer && !this.state.isSuspended(member.instance())) {
				return Optional.ofNullable(choiceOf(member.instance()));
			}
		}
		return Optional.empty();
	}

	private Choice choiceOf(InstanceId peer) {
		Source source = new Source.Peer(peer);
		if (!this.state.isUsable(peer) || this.state.countTransfersFrom(source) >= Limits.MAX_TRANSFERS_PER_PEER) {
			return null;
		}
		return new Choice(source, distanceOf(peer));
	}

	private SourceDistance distanceOf(InstanceId peer) {
		for (InstanceLocation member : this.download.members()) {
			if (member.instance().equals(peer)) {
				return member.distanceTo(this.state.settings.own());
			}
		}
		return SourceDistance.OTHER_REGION;
	}

	private boolean isUpstreamAvailable() {
		return (this.state.settings.originConfigured() && !this.state.source(ORIGIN).isSuspended(this.state.now))
				|| (this.state.settings.storeConfigured() && !this.state.source(STORE).isSuspended(this.state.now));
	}

	private Optional<Choice> chooseUpstream() {
		Choice origin = this.state.settings.originConfigured() ? chooseUpstream(ORIGIN, SourceDistance.ORIGIN) : null;
		Choice store = this.state.settings.storeConfigured() ? chooseUpstream(STORE, SourceDistance.STORE) : null;
		if (this.state.settings.preference() == SourcePreference.TIME) {
			return Optional.ofNullable((origin != null) ? origin : store);
		}
		boolean storeServes = this.state.settings.storeConfigured()
				&& this.state.source(STORE).isUsable(this.state.now);
		return Optional.ofNullable((store != null || storeServes) ? store : origin);
	}

	private Choice chooseUpstream(Source source, SourceDistance distance) {
		boolean usable = this.state.source(source).isUsable(this.state.now);
		return (usable && this.state.countTransfersAt(distance) < Limits.MAX_UPSTREAM_TRANSFERS)
				? new Choice(source, distance) : null;
	}

	private Choice lessUsed(int chunk, Choice first, Choice second) {
		if (first == null || second == null) {
			return (first != null) ? first : second;
		}
		int difference = this.state.countTransfersFrom(first.source()) - this.state.countTransfersFrom(second.source());
		if (difference != 0) {
			return (difference < 0) ? first : second;
		}
		long firstScore = RendezvousHashing.score(chunk, RendezvousHashing.hash(first.source().toString()));
		long secondScore = RendezvousHashing.score(chunk, RendezvousHashing.hash(second.source().toString()));
		return (firstScore <= secondScore) ? first : second;
	}

	/**
	 * A source from which a chunk may be requested now. Immutable.
	 *
	 * @param source the source
	 * @param distance the distance of the source
	 */
	record Choice(Source source, SourceDistance distance) {

	}

	/**
	 * The peers that hold a chunk: the least used one at each distance that can be used
	 * now, and whether there is any at that distance, even if it is busy.
	 */
	private static final class Holders {

		private Choice dataCentre;

		private Choice region;

		private Choice otherRegion;

		private boolean hasDataCentreHolder;

		private boolean hasRegionHolder;

		private boolean hasOtherRegionHolder;

		private void add(SourceSelector selector, int chunk, InstanceId peer) {
			SourceDistance distance = selector.distanceOf(peer);
			Choice candidate = selector.choiceOf(peer);
			switch (distance) {
				case DATA_CENTRE -> {
					this.hasDataCentreHolder = true;
					this.dataCentre = selector.lessUsed(chunk, this.dataCentre, candidate);
				}
				case REGION -> {
					this.hasRegionHolder = true;
					this.region = selector.lessUsed(chunk, this.region, candidate);
				}
				default -> {
					this.hasOtherRegionHolder = true;
					boolean free = selector.state
						.countTransfersAt(SourceDistance.OTHER_REGION) < Limits.MAX_UPSTREAM_TRANSFERS;
					this.otherRegion = free ? selector.lessUsed(chunk, this.otherRegion, candidate) : this.otherRegion;
				}
			}
		}

	}

}
