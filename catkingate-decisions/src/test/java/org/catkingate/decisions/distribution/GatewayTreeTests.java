package org.catkingate.decisions.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.model.InstanceId;
import org.catkingate.model.RegionName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GatewayTree}.
 */
class GatewayTreeTests {

	private static final int REGIONS = 5;

	private static final int GATEWAYS_PER_REGION = 4;

	private static final int PIECES = 64;

	private static final RegionName ORIGIN_REGION = new RegionName("region-3");

	private final List<GatewayTree.Member> gateways = new ArrayList<>();

	GatewayTreeTests() {
		for (int region = 0; region < REGIONS; region++) {
			for (int i = 0; i < GATEWAYS_PER_REGION; i++) {
				this.gateways.add(new GatewayTree.Member(new InstanceId("gateway-" + region + "-" + i),
						new RegionName("region-" + region)));
			}
		}
	}

	private List<InstanceId> upstreams(int piece, GatewayTree.Member gateway) {
		List<GatewayTree.Member> others = this.gateways.stream().filter((other) -> !other.equals(gateway)).toList();
		return GatewayTree.upstreams("model/2/" + piece, gateway, others, Optional.of(ORIGIN_REGION));
	}

	private GatewayTree.Member member(InstanceId instance) {
		return this.gateways.stream()
			.filter((gateway) -> gateway.instance().equals(instance))
			.findFirst()
			.orElseThrow();
	}

	@Test
	void aGatewayWhoseRegionHasNoOtherAndThatKnowsNoneNearTheOriginReadsTheOrigin() {
		assertThat(GatewayTree.upstreams("p", this.gateways.get(0), List.of(), Optional.of(ORIGIN_REGION))).isEmpty();
		assertThat(GatewayTree.upstreams("p", this.gateways.get(0), List.of(), Optional.empty())).isEmpty();
	}

	/**
	 * The load pattern: a new version for a fleet in five regions with links between them
	 * that carry a copy or two in a second, and an origin that is slower still.
	 */
	@Nested
	class ANewVersion {

		// Guards against weights that cross a link between regions once for each loader
		// or
		// gateway, so that runners of the other regions lack them for half a minute.
		@Test
		void isTransferredIntoEachRegionOnceAndReadFromTheOriginOnce() {
			for (int piece = 0; piece < PIECES; piece++) {
				int originReads = 0;
				Map<RegionName, Integer> crossings = new HashMap<>();
				for (GatewayTree.Member gateway : GatewayTreeTests.this.gateways) {
					List<InstanceId> upstreams = upstreams(piece, gateway);
					if (upstreams.isEmpty()) {
						originReads++;
						assertThat(gateway.region()).isEqualTo(ORIGIN_REGION);
					}
					else if (!member(upstreams.get(0)).region().equals(gateway.region())) {
						crossings.merge(gateway.region(), 1, Integer::sum);
					}
				}
				assertThat(originReads).isEqualTo(1);
				assertThat(crossings).hasSize(REGIONS - 1).allSatisfy((region, count) -> assertThat(count).isOne());
			}
		}

		// Guards against one gateway whose link all transfers into or out of a region
		// share.
		@Test
		void isSpreadOverTheGatewaysOfARegion() {
			Map<InstanceId, Integer> requests = new HashMap<>();
			for (int piece = 0; piece < PIECES; piece++) {
				for (GatewayTree.Member gateway : GatewayTreeTests.this.gateways) {
					upstreams(piece, gateway).stream()
						.limit(1)
						.forEach((upstream) -> requests.merge(upstream, 1, Integer::sum));
				}
			}
			int busiest = requests.entrySet()
				.stream()
				.filter((entry) -> !member(entry.getKey()).region().equals(ORIGIN_REGION))
				.mapToInt(Map.Entry::getValue)
				.max()
				.orElseThrow();
			int mean = PIECES * (GATEWAYS_PER_REGION - 1) / GATEWAYS_PER_REGION;
			assertThat(busiest).isLessThan(2 * mean);
		}

		// Guards against a region that lacks the pieces of a gateway that is cut off.
		@Test
		void isStillTransferredIntoEachRegionOnceWithoutAGatewayThatDoesNotRespond() {
			GatewayTreeTests.this.gateways.remove(GATEWAYS_PER_REGION);
			isTransferredIntoEachRegionOnceAndReadFromTheOriginOnce();
		}

		// Guards against gateways that wait for each other.
		@Test
		void reachesEveryGatewayWithoutACycle() {
			for (int piece = 0; piece < PIECES; piece++) {
				for (GatewayTree.Member gateway : GatewayTreeTests.this.gateways) {
					GatewayTree.Member current = gateway;
					int hops = 0;
					while (!upstreams(piece, current).isEmpty()) {
						current = member(upstreams(piece, current).get(0));
						assertThat(++hops).isLessThanOrEqualTo(3);
					}
				}
			}
		}

	}

}
