package org.catkingate.decisions.distribution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.model.Digest;
import org.catkingate.model.Manifest;
import org.catkingate.model.RegionName;

/**
 * The rankings of the instances that are to read each chunk of a manifest: in the own
 * data centre, in the own region, and in the other regions. The first region in rank for
 * a chunk, its home region, reads it from the origin. Immutable and safe for use by any
 * thread.
 */
final class ReaderRankings {

	/** The rank of an instance that is not among the first {@link Limits#MAX_RANKS}. */
	static final int UNRANKED = Limits.MAX_RANKS;

	private final InstanceLocation own;

	private final List<Ranking> rankings;

	private ReaderRankings(InstanceLocation own, List<Ranking> rankings) {
		this.own = own;
		this.rankings = rankings;
	}

	static ReaderRankings of(InstanceLocation own, List<InstanceLocation> members, Manifest manifest) {
		Map<RegionName, List<InstanceLocation>> regions = new TreeMap<>();
		members.forEach((member) -> regions.computeIfAbsent(member.region(), (name) -> new ArrayList<>()).add(member));
		regions.putIfAbsent(own.region(), List.of(own));
		List<Ranking> rankings = new ArrayList<>();
		for (Digest chunk : manifest.chunks()) {
			rankings.add(ranking(RendezvousHashing.hash(chunk), own, regions));
		}
		return new ReaderRankings(own, List.copyOf(rankings));
	}

	private static Ranking ranking(long key, InstanceLocation own, Map<RegionName, List<InstanceLocation>> regions) {
		List<RegionName> regionsByRank = new ArrayList<>(regions.keySet());
		regionsByRank.sort(Comparator
			.comparingLong((region) -> RendezvousHashing.score(key, RendezvousHashing.hash(region.value()))));
		List<InstanceLocation> elsewhere = new ArrayList<>();
		for (RegionName region : regionsByRank) {
			if (!region.equals(own.region())) {
				elsewhere.addAll(
						RendezvousHashing.rank(key, regions.get(region), InstanceLocation::instance, Limits.MAX_RANKS));
			}
		}
		List<InstanceLocation> inRegion = regions.get(own.region());
		List<InstanceLocation> inDataCentre = inRegion.stream()
			.filter((member) -> member.dataCentre().equals(own.dataCentre()))
			.toList();
		return new Ranking(RendezvousHashing.rank(key, inDataCentre, InstanceLocation::instance, Limits.MAX_RANKS),
				RendezvousHashing.rank(key, inRegion, InstanceLocation::instance, Limits.MAX_RANKS),
				List.copyOf(elsewhere), regionsByRank.get(0));
	}

	int rankInDataCentre(int chunk, Predicate<InstanceLocation> usable) {
		return rank(this.rankings.get(chunk).dataCentre(), usable);
	}

	int rankInRegion(int chunk, Predicate<InstanceLocation> usable) {
		return rank(this.rankings.get(chunk).region(), usable);
	}

	/**
	 * Returns the rank of the own instance among the usable instances of a ranking.
	 * @param ranked the ranking
	 * @param usable whether an instance counts
	 * @return the rank; if the own instance is not in the ranking, 0 if none of the
	 * ranked instances is usable and {@link #UNRANKED} otherwise
	 */
	private int rank(List<InstanceLocation> ranked, Predicate<InstanceLocation> usable) {
		int rank = 0;
		for (InstanceLocation member : ranked) {
			if (member.instance().equals(this.own.instance())) {
				return rank;
			}
			if (usable.test(member)) {
				rank++;
			}
		}
		return (rank == 0) ? 0 : UNRANKED;
	}

	List<InstanceLocation> readersInRegion(int chunk) {
		return this.rankings.get(chunk).region();
	}

	List<InstanceLocation> readersInOtherRegions(int chunk) {
		return this.rankings.get(chunk).otherRegions();
	}

	RegionName homeRegion(int chunk) {
		return this.rankings.get(chunk).homeRegion();
	}

	boolean isInHomeRegion(int chunk) {
		return homeRegion(chunk).equals(this.own.region());
	}

	/**
	 * The rankings for one chunk. Immutable.
	 *
	 * @param dataCentre the first instances in the own data centre
	 * @param region the first instances in the own region
	 * @param otherRegions the first instances in each other region, those of the home
	 * region before others
	 * @param homeRegion the region that reads the chunk from the origin
	 */
	private record Ranking(List<InstanceLocation> dataCentre, List<InstanceLocation> region,
			List<InstanceLocation> otherRegions, RegionName homeRegion) {

	}

}
