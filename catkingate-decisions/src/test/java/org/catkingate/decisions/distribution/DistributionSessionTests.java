package org.catkingate.decisions.distribution;

import java.util.List;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

import org.catkingate.decisions.Effect;
import org.catkingate.model.Digest;

/**
 * Tests that a complete session of {@link DistributionReducer} matches its golden file.
 */
class DistributionSessionTests {

	private static final int DIGEST_PREFIX_LENGTH = 6;

	private final InstanceLocation own = Fixtures.member("own", "dc-1", "region-1");

	private final InstanceLocation near = Fixtures.member("near", "dc-1", "region-1");

	private final InstanceLocation far = Fixtures.member("far", "dc-9", "region-9");

	private final TestAgent agent = new TestAgent(
			Fixtures.settings(this.own, SourcePreference.ORIGIN_BYTES, Fixtures.AMPLE_BYTES, false));

	private final StringBuilder session = new StringBuilder();

	private void apply(DistributionEvent event) {
		record(event.toString(), this.agent.apply(event));
	}

	private void advance(long millis) {
		List<Effect> effects = List.copyOf(this.agent.advance(millis));
		record(millis + " ms pass", effects);
	}

	private void deliverAll(Source source) {
		List<DistributionEffect.RequestSlice> requests = TestAgent.requests(this.agent.effects, source);
		this.agent.effects.removeAll(requests);
		int before = this.agent.effects.size();
		requests.forEach(this.agent::deliver);
		record("slices requested from " + source + " arrive",
				List.copyOf(this.agent.effects.subList(before, this.agent.effects.size())));
	}

	private void record(String title, List<Effect> effects) {
		this.session.append(shortened(title)).append('\n');
		effects.forEach((effect) -> this.session.append("    ").append(shortened(effect.toString())).append('\n'));
	}

	private static String shortened(String text) {
		return text.replaceAll("([0-9a-f]{" + DIGEST_PREFIX_LENGTH + "})[0-9a-f]{58}", "$1")
			.replaceAll("FleetChanged\\[.*", "FleetChanged")
			.replaceAll("WeightsVersion\\[id=([^,]*),.*", "$1]")
			.replaceAll("manifest=Manifest\\[version=([^,]*),.*", "manifest=$1]");
	}

	@Test
	void replacesTheFirstVersionAndWithdrawsTheSecond() {
		List<InstanceLocation> members = List.of(this.own, this.near, this.far);
		Fixtures.Published first = Fixtures.published("1", 1, 2, 3, 4);
		Fixtures.Published second = Fixtures.published("2", 1, 2, 5);
		apply(new DistributionEvent.FleetChanged(Fixtures.fleet(members, first.version())));
		apply(new DistributionEvent.ManifestArrived(first.digest(), first.manifest()));
		apply(new DistributionEvent.PeerAnnounced(this.near.instance(), first.digest(), ChunkSet.empty().with(0)));
		Source nearSource = new Source.Peer(this.near.instance());
		Source farSource = new Source.Peer(this.far.instance());
		deliverAll(nearSource);
		deliverAll(farSource);
		deliverAll(farSource);
		advance(Limits.READER_TIMEOUT_MILLIS);
		apply(new DistributionEvent.SliceRejected(nearSource, Digest.of("chunk 4".getBytes()), 100));
		apply(new DistributionEvent.FleetChanged(Fixtures.fleet(members, second.version())));
		apply(new DistributionEvent.ManifestArrived(second.digest(), second.manifest()));
		advance(Limits.READER_TIMEOUT_MILLIS);
		advance(Limits.STALL_TIMEOUT_MILLIS + Limits.READER_TIMEOUT_MILLIS);
		deliverAll(new Source.Origin());
		deliverAll(new Source.Origin());
		apply(new DistributionEvent.FleetChanged(Fixtures.fleet(members)));
		Approvals.verify(this.session.toString());
	}

}
