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

	private final InstanceLocation own = Fixtures.member("own", "dc-1", "region-1");

	private final InstanceLocation near = Fixtures.member("near", "dc-1", "region-1");

	private final InstanceLocation otherNear = Fixtures.member("other", "dc-1", "region-1");

	private final Source nearSource = new Source.Peer(this.near.instance());

	private final Source otherNearSource = new Source.Peer(this.otherNear.instance());

	private final Fixtures.Published published = Fixtures.published("1", 1, 2, 3, 4, 5, 6, 7, 8);

	private TestAgent agent = new TestAgent(
			Fixtures.settings(this.own, SourcePreference.TIME, Fixtures.AMPLE_BYTES, false));

	private void selectVersions(List<InstanceLocation> members, Fixtures.Published... wanted) {
		WeightsVersion[] versions = new WeightsVersion[wanted.length];
		for (int i = 0; i < wanted.length; i++) {
			versions[i] = wanted[i].version();
		}
		this.agent.apply(new DistributionEvent.FleetChanged(Fixtures.fleet(members, versions)));
		for (Fixtures.Published version : wanted) {
			this.agent.apply(new DistributionEvent.ManifestArrived(version.digest(), version.manifest()));
		}
		if (members.size() > 1) {
			this.agent.advance(Limits.ANNOUNCEMENT_TIMEOUT_MILLIS);
		}
	}

	private void announce(InstanceLocation peer, int... chunks) {
		ChunkSet set = ChunkSet.empty();
		for (int chunk : chunks) {
			set = set.with(chunk);
		}
		this.agent.apply(new DistributionEvent.PeerAnnounced(peer.instance(), this.published.digest(), set));
	}

	private List<Digest> startedChunks(Source source) {
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
		void readsTheCompleteVersionFromTheOrigin() {
			selectVersions(List.of(DistributionReducerTests.this.own), DistributionReducerTests.this.published);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			assertThat(DistributionReducerTests.this.agent.countHeld(DistributionReducerTests.this.published.digest()))
				.isEqualTo(8);
		}

		@Test
		void retriesTheOriginAfterAFailure() {
			selectVersions(List.of(DistributionReducerTests.this.own), DistributionReducerTests.this.published);
			Digest chunk = startedChunks(ORIGIN).get(0);
			DistributionReducerTests.this.agent.effects.clear();
			DistributionReducerTests.this.agent.apply(new DistributionEvent.SliceFailed(ORIGIN, chunk));
			DistributionReducerTests.this.agent.advance(Limits.INITIAL_BACKOFF_MILLIS - 100);
			assertThat(startedChunks(ORIGIN)).isEmpty();
			DistributionReducerTests.this.agent.advance(200);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			assertThat(DistributionReducerTests.this.agent.countHeld(DistributionReducerTests.this.published.digest()))
				.isEqualTo(8);
		}

		@Test
		void discardsAndRefetchesACorruptChunk() {
			selectVersions(List.of(DistributionReducerTests.this.own), DistributionReducerTests.this.published);
			List<DistributionEffect.RequestSlice> requests = TestAgent
				.requests(DistributionReducerTests.this.agent.effects, ORIGIN);
			Digest chunk = requests.get(0).chunk();
			int position = 0;
			while (position < requests.size()) {
				DistributionEffect.RequestSlice request = requests.get(position++);
				if (request.chunk().equals(chunk)) {
					List<Effect> effects = DistributionReducerTests.this.agent.apply(
							new DistributionEvent.SliceArrived(ORIGIN, chunk, request.offset(), request.length(), 1));
					requests.addAll(TestAgent.requests(effects, ORIGIN));
				}
			}
			DistributionReducerTests.this.agent.apply(new DistributionEvent.ChunkCorrupt(chunk));
			assertThat(DistributionReducerTests.this.agent.countHeld(DistributionReducerTests.this.published.digest()))
				.isZero();
			DistributionReducerTests.this.agent.effects.clear();
			DistributionReducerTests.this.agent.advance(Limits.INITIAL_BACKOFF_MILLIS + 100);
			assertThat(startedChunks(ORIGIN)).contains(chunk);
		}

	}

	@Nested
	class TheStore {

		@Test
		void isPreferredIfOriginBytesAreToBeSaved() {
			DistributionReducerTests.this.agent = new TestAgent(Fixtures.settings(DistributionReducerTests.this.own,
					SourcePreference.ORIGIN_BYTES, Fixtures.AMPLE_BYTES, true));
			selectVersions(List.of(DistributionReducerTests.this.own), DistributionReducerTests.this.published);
			assertThat(startedChunks(STORE)).isNotEmpty();
			assertThat(startedChunks(ORIGIN)).isEmpty();
		}

		@Test
		void isReplacedByTheOriginUntilItsRetryAfterHasPassed() {
			isPreferredIfOriginBytesAreToBeSaved();
			Digest chunk = startedChunks(STORE).get(0);
			DistributionReducerTests.this.agent.effects.clear();
			DistributionReducerTests.this.agent.apply(new DistributionEvent.SliceRejected(STORE, chunk, 5000));
			DistributionReducerTests.this.agent.advance(4900);
			assertThat(startedChunks(STORE)).isEmpty();
			assertThat(startedChunks(ORIGIN)).isNotEmpty();
		}

	}

	@Nested
	class WithPeers {

		@Test
		void theOriginIsNotReadBeforePeersCouldAnnounceTheirChunks() {
			List<InstanceLocation> members = List.of(DistributionReducerTests.this.own,
					DistributionReducerTests.this.near);
			Fixtures.Published published = DistributionReducerTests.this.published;
			DistributionReducerTests.this.agent
				.apply(new DistributionEvent.FleetChanged(Fixtures.fleet(members, published.version())));
			DistributionReducerTests.this.agent
				.apply(new DistributionEvent.ManifestArrived(published.digest(), published.manifest()));
			DistributionReducerTests.this.agent.advance(Limits.ANNOUNCEMENT_TIMEOUT_MILLIS - 100);
			assertThat(startedChunks(ORIGIN)).isEmpty();
			announce(DistributionReducerTests.this.near, 0, 1, 2, 3, 4, 5, 6, 7);
			DistributionReducerTests.this.agent.serve(DistributionReducerTests.this.nearSource);
			assertThat(DistributionReducerTests.this.agent.countHeld(published.digest())).isEqualTo(8);
			assertThat(startedChunks(ORIGIN)).isEmpty();
		}

		@Test
		void onlyTheFirstInRankReadsAChunkFromTheOrigin() {
			List<InstanceLocation> members = List.of(DistributionReducerTests.this.own,
					DistributionReducerTests.this.near, DistributionReducerTests.this.otherNear);
			ReaderRankings readers = ReaderRankings.of(DistributionReducerTests.this.own, members,
					DistributionReducerTests.this.published.manifest());
			selectVersions(members, DistributionReducerTests.this.published);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			ChunkSet held = DistributionReducerTests.this.agent.state
				.chunksHeld(DistributionReducerTests.this.published.digest())
				.orElseThrow();
			for (int i = 0; i < 8; i++) {
				boolean first = readers.readersInRegion(i).get(0).equals(DistributionReducerTests.this.own);
				assertThat(held.contains(i)).isEqualTo(first);
			}
		}

		@Test
		void theNextInRankTakesOverFromAReaderThatDoesNotRespond() {
			selectVersions(List.of(DistributionReducerTests.this.own, DistributionReducerTests.this.near),
					DistributionReducerTests.this.published);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			int before = DistributionReducerTests.this.agent
				.countHeld(DistributionReducerTests.this.published.digest());
			assertThat(before).isLessThan(8);
			DistributionReducerTests.this.agent
				.advance(Limits.READER_TIMEOUT_MILLIS + Limits.STALL_TIMEOUT_MILLIS + 500);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			assertThat(DistributionReducerTests.this.agent.countHeld(DistributionReducerTests.this.published.digest()))
				.isEqualTo(8);
		}

		@Test
		void theNextInRankTakesOverFromAReaderThatDoesNotWantTheVersion() {
			selectVersions(List.of(DistributionReducerTests.this.own, DistributionReducerTests.this.near),
					DistributionReducerTests.this.published);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			DistributionReducerTests.this.agent.advance(Limits.READER_TIMEOUT_MILLIS + 100);
			Digest requestedChunk = startedChunks(DistributionReducerTests.this.nearSource).get(0);
			DistributionReducerTests.this.agent.apply(
					new DistributionEvent.SliceRejected(DistributionReducerTests.this.nearSource, requestedChunk, 0));
			DistributionReducerTests.this.agent.serve(ORIGIN);
			assertThat(DistributionReducerTests.this.agent.countHeld(DistributionReducerTests.this.published.digest()))
				.isEqualTo(8);
		}

		@Test
		void aReaderThatRespondsIsNotReplaced() {
			selectVersions(List.of(DistributionReducerTests.this.own, DistributionReducerTests.this.near),
					DistributionReducerTests.this.published);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			int before = DistributionReducerTests.this.agent
				.countHeld(DistributionReducerTests.this.published.digest());
			for (int i = 0; i < 100; i++) {
				DistributionReducerTests.this.agent.advance(100);
				startedChunks(DistributionReducerTests.this.nearSource)
					.forEach((chunk) -> DistributionReducerTests.this.agent.apply(
							new DistributionEvent.SliceRejected(DistributionReducerTests.this.nearSource, chunk, 100)));
				DistributionReducerTests.this.agent.serve(ORIGIN);
			}
			assertThat(DistributionReducerTests.this.agent.countHeld(DistributionReducerTests.this.published.digest()))
				.isEqualTo(before);
		}

		@Test
		void aStalledPeerIsSuspendedAndReplacedByAnother() {
			selectVersions(List.of(DistributionReducerTests.this.own, DistributionReducerTests.this.near,
					DistributionReducerTests.this.otherNear), DistributionReducerTests.this.published);
			announce(DistributionReducerTests.this.near, 0, 1, 2, 3, 4, 5, 6, 7);
			DistributionReducerTests.this.agent.advance(100);
			assertThat(startedChunks(DistributionReducerTests.this.nearSource)).isNotEmpty();
			announce(DistributionReducerTests.this.otherNear, 0, 1, 2, 3, 4, 5, 6, 7);
			DistributionReducerTests.this.agent.serve(DistributionReducerTests.this.otherNearSource);
			DistributionReducerTests.this.agent.advance(Limits.STALL_TIMEOUT_MILLIS + 100);
			DistributionReducerTests.this.agent.serve(DistributionReducerTests.this.otherNearSource);
			assertThat(DistributionReducerTests.this.agent.countHeld(DistributionReducerTests.this.published.digest()))
				.isEqualTo(8);
		}

		@Test
		void aPeerThatLacksAnAnnouncedChunkIsSuspended() {
			selectVersions(List.of(DistributionReducerTests.this.own, DistributionReducerTests.this.near),
					DistributionReducerTests.this.published);
			announce(DistributionReducerTests.this.near, 0, 1, 2, 3, 4, 5, 6, 7);
			Digest chunk = startedChunks(DistributionReducerTests.this.nearSource).get(0);
			DistributionReducerTests.this.agent.effects.clear();
			DistributionReducerTests.this.agent
				.apply(new DistributionEvent.SliceRejected(DistributionReducerTests.this.nearSource, chunk, 0));
			DistributionReducerTests.this.agent.advance(Limits.FALSE_ANNOUNCEMENT_BACKOFF_MILLIS - 100);
			assertThat(startedChunks(DistributionReducerTests.this.nearSource)).isEmpty();
		}

		@Test
		void slicesFromAnotherPeerAreIgnored() {
			selectVersions(List.of(DistributionReducerTests.this.own, DistributionReducerTests.this.near,
					DistributionReducerTests.this.otherNear), DistributionReducerTests.this.published);
			announce(DistributionReducerTests.this.near, 0, 1, 2, 3, 4, 5, 6, 7);
			Digest chunk = startedChunks(DistributionReducerTests.this.nearSource).get(0);
			List<Effect> effects = DistributionReducerTests.this.agent.apply(new DistributionEvent.SliceArrived(
					DistributionReducerTests.this.otherNearSource, chunk, 0, Limits.SLICE_BYTES, 1));
			assertThat(effects).noneMatch((effect) -> effect instanceof DistributionEffect.VerifyChunk);
		}

	}

	@Nested
	class AnotherVersion {

		@Test
		void keepsTheChunksThatItSharesWithTheFirst() {
			Fixtures.Published next = Fixtures.published("2", 1, 2, 3, 4, 15, 16, 17, 18);
			selectVersions(List.of(DistributionReducerTests.this.own), DistributionReducerTests.this.published);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			selectVersions(List.of(DistributionReducerTests.this.own), next);
			assertThat(DistributionReducerTests.this.agent.countHeld(next.digest())).isEqualTo(4);
			assertThat(DistributionReducerTests.this.agent.effects.stream()
				.filter((effect) -> effect instanceof DistributionEffect.ReleaseChunk)).hasSize(4);
		}

		@Test
		void replacedDuringATransferLetsTheLastVersionComplete() {
			selectVersions(List.of(DistributionReducerTests.this.own), DistributionReducerTests.this.published);
			Fixtures.Published second = Fixtures.published("2", 1, 2, 13, 14);
			Fixtures.Published third = Fixtures.published("3", 1, 13, 23, 24);
			selectVersions(List.of(DistributionReducerTests.this.own), second);
			selectVersions(List.of(DistributionReducerTests.this.own), third);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			assertThat(DistributionReducerTests.this.agent.countHeld(third.digest())).isEqualTo(4);
			assertThat(DistributionReducerTests.this.agent.state.progress()).hasSize(1);
		}

		@Test
		void thatIsWithdrawnStopsImmediately() {
			selectVersions(List.of(DistributionReducerTests.this.own), DistributionReducerTests.this.published);
			DistributionReducerTests.this.agent.effects.clear();
			selectVersions(List.of(DistributionReducerTests.this.own));
			DistributionReducerTests.this.agent.advance(1000);
			assertThat(startedChunks(ORIGIN)).isEmpty();
			assertThat(DistributionReducerTests.this.agent.state.progress()).isEmpty();
		}

		@Test
		void thatDoesNotFitIsRejectedAndTheFirstContinues() {
			long oneVersion = 8L * 4 * Fixtures.PAGE_BYTES;
			DistributionReducerTests.this.agent = new TestAgent(
					Fixtures.settings(DistributionReducerTests.this.own, SourcePreference.TIME, oneVersion, false));
			Fixtures.Published next = Fixtures.published("2", 11, 12);
			selectVersions(List.of(DistributionReducerTests.this.own), DistributionReducerTests.this.published, next);
			assertThat(DistributionReducerTests.this.agent.effects).contains(new DistributionEffect.VersionRejected(
					next.version().id(), oneVersion + 2L * 4 * Fixtures.PAGE_BYTES, oneVersion));
			DistributionReducerTests.this.agent.serve(ORIGIN);
			assertThat(DistributionReducerTests.this.agent.countHeld(DistributionReducerTests.this.published.digest()))
				.isEqualTo(8);
			selectVersions(List.of(DistributionReducerTests.this.own), next);
			DistributionReducerTests.this.agent.serve(ORIGIN);
			assertThat(DistributionReducerTests.this.agent.countHeld(next.digest())).isEqualTo(2);
		}

	}

}
