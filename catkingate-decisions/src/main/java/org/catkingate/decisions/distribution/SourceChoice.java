package org.catkingate.decisions.distribution;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.model.InstanceId;

/**
 * The choice of the source of one chunk, if it may be fetched now. A nearby peer that
 * holds the chunk is preferred. Otherwise the first instance in rank of the region
 * fetches it from another region, the origin or the store, and the other instances
 * request it from that first instance after a time without progress that grows with their
 * rank. Used by one thread for one event.
 */
final class SourceChoice {

	private static final Source ORIGIN = new Source.Origin();

	private static final Source STORE = new Source.Store();

	private final ReductionContext context;

	private final Download download;

	private final ReaderRankings readerRankings;

	private final boolean withoutWaiting;

	private SourceChoice(ReductionContext context, Download download, boolean withoutWaiting) {
		this.context = context;
		this.withoutWaiting = withoutWaiting;
		this.download = download;
		this.readerRankings = download.content().readerRankings();
	}

	/**
	 * Creates a choice for one version.
	 * @param context the context of the reduction
	 * @param download the version
	 * @param withoutWaiting whether to read the origin rather than wait for another
	 * region
	 * @return the choice, never null
	 */
	static SourceChoice of(ReductionContext context, Download download, boolean withoutWaiting) {
		return new SourceChoice(context, download, withoutWaiting);
	}

	Optional<Choice> choose(int chunk) {
		Holders holders = holders(chunk);
		boolean wait = holders.dataCentreAlive && isRecentlyAvailable(chunk);
		if (holders.dataCentre != null || wait) {
			return Optional.ofNullable(holders.dataCentre);
		}
		if (holders.regionAlive) {
			return Optional.ofNullable(canCrossDataCentres(chunk) ? holders.region : null);
		}
		if (holders.dataCentreAlive) {
			return Optional.empty();
		}
		int rank = this.readerRankings.rankInRegion(chunk, (member) -> !this.context.isSuspended(member.instance()));
		if (rank > 0) {
			return chooseReader(chunk, rank);
		}
		if (holders.otherRegion != null) {
			return Optional.of(holders.otherRegion);
		}
		return chooseForRegion(chunk, holders.otherRegionAlive);
	}

	private Holders holders(int chunk) {
		Holders holders = new Holders();
		for (Map.Entry<InstanceId, ChunkSet> entry : this.download.peers().entrySet()) {
			if (entry.getValue().contains(chunk) && !this.context.isSuspended(entry.getKey())) {
				holders.add(this, chunk, entry.getKey());
			}
		}
		return holders;
	}

	private long availableSince(int chunk) {
		return this.download.availableAt().getOrDefault(chunk, this.download.arrivedAtMillis());
	}

	private boolean isRecentlyAvailable(int chunk) {
		return this.context.now - availableSince(chunk) < Limits.DATA_CENTRE_TIMEOUT_MILLIS;
	}

	private boolean canCrossDataCentres(int chunk) {
		int rank = this.readerRankings.rankInDataCentre(chunk,
				(member) -> !this.context.isSuspended(member.instance()));
		return this.context.now - availableSince(chunk) >= rank * Limits.DATA_CENTRE_TIMEOUT_MILLIS;
	}

	private Optional<Choice> chooseReader(int chunk, int rank) {
		long due = this.download.retryAt()
			.getOrDefault(chunk, this.download.progressAtMillis() + rank * Limits.READER_TIMEOUT_MILLIS);
		if (this.context.now < due) {
			return Optional.empty();
		}
		return firstUsable(this.readerRankings.readersInRegion(chunk));
	}

	private Optional<Choice> chooseForRegion(int chunk, boolean otherRegionAlive) {
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
		boolean wait = !this.withoutWaiting && (otherRegionAlive || isHomeRegionAlive(chunk))
				&& !hasOtherRegionTimedOut();
		return wait ? Optional.empty() : chooseUpstream();
	}

	/**
	 * Returns whether the neighbours have had time to announce the chunks that they hold,
	 * so that an instance that joins late does not read chunks that the region already
	 * has.
	 * @return whether all neighbours have announced them, or the time to do so has passed
	 */
	private boolean isAnnouncementWaitOver() {
		return this.context.now - this.download.arrivedAtMillis() >= Limits.ANNOUNCEMENT_TIMEOUT_MILLIS
				|| this.download.peers().keySet().containsAll(this.download.neighbours());
	}

	private boolean hasOtherRegionTimedOut() {
		return this.context.now - this.download.progressAtMillis() > Limits.OTHER_REGION_TIMEOUT_MILLIS;
	}

	private boolean isHomeRegionAlive(int chunk) {
		for (InstanceLocation member : this.readerRankings.readersInOtherRegions(chunk)) {
			if (member.region().equals(this.readerRankings.homeRegion(chunk))
					&& !this.context.isSuspended(member.instance())) {
				return true;
			}
		}
		return false;
	}

	private Optional<Choice> chooseOtherRegion(int chunk) {
		if (this.context.now < this.download.retryAt().getOrDefault(chunk, 0L)
				|| this.context.countTransfersAt(SourceDistance.OTHER_REGION) >= Limits.MAX_UPSTREAM_TRANSFERS) {
			return Optional.empty();
		}
		return firstUsable(this.readerRankings.readersInOtherRegions(chunk));
	}

	private Optional<Choice> firstUsable(List<InstanceLocation> candidates) {
		for (InstanceLocation member : candidates) {
			boolean other = !member.instance().equals(this.context.settings.own().instance());
			if (other && !this.context.isSuspended(member.instance())) {
				return Optional.ofNullable(choiceOf(member.instance()));
			}
		}
		return Optional.empty();
	}

	private Choice choiceOf(InstanceId peer) {
		Source source = new Source.Peer(peer);
		if (!this.context.isUsable(peer) || this.context.countTransfersFrom(source) >= Limits.MAX_TRANSFERS_PER_PEER) {
			return null;
		}
		return new Choice(source, distanceOf(peer));
	}

	private SourceDistance distanceOf(InstanceId peer) {
		for (InstanceLocation member : this.download.members()) {
			if (member.instance().equals(peer)) {
				return member.distanceTo(this.context.settings.own());
			}
		}
		return SourceDistance.OTHER_REGION;
	}

	private boolean isUpstreamAvailable() {
		return (this.context.settings.origin() && !this.context.source(ORIGIN).isSuspended(this.context.now))
				|| (this.context.settings.store() && !this.context.source(STORE).isSuspended(this.context.now));
	}

	private Optional<Choice> chooseUpstream() {
		Choice origin = this.context.settings.origin() ? chooseUpstream(ORIGIN, SourceDistance.ORIGIN) : null;
		Choice store = this.context.settings.store() ? chooseUpstream(STORE, SourceDistance.STORE) : null;
		if (this.context.settings.preference() == SourcePreference.TIME) {
			return Optional.ofNullable((origin != null) ? origin : store);
		}
		boolean storeServes = this.context.settings.store() && this.context.source(STORE).isUsable(this.context.now);
		return Optional.ofNullable((store != null || storeServes) ? store : origin);
	}

	private Choice chooseUpstream(Source source, SourceDistance distance) {
		boolean usable = this.context.source(source).isUsable(this.context.now);
		return (usable && this.context.countTransfersAt(distance) < Limits.MAX_UPSTREAM_TRANSFERS)
				? new Choice(source, distance) : null;
	}

	private Choice lessUsed(int chunk, Choice one, Choice other) {
		if (one == null || other == null) {
			return (one != null) ? one : other;
		}
		int difference = this.context.countTransfersFrom(one.source())
				- this.context.countTransfersFrom(other.source());
		if (difference != 0) {
			return (difference < 0) ? one : other;
		}
		long first = RendezvousHashing.score(chunk, RendezvousHashing.hash(one.source().toString()));
		long second = RendezvousHashing.score(chunk, RendezvousHashing.hash(other.source().toString()));
		return (first <= second) ? one : other;
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

		private boolean dataCentreAlive;

		private boolean regionAlive;

		private boolean otherRegionAlive;

		private void add(SourceChoice choice, int chunk, InstanceId peer) {
			SourceDistance distance = choice.distanceOf(peer);
			Choice candidate = choice.choiceOf(peer);
			switch (distance) {
				case DATA_CENTRE -> {
					this.dataCentreAlive = true;
					this.dataCentre = choice.lessUsed(chunk, this.dataCentre, candidate);
				}
				case REGION -> {
					this.regionAlive = true;
					this.region = choice.lessUsed(chunk, this.region, candidate);
				}
				default -> {
					this.otherRegionAlive = true;
					boolean free = choice.context
						.countTransfersAt(SourceDistance.OTHER_REGION) < Limits.MAX_UPSTREAM_TRANSFERS;
					this.otherRegion = free ? choice.lessUsed(chunk, this.otherRegion, candidate) : this.otherRegion;
				}
			}
		}

	}

}
