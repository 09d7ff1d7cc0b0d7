package org.catkingate.decisions.distribution;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.model.InstanceId;
import org.catkingate.model.RegionName;

/**
 * The tree along which gateways pass on pieces of weights. For each piece, one gateway of
 * the origin's region reads from the origin; one gateway of each other region requests it
 * from there, so that it is transferred into a region once; and the other gateways
 * request it from the one of their region. These gateways are chosen by rendezvous hash,
 * so that the pieces are spread over them. Stateless and safe for use by any thread.
 *
 * @since 0.1
 */
public final class GatewayTree {

	private GatewayTree() {
	}

	/**
	 * Chooses the gateways to request a piece from.
	 * @param piece identifies the piece, the same text in all processes
	 * @param self this gateway
	 * @param connected the gateways to which this one is connected
	 * @param originRegion the region of the origin, empty if it is not known
	 * @return the gateways in the order in which to try them, empty to read from the
	 * origin
	 */
	public static List<InstanceId> upstreams(String piece, Member self, Collection<Member> connected,
			Optional<RegionName> originRegion) {
		Comparator<Member> byRank = Comparator.comparingLong((member) -> rank(piece, member));
		List<Member> better = connected.stream()
			.filter((member) -> member.region().equals(self.region()) && rank(piece, member) < rank(piece, self))
			.sorted(byRank)
			.toList();
		if (!better.isEmpty()) {
			return better.stream().map(Member::instance).toList();
		}
		if (originRegion.isEmpty() || originRegion.get().equals(self.region())) {
			return List.of();
		}
		return connected.stream()
			.filter((member) -> member.region().equals(originRegion.get()))
			.sorted(byRank)
			.map(Member::instance)
			.toList();
	}

	private static long rank(String piece, Member member) {
		return RendezvousHashing.hash(piece + "/" + member.instance().value());
	}

	/**
	 * A gateway.
	 *
	 * @param instance its instance
	 * @param region its region
	 */
	public record Member(InstanceId instance, RegionName region) {

		public Member {
			Objects.requireNonNull(instance, "instance must not be null");
			Objects.requireNonNull(region, "region must not be null");
		}

	}

}
