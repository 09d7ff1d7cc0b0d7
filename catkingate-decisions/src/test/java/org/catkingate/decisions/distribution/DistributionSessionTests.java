package org.catkingate.decisions.distribution;

import java.util.List;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

import org.catkingate.decisions.Effect;
import org.catkingate.model.Digest;

/**
 * A whole session of {@link DistributionReducer} as a golden file.
 */
class DistributionSessionTests {

	private static final int SHORT_DIGEST = 6;

	private final Member own = Fixtures.member("own", "dc-1", "region-1");

	private final Member near = Fixtures.member("near", "dc-1", "region-1");

	private final Member far = Fixtures.member("far", "dc-9", "region-9");

	private final AgentProbe agent = new AgentProbe(
			Fixtures.settings(this.own, Preference.ORIGIN_BYTES, Fixtures.AMPLE_BYTES, false));

	private final StringBuilder session = new StringBuilder();

	private void on(DistributionEvent event) {
		record(event.toString(), this.agent.on(event));
	}

	private void waitFor(long millis) {
		List<Effect> effects = List.copyOf(this.agent.waitFor(millis));
		record(millis + " ms pass", effects);
	}

	private void arriveAll(Source source) {
		List<DistributionEffect.RequestSlice> requests = AgentProbe.requests(this.agent.effects, source);
		this.agent.effects.removeAll(requests);
		int before = this.agent.effects.size();
		requests.forEach(this.agent::arrive);
		record("what was asked of " + source + " arrives",
				List.copyOf(this.agent.effects.subList(before, this.agent.effects.size())));
	}

	private void record(String title, List<Effect> effects) {
		this.session.append(shortened(title)).append('\n');
		effects.forEach((effect) -> this.session.append("    ").append(shortened(effect.toString())).append('\n'));
	}

	private static String shortened(String text) {
		return text.replaceAll("([0-9a-f]{" + SHORT_DIGEST + "})[0-9a-f]{58}", "$1")
			.replaceAll("FleetChanged\\[.*", "FleetChanged")
			.replaceAll("WeightsVersion\\[id=([^,]*),.*", "$1]")
			.replaceAll("manifest=Manifest\\[version=([^,]*),.*", "manifest=$1]");
	}

	@Test
	void fromTheFirstVersionOverTheNextToItsWithdrawal() {
		List<Member> members = List.of(this.own, this.near, this.far);
		Fixtures.Published first = Fixtures.published("1", 1, 2, 3, 4);
		Fixtures.Published second = Fixtures.published("2", 1, 2, 5);
		on(new DistributionEvent.FleetChanged(Fixtures.fleet(members, first.version())));
		on(new DistributionEvent.ManifestArrived(first.digest(), first.manifest()));
		on(new DistributionEvent.PeerAnnounced(this.near.instance(), first.digest(), ChunkSet.empty().with(0)));
		Source nearSource = new Source.Peer(this.near.instance());
		Source farSource = new Source.Peer(this.far.instance());
		arriveAll(nearSource);
		arriveAll(farSource);
		arriveAll(farSource);
		waitFor(Limits.SILENCE_MILLIS);
		on(new DistributionEvent.SliceRefused(nearSource, Digest.of("chunk 4".getBytes()), 100));
		on(new DistributionEvent.FleetChanged(Fixtures.fleet(members, second.version())));
		on(new DistributionEvent.ManifestArrived(second.digest(), second.manifest()));
		waitFor(Limits.SILENCE_MILLIS);
		waitFor(Limits.STALL_MILLIS + Limits.SILENCE_MILLIS);
		arriveAll(new Source.Origin());
		arriveAll(new Source.Origin());
		on(new DistributionEvent.FleetChanged(Fixtures.fleet(members)));
		Approvals.verify(this.session.toString());
	}

}
