package org.catkingate.decisions.distribution;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.decisions.Effect;
import org.catkingate.model.Digest;
import org.catkingate.model.published.WeightsVersion;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link DistributionReducer}.
 */
class DistributionReducerTests {

	private static final Source ORIGIN = new Source.Origin();

	private static final Source STORE = new Source.Store();

	private final Member own = Fixtures.member("own", "dc-1", "region-1");

	private final Member near = Fixtures.member("near", "dc-1", "region-1");

	private final Member other = Fixtures.member("other", "dc-1", "region-1");

	private final Source nearSource = new Source.Peer(this.near.instance());

	private final Source otherSource = new Source.Peer(this.other.instance());

	private final Fixtures.Published published = Fixtures.published("1", 1, 2, 3, 4, 5, 6, 7, 8);

	private AgentProbe agent = new AgentProbe(
			Fixtures.settings(this.own, Preference.TIME, Fixtures.AMPLE_BYTES, false));

	private void want(List<Member> members, Fixtures.Published... wanted) {
		WeightsVersion[] versions = new WeightsVersion[wanted.length];
		for (int i = 0; i < wanted.length; i++) {
			versions[i] = wanted[i].version();
		}
		this.agent.on(new DistributionEvent.FleetChanged(Fixtures.fleet(members, versions)));
		for (Fixtures.Published one : wanted) {
			this.agent.on(new DistributionEvent.ManifestArrived(one.digest(), one.manifest()));
		}
		if (members.size() > 1) {
			this.agent.waitFor(Limits.LISTEN_MILLIS);
		}
	}

	private void announce(Member peer, int... chunks) {
		ChunkSet set = ChunkSet.empty();
		for (int chunk : chunks) {
			set = set.with(chunk);
		}
		this.agent.on(new DistributionEvent.PeerAnnounced(peer.instance(), this.published.digest(), set));
	}

	private List<Digest> begun(Source source) {
		return this.agent.effects.stream()
			.filter((effect) -> effect instanceof DistributionEffect.BeginChunk)
			.map((effect) -> (DistributionEffect.BeginChunk) effect)
			.filter((begin) -> begin.source().equals(source))
			.map(DistributionEffect.BeginChunk::chunk)
			.toList();
	}

	@Nested
	class AnInstanceAloneInItsRegion {

		@Test
		void readsTheWholeVersionFromTheOrigin() {
			want(List.of(DistributionReducerTests.this.own), DistributionReducerTests.this.published);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			assertThat(DistributionReducerTests.this.agent.held(DistributionReducerTests.this.published.digest()))
				.isEqualTo(8);
		}

		@Test
		void comesBackToTheOriginAfterAFailure() {
			want(List.of(DistributionReducerTests.this.own), DistributionReducerTests.this.published);
			Digest chunk = begun(ORIGIN).get(0);
			DistributionReducerTests.this.agent.effects.clear();
			DistributionReducerTests.this.agent.on(new DistributionEvent.SliceFailed(ORIGIN, chunk));
			DistributionReducerTests.this.agent.waitFor(Limits.FIRST_BACKOFF_MILLIS - 100);
			assertThat(begun(ORIGIN)).isEmpty();
			DistributionReducerTests.this.agent.waitFor(200);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			assertThat(DistributionReducerTests.this.agent.held(DistributionReducerTests.this.published.digest()))
				.isEqualTo(8);
		}

		@Test
		void refetchesACorruptChunkAndKeepsNothingOfIt() {
			want(List.of(DistributionReducerTests.this.own), DistributionReducerTests.this.published);
			List<DistributionEffect.RequestSlice> requests = AgentProbe
				.requests(DistributionReducerTests.this.agent.effects, ORIGIN);
			Digest chunk = requests.get(0).chunk();
			int position = 0;
			while (position < requests.size()) {
				DistributionEffect.RequestSlice request = requests.get(position++);
				if (request.chunk().equals(chunk)) {
					List<Effect> effects = DistributionReducerTests.this.agent
						.on(new DistributionEvent.SliceArrived(ORIGIN, chunk, request.offset(), request.length(), 1));
					requests.addAll(AgentProbe.requests(effects, ORIGIN));
				}
			}
			DistributionReducerTests.this.agent.on(new DistributionEvent.ChunkCorrupt(chunk));
			assertThat(DistributionReducerTests.this.agent.held(DistributionReducerTests.this.published.digest()))
				.isZero();
			DistributionReducerTests.this.agent.effects.clear();
			DistributionReducerTests.this.agent.waitFor(Limits.FIRST_BACKOFF_MILLIS + 100);
			assertThat(begun(ORIGIN)).contains(chunk);
		}

	}

	@Nested
	class TheStore {

		@Test
		void isPreferredWhereOriginBytesMatter() {
			DistributionReducerTests.this.agent = new AgentProbe(Fixtures.settings(DistributionReducerTests.this.own,
					Preference.ORIGIN_BYTES, Fixtures.AMPLE_BYTES, true));
			want(List.of(DistributionReducerTests.this.own), DistributionReducerTests.this.published);
			assertThat(begun(STORE)).isNotEmpty();
			assertThat(begun(ORIGIN)).isEmpty();
		}

		@Test
		void isLeftAloneUntilItsRetryAfterAndReplacedByTheOrigin() {
			isPreferredWhereOriginBytesMatter();
			Digest chunk = begun(STORE).get(0);
			DistributionReducerTests.this.agent.effects.clear();
			DistributionReducerTests.this.agent.on(new DistributionEvent.SliceRefused(STORE, chunk, 5000));
			DistributionReducerTests.this.agent.waitFor(4900);
			assertThat(begun(STORE)).isEmpty();
			assertThat(begun(ORIGIN)).isNotEmpty();
		}

	}

	@Nested
	class WithPeers {

		@Test
		void theOriginIsNotReadBeforeTheyCouldSayWhatTheyHold() {
			List<Member> members = List.of(DistributionReducerTests.this.own, DistributionReducerTests.this.near);
			Fixtures.Published published = DistributionReducerTests.this.published;
			DistributionReducerTests.this.agent
				.on(new DistributionEvent.FleetChanged(Fixtures.fleet(members, published.version())));
			DistributionReducerTests.this.agent
				.on(new DistributionEvent.ManifestArrived(published.digest(), published.manifest()));
			DistributionReducerTests.this.agent.waitFor(Limits.LISTEN_MILLIS - 100);
			assertThat(begun(ORIGIN)).isEmpty();
			announce(DistributionReducerTests.this.near, 0, 1, 2, 3, 4, 5, 6, 7);
			DistributionReducerTests.this.agent.serve(DistributionReducerTests.this.nearSource);
			assertThat(DistributionReducerTests.this.agent.held(published.digest())).isEqualTo(8);
			assertThat(begun(ORIGIN)).isEmpty();
		}

		@Test
		void onlyTheFirstInRankReadsAChunkFromTheOrigin() {
			List<Member> members = List.of(DistributionReducerTests.this.own, DistributionReducerTests.this.near,
					DistributionReducerTests.this.other);
			Readers readers = Readers.of(DistributionReducerTests.this.own, members,
					DistributionReducerTests.this.published.manifest());
			want(members, DistributionReducerTests.this.published);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			ChunkSet held = DistributionReducerTests.this.agent.state
				.chunksHeld(DistributionReducerTests.this.published.digest())
				.orElseThrow();
			for (int i = 0; i < 8; i++) {
				boolean first = readers.inRegion(i).get(0).equals(DistributionReducerTests.this.own);
				assertThat(held.contains(i)).isEqualTo(first);
			}
		}

		@Test
		void theNextInRankTakesOverFromAReaderThatDoesNotAnswer() {
			want(List.of(DistributionReducerTests.this.own, DistributionReducerTests.this.near),
					DistributionReducerTests.this.published);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			int before = DistributionReducerTests.this.agent.held(DistributionReducerTests.this.published.digest());
			assertThat(before).isLessThan(8);
			DistributionReducerTests.this.agent.waitFor(Limits.SILENCE_MILLIS + Limits.STALL_MILLIS + 500);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			assertThat(DistributionReducerTests.this.agent.held(DistributionReducerTests.this.published.digest()))
				.isEqualTo(8);
		}

		@Test
		void theNextInRankTakesOverFromAReaderThatDoesNotWantTheVersion() {
			want(List.of(DistributionReducerTests.this.own, DistributionReducerTests.this.near),
					DistributionReducerTests.this.published);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			DistributionReducerTests.this.agent.waitFor(Limits.SILENCE_MILLIS + 100);
			Digest asked = begun(DistributionReducerTests.this.nearSource).get(0);
			DistributionReducerTests.this.agent
				.on(new DistributionEvent.SliceRefused(DistributionReducerTests.this.nearSource, asked, 0));
			DistributionReducerTests.this.agent.serve(ORIGIN);
			assertThat(DistributionReducerTests.this.agent.held(DistributionReducerTests.this.published.digest()))
				.isEqualTo(8);
		}

		@Test
		void aReaderThatAnswersIsNotOvertaken() {
			want(List.of(DistributionReducerTests.this.own, DistributionReducerTests.this.near),
					DistributionReducerTests.this.published);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			int before = DistributionReducerTests.this.agent.held(DistributionReducerTests.this.published.digest());
			for (int i = 0; i < 100; i++) {
				DistributionReducerTests.this.agent.waitFor(100);
				begun(DistributionReducerTests.this.nearSource).forEach((chunk) -> DistributionReducerTests.this.agent
					.on(new DistributionEvent.SliceRefused(DistributionReducerTests.this.nearSource, chunk, 100)));
				DistributionReducerTests.this.agent.serve(ORIGIN);
			}
			assertThat(DistributionReducerTests.this.agent.held(DistributionReducerTests.this.published.digest()))
				.isEqualTo(before);
		}

		@Test
		void aStalledPeerIsSetAsideAndAnotherTakesItsPlace() {
			want(List.of(DistributionReducerTests.this.own, DistributionReducerTests.this.near,
					DistributionReducerTests.this.other), DistributionReducerTests.this.published);
			announce(DistributionReducerTests.this.near, 0, 1, 2, 3, 4, 5, 6, 7);
			DistributionReducerTests.this.agent.waitFor(100);
			assertThat(begun(DistributionReducerTests.this.nearSource)).isNotEmpty();
			announce(DistributionReducerTests.this.other, 0, 1, 2, 3, 4, 5, 6, 7);
			DistributionReducerTests.this.agent.serve(DistributionReducerTests.this.otherSource);
			DistributionReducerTests.this.agent.waitFor(Limits.STALL_MILLIS + 100);
			DistributionReducerTests.this.agent.serve(DistributionReducerTests.this.otherSource);
			assertThat(DistributionReducerTests.this.agent.held(DistributionReducerTests.this.published.digest()))
				.isEqualTo(8);
		}

		@Test
		void aPeerThatLacksWhatItAnnouncedIsSetAside() {
			want(List.of(DistributionReducerTests.this.own, DistributionReducerTests.this.near),
					DistributionReducerTests.this.published);
			announce(DistributionReducerTests.this.near, 0, 1, 2, 3, 4, 5, 6, 7);
			Digest chunk = begun(DistributionReducerTests.this.nearSource).get(0);
			DistributionReducerTests.this.agent.effects.clear();
			DistributionReducerTests.this.agent
				.on(new DistributionEvent.SliceRefused(DistributionReducerTests.this.nearSource, chunk, 0));
			DistributionReducerTests.this.agent.waitFor(Limits.LIE_BACKOFF_MILLIS - 100);
			assertThat(begun(DistributionReducerTests.this.nearSource)).isEmpty();
		}

		@Test
		void slicesOfAnotherPeerAreNotTaken() {
			want(List.of(DistributionReducerTests.this.own, DistributionReducerTests.this.near,
					DistributionReducerTests.this.other), DistributionReducerTests.this.published);
			announce(DistributionReducerTests.this.near, 0, 1, 2, 3, 4, 5, 6, 7);
			Digest chunk = begun(DistributionReducerTests.this.nearSource).get(0);
			List<Effect> effects = DistributionReducerTests.this.agent.on(new DistributionEvent.SliceArrived(
					DistributionReducerTests.this.otherSource, chunk, 0, Limits.SLICE_BYTES, 1));
			assertThat(effects).noneMatch((effect) -> effect instanceof DistributionEffect.VerifyChunk);
		}

	}

	@Nested
	class AnotherVersion {

		@Test
		void inMidTransferKeepsTheChunksThatItShares() {
			Fixtures.Published next = Fixtures.published("2", 1, 2, 3, 4, 15, 16, 17, 18);
			want(List.of(DistributionReducerTests.this.own), DistributionReducerTests.this.published);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			want(List.of(DistributionReducerTests.this.own), next);
			assertThat(DistributionReducerTests.this.agent.held(next.digest())).isEqualTo(4);
			assertThat(DistributionReducerTests.this.agent.effects.stream()
				.filter((effect) -> effect instanceof DistributionEffect.ReleaseChunk)).hasSize(4);
		}

		@Test
		void twiceInMidTransferStillComes() {
			want(List.of(DistributionReducerTests.this.own), DistributionReducerTests.this.published);
			Fixtures.Published second = Fixtures.published("2", 1, 2, 13, 14);
			Fixtures.Published third = Fixtures.published("3", 1, 13, 23, 24);
			want(List.of(DistributionReducerTests.this.own), second);
			want(List.of(DistributionReducerTests.this.own), third);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			assertThat(DistributionReducerTests.this.agent.held(third.digest())).isEqualTo(4);
			assertThat(DistributionReducerTests.this.agent.state.progress()).hasSize(1);
		}

		@Test
		void thatIsWithdrawnStopsAtOnce() {
			want(List.of(DistributionReducerTests.this.own), DistributionReducerTests.this.published);
			DistributionReducerTests.this.agent.effects.clear();
			want(List.of(DistributionReducerTests.this.own));
			DistributionReducerTests.this.agent.waitFor(1000);
			assertThat(begun(ORIGIN)).isEmpty();
			assertThat(DistributionReducerTests.this.agent.state.progress()).isEmpty();
		}

		@Test
		void thatCannotFitIsRefusedAndTheFirstGoesOn() {
			long oneVersion = 8L * 4 * Fixtures.PAGE_BYTES;
			DistributionReducerTests.this.agent = new AgentProbe(
					Fixtures.settings(DistributionReducerTests.this.own, Preference.TIME, oneVersion, false));
			Fixtures.Published next = Fixtures.published("2", 11, 12);
			want(List.of(DistributionReducerTests.this.own), DistributionReducerTests.this.published, next);
			assertThat(DistributionReducerTests.this.agent.effects).contains(new DistributionEffect.VersionRefused(
					next.version().id(), oneVersion + 2L * 4 * Fixtures.PAGE_BYTES, oneVersion));
			DistributionReducerTests.this.agent.serve(ORIGIN);
			assertThat(DistributionReducerTests.this.agent.held(DistributionReducerTests.this.published.digest()))
				.isEqualTo(8);
			want(List.of(DistributionReducerTests.this.own), next);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			assertThat(DistributionReducerTests.this.agent.held(next.digest())).isEqualTo(2);
		}

	}

}
