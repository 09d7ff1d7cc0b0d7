package org.catkingate.decisions.distribution;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.catkingate.decisions.Rendezvous;
import org.catkingate.model.InstanceId;

/**
 * Chooses the source of one chunk, if it may be fetched now: a peer nearby that holds it;
 * else, for the first in rank of the region, the region whose turn it is, or the origin;
 * for the others, after a silence, the first in rank itself. Used by one thread for one
 * event.
 */
final class SourceChoice {

	private static final Source ORIGIN = new Source.Origin();

	private static final Source STORE = new Source.Store();

	private final Work work;

	private final Download download;

	private final Readers readers;

	private final boolean impatient;

	private SourceChoice(Work work, Download download, boolean impatient) {
		this.work = work;
		this.impatient = impatient;
		this.download = download;
		this.readers = download.content().readers();
	}

	/**
	 * Prepares a choice.
	 * @param work the state
	 * @param download the version
	 * @param impatient whether to read the origin rather than wait for another region
	 * @return the choice, never null
	 */
	static SourceChoice of(Work work, Download download, boolean impatient) {
		return new SourceChoice(work, download, impatient);
	}

	Optional<Choice> choose(int chunk) {
		Holders holders = holders(chunk);
		boolean wait = holders.dataCentreAlive && isNew(chunk);
		if (holders.dataCentre != null || wait) {
			return Optional.ofNullable(holders.dataCentre);
		}
		if (holders.regionAlive) {
			return Optional.ofNullable(mayCrossDataCentres(chunk) ? holders.region : null);
		}
		if (holders.dataCentreAlive) {
			return Optional.empty();
		}
		int rank = this.readers.rankInRegion(chunk, (member) -> !this.work.isSetAside(member.instance()));
		if (rank > 0) {
			return askReader(chunk, rank);
		}
		if (holders.far != null) {
			return Optional.of(holders.far);
		}
		return readForRegion(chunk, holders.farAlive);
	}

	private Holders holders(int chunk) {
		Holders holders = new Holders();
		for (Map.Entry<InstanceId, ChunkSet> entry : this.download.peers().entrySet()) {
			if (entry.getValue().contains(chunk) && !this.work.isSetAside(entry.getKey())) {
				holders.add(this, chunk, entry.getKey());
			}
		}
		return holders;
	}

	private long availableSince(int chunk) {
		return this.download.availableAt().getOrDefault(chunk, this.download.arrivedAtMillis());
	}

	private boolean isNew(int chunk) {
		return this.work.now - availableSince(chunk) < Limits.DATA_CENTRE_SILENCE_MILLIS;
	}

	private boolean mayCrossDataCentres(int chunk) {
		int rank = this.readers.rankInDataCentre(chunk, (member) -> !this.work.isSetAside(member.instance()));
		return this.work.now - availableSince(chunk) >= rank * Limits.DATA_CENTRE_SILENCE_MILLIS;
	}

	private Optional<Choice> askReader(int chunk, int rank) {
		long due = this.download.retryAt()
			.getOrDefault(chunk, this.download.progressAtMillis() + rank * Limits.SILENCE_MILLIS);
		if (this.work.now < due) {
			return Optional.empty();
		}
		return firstUsable(this.readers.inRegion(chunk));
	}

	private Optional<Choice> readForRegion(int chunk, boolean farHolderAlive) {
		if (!hasListened()) {
			return Optional.empty();
		}
		if (this.readers.isHome(chunk)) {
			Optional<Choice> upstream = upstream();
			return (upstream.isPresent() || isUpstreamWorking()) ? upstream : askElsewhere(chunk);
		}
		Optional<Choice> elsewhere = askElsewhere(chunk);
		if (elsewhere.isPresent()) {
			return elsewhere;
		}
		boolean wait = !this.impatient && (farHolderAlive || isHomeAlive(chunk)) && !isFarPatienceOver();
		return wait ? Optional.empty() : upstream();
	}

	/**
	 * Tells whether the neighbours have had the time to say what they hold, so that an
	 * instance that joins late does not read what is there already.
	 * @return whether all have, or it is too long ago
	 */
	private boolean hasListened() {
		return this.work.now - this.download.arrivedAtMillis() >= Limits.LISTEN_MILLIS
				|| this.download.peers().keySet().containsAll(this.download.neighbours());
	}

	private boolean isFarPatienceOver() {
		return this.work.now - this.download.progressAtMillis() > Limits.FAR_PATIENCE_MILLIS;
	}

	private boolean isHomeAlive(int chunk) {
		for (Member member : this.readers.elsewhere(chunk)) {
			if (member.region().equals(this.readers.home(chunk)) && !this.work.isSetAside(member.instance())) {
				return true;
			}
		}
		return false;
	}

	private Optional<Choice> askElsewhere(int chunk) {
		if (this.work.now < this.download.retryAt().getOrDefault(chunk, 0L)
				|| this.work.transfersAt(Distance.OTHER_REGION) >= Limits.TRANSFERS_UPSTREAM) {
			return Optional.empty();
		}
		return firstUsable(this.readers.elsewhere(chunk));
	}

	private Optional<Choice> firstUsable(List<Member> candidates) {
		for (Member member : candidates) {
			boolean other = !member.instance().equals(this.work.settings.own().instance());
			if (other && !this.work.isSetAside(member.instance())) {
				return Optional.ofNullable(choiceOf(member.instance()));
			}
		}
		return Optional.empty();
	}

	private Choice choiceOf(InstanceId peer) {
		Source source = new Source.Peer(peer);
		if (!this.work.isUsable(peer) || this.work.transfersFrom(source) >= Limits.TRANSFERS_PER_PEER) {
			return null;
		}
		return new Choice(source, distanceOf(peer));
	}

	private Distance distanceOf(InstanceId peer) {
		for (Member member : this.download.members()) {
			if (member.instance().equals(peer)) {
				return member.distanceTo(this.work.settings.own());
			}
		}
		return Distance.OTHER_REGION;
	}

	private boolean isUpstreamWorking() {
		return (this.work.settings.origin() && !this.work.source(ORIGIN).isSetAside(this.work.now))
				|| (this.work.settings.store() && !this.work.source(STORE).isSetAside(this.work.now));
	}

	private Optional<Choice> upstream() {
		Choice origin = this.work.settings.origin() ? upstream(ORIGIN, Distance.ORIGIN) : null;
		Choice store = this.work.settings.store() ? upstream(STORE, Distance.STORE) : null;
		if (this.work.settings.preference() == Preference.TIME) {
			return Optional.ofNullable((origin != null) ? origin : store);
		}
		boolean storeServes = this.work.settings.store() && this.work.source(STORE).isUsable(this.work.now);
		return Optional.ofNullable((store != null || storeServes) ? store : origin);
	}

	private Choice upstream(Source source, Distance distance) {
		boolean usable = this.work.source(source).isUsable(this.work.now);
		return (usable && this.work.transfersAt(distance) < Limits.TRANSFERS_UPSTREAM) ? new Choice(source, distance)
				: null;
	}

	private Choice better(int chunk, Choice one, Choice other) {
		if (one == null || other == null) {
			return (one != null) ? one : other;
		}
		int difference = this.work.transfersFrom(one.source()) - this.work.transfersFrom(other.source());
		if (difference != 0) {
			return (difference < 0) ? one : other;
		}
		long first = Rendezvous.score(chunk, Rendezvous.hash(one.source().toString()));
		long second = Rendezvous.score(chunk, Rendezvous.hash(other.source().toString()));
		return (first <= second) ? one : other;
	}

	/**
	 * A source that may be asked now. Immutable.
	 *
	 * @param source the source
	 * @param distance how far it is
	 */
	record Choice(Source source, Distance distance) {

	}

	/**
	 * The peers that hold a chunk: the least used of each distance, and whether there is
	 * any that is only busy.
	 */
	private static final class Holders {

		private Choice dataCentre;

		private Choice region;

		private Choice far;

		private boolean dataCentreAlive;

		private boolean regionAlive;

		private boolean farAlive;

		private void add(SourceChoice choice, int chunk, InstanceId peer) {
			Distance distance = choice.distanceOf(peer);
			Choice candidate = choice.choiceOf(peer);
			switch (distance) {
				case DATA_CENTRE -> {
					this.dataCentreAlive = true;
					this.dataCentre = choice.better(chunk, this.dataCentre, candidate);
				}
				case REGION -> {
					this.regionAlive = true;
					this.region = choice.better(chunk, this.region, candidate);
				}
				default -> {
					this.farAlive = true;
					boolean free = choice.work.transfersAt(Distance.OTHER_REGION) < Limits.TRANSFERS_UPSTREAM;
					this.far = free ? choice.better(chunk, this.far, candidate) : this.far;
				}
			}
		}

	}

}
