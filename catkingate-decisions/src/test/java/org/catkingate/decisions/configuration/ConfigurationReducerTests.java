package org.catkingate.decisions.configuration;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.decisions.reading.ReadPace;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.Digest;
import org.catkingate.model.published.ConfigurationBundle;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationReducer}.
 */
class ConfigurationReducerTests {

	private static final ConfigurationBundle REVISION_1 = ConfigurationSession.bundle(1, "a", "b");

	private static final ConfigurationBundle REVISION_2 = ConfigurationSession.bundle(2, "a", "c");

	private static final ConfigurationBundle INVALID_REVISION_3 = ConfigurationBundle.of(3,
			List.of("[group a]\nselectr = *\n"));

	private final ConfigurationSession session = ConfigurationSession.started();

	@Nested
	class ALowerVersion {

		@Test
		void fromAStaleServiceIsNeverAdopted() {
			ConfigurationReducerTests.this.session.publish(REVISION_2).publish(REVISION_1);
			assertThat(ConfigurationReducerTests.this.session.revision()).isEqualTo(2);
			assertThat(ConfigurationReducerTests.this.session.state().lowerVersionReads()).isEqualTo(1);
		}

		@Test
		void fromALaggingPeerIsNeitherPulledNorAdopted() {
			ConfigurationReducerTests.this.session.publish(REVISION_2)
				.offer(7, REVISION_1)
				.advance(5000)
				.send(7, REVISION_1);
			assertThat(ConfigurationReducerTests.this.session.revision()).isEqualTo(2);
			assertThat(ConfigurationReducerTests.this.session.effects(ConfigurationEffect.PullVersion.class)).isEmpty();
		}

		@Test
		void whosePartsArriveAfterThoseOfAHigherOneIsDropped() {
			ConfigurationReducerTests.this.session.apply(new ConfigurationEvent.HeadRead(1, REVISION_1.head()))
				.publish(REVISION_2);
			REVISION_1.parts()
				.forEach((digest, part) -> ConfigurationReducerTests.this.session
					.apply(new ConfigurationEvent.PartRead(digest, part)));
			assertThat(ConfigurationReducerTests.this.session.revision()).isEqualTo(2);
			assertThat(ConfigurationReducerTests.this.session.state().parts().keySet())
				.isEqualTo(REVISION_2.parts().keySet());
		}

		@Test
		void ofTheSameRevisionLosesEverywhereToTheHigherDigest() {
			ConfigurationBundle sameRevision = ConfigurationSession.bundle(2, "x");
			ConfigurationVersion winner = sameRevision.version().isHigherThan(REVISION_2.version())
					? sameRevision.version() : REVISION_2.version();
			ConfigurationSession reverse = ConfigurationSession.started().publish(sameRevision).publish(REVISION_2);
			ConfigurationReducerTests.this.session.publish(REVISION_2).publish(sameRevision);
			assertThat(ConfigurationReducerTests.this.session.state().version()).isEqualTo(winner);
			assertThat(reverse.state().version()).isEqualTo(winner);
		}

	}

	@Nested
	class AFaultyResponse {

		@Test
		void withATruncatedHeadChangesNothingAndIsReadAgain() {
			ConfigurationReducerTests.this.session.publish(REVISION_1);
			byte[] truncated = Arrays.copyOf(REVISION_2.head(), REVISION_2.head().length / 2);
			ConfigurationReducerTests.this.session.apply(new ConfigurationEvent.HeadRead(2, truncated));
			assertThat(ConfigurationReducerTests.this.session.revision()).isEqualTo(1);
			assertThat(ConfigurationReducerTests.this.session.state().headReads().index()).isEqualTo(1);
			assertThat(ConfigurationReducerTests.this.session.effects(ConfigurationEffect.Rejected.class)).hasSize(1);
			assertThat(ConfigurationReducerTests.this.session.publish(REVISION_2).revision()).isEqualTo(2);
		}

		@Test
		void withATruncatedPartIsReadAgain() {
			Digest part = REVISION_1.parts().keySet().iterator().next();
			ConfigurationReducerTests.this.session.apply(new ConfigurationEvent.HeadRead(1, REVISION_1.head()))
				.apply(new ConfigurationEvent.PartRead(part, new byte[] { 1 }))
				.advance(2000);
			assertThat(ConfigurationReducerTests.this.session.partsRead()).filteredOn(part::equals).hasSize(2);
			assertThat(ConfigurationReducerTests.this.session.revision()).isZero();
		}

		@Test
		void thatNeverArrivesTimesOut() {
			ConfigurationReducerTests.this.session.advance(60_000);
			assertThat(ConfigurationReducerTests.this.session.effects(ConfigurationEffect.ReadHead.class))
				.hasSizeBetween(5, 20);
		}

		@Test
		void isRetriedWithBackoffAtALowTotalRate() {
			ConfigurationReducerTests.this.session.advanceWhileTheServiceIsDown(60_000);
			assertThat(ConfigurationReducerTests.this.session.effects(ConfigurationEffect.ReadHead.class))
				.hasSizeBetween(30, 70);
			ConfigurationSession slow = ConfigurationSession.started()
				.apply(new ConfigurationEvent.ReadPaceChanged(ReadPace.SLOW, 340));
			slow.advanceWhileTheServiceIsDown(600_000);
			assertThat(slow.effects(ConfigurationEffect.ReadHead.class)).hasSizeBetween(8, 40);
		}

	}

	@Nested
	class ASteadyReader {

		/**
		 * The time within which a publication must be in force everywhere, in
		 * milliseconds.
		 */
		private static final long IN_FORCE_MILLIS = 4000;

		private static final int FLEET_SIZE = 340;

		private static final int MAX_FLEET_READS_PER_SECOND = 200;

		@Test
		void detectsAChangeInTimeAtALowTotalReadRate() {
			ConfigurationSession steady = ConfigurationSession.started()
				.apply(new ConfigurationEvent.ReadPaceChanged(ReadPace.STEADY, FLEET_SIZE));
			steady.advanceWhileTheServiceResponds(60_000);
			List<Long> times = steady.timesOf(ConfigurationEffect.ReadHead.class);
			for (int i = 1; i < times.size(); i++) {
				assertThat(times.get(i) - times.get(i - 1)).isLessThan(IN_FORCE_MILLIS);
			}
			assertThat(times.size() * FLEET_SIZE / 60).isLessThan(MAX_FLEET_READS_PER_SECOND);
		}

	}

	@Nested
	class ARejectedVersion {

		@Test
		void leavesThePreviousOneInForceAndIsRecordedWithAllItsProblems() {
			ConfigurationReducerTests.this.session.publish(REVISION_2).publish(INVALID_REVISION_3).advance(5000);
			assertThat(ConfigurationReducerTests.this.session.revision()).isEqualTo(2);
			assertThat(ConfigurationReducerTests.this.session.state().rejections()).singleElement()
				.satisfies((rejection) -> assertThat(rejection.version()).isEqualTo(INVALID_REVISION_3.version()))
				.satisfies((rejection) -> assertThat(rejection.problems()).hasSize(2));
		}

		@Test
		void isReportedOnceAndNeverPulled() {
			ConfigurationReducerTests.this.session.publish(INVALID_REVISION_3)
				.publish(INVALID_REVISION_3)
				.offer(5, INVALID_REVISION_3)
				.advance(5000);
			assertThat(ConfigurationReducerTests.this.session.effects(ConfigurationEffect.Rejected.class)).hasSize(1);
			assertThat(ConfigurationReducerTests.this.session.effects(ConfigurationEffect.PullVersion.class)).isEmpty();
		}

		@Test
		void isReplacedByAHigherOne() {
			ConfigurationReducerTests.this.session.publish(INVALID_REVISION_3)
				.publish(ConfigurationSession.bundle(4, "a"));
			assertThat(ConfigurationReducerTests.this.session.revision()).isEqualTo(4);
		}

	}

	@Nested
	class ThePartsOfAVersion {

		@Test
		void areReadOnlyIfTheyAreNotHeld() {
			ConfigurationReducerTests.this.session.publish(REVISION_1).publish(REVISION_2);
			assertThat(ConfigurationReducerTests.this.session.partsRead()).hasSize(3).doesNotHaveDuplicates();
		}

		@Test
		void areTakenFromPeersThatOfferThem() {
			ConfigurationReducerTests.this.session.offer(5, REVISION_1).send(5, REVISION_1);
			assertThat(ConfigurationReducerTests.this.session.revision()).isEqualTo(1);
		}

		@Test
		void arePulledFromAnotherPeerIfOneDoesNotRespond() {
			ConfigurationReducerTests.this.session.offer(5, REVISION_1).offer(6, REVISION_1).advance(1000);
			assertThat(ConfigurationReducerTests.this.session.effects(ConfigurationEffect.PullVersion.class))
				.extracting(ConfigurationEffect.PullVersion::connection)
				.contains(5L, 6L);
		}

		@Test
		void areSentToFewPeersAtATime() {
			ConfigurationReducerTests.this.session.publish(REVISION_1);
			for (int i = 0; i < 100; i++) {
				ConfigurationReducerTests.this.session
					.apply(new ConfigurationEvent.VersionRequested(i, REVISION_1.version(), List.of()));
			}
			assertThat(ConfigurationReducerTests.this.session.effects(ConfigurationEffect.SendVersion.class))
				.hasSize(ConfigurationTimes.MAX_SENDS_PER_WINDOW);
		}

		@Test
		void arePulledAgainIfOneMessageCouldNotHoldThem() {
			ConfigurationReducerTests.this.session.offer(5, REVISION_1);
			byte[] first = REVISION_1.parts().values().iterator().next();
			ConfigurationReducerTests.this.session
				.apply(new ConfigurationEvent.VersionReceived(5, REVISION_1.head(), List.of(first)));
			assertThat(ConfigurationReducerTests.this.session.effects(ConfigurationEffect.PullVersion.class)).last()
				.satisfies((pull) -> assertThat(pull.held()).containsExactly(Digest.of(first)));
		}

	}

	@Nested
	class ANewProcess {

		@Test
		void adoptsNothingBeforeItHasQueriedItsPeers() {
			ConfigurationSession starting = ConfigurationSession.startingWith(false).publish(REVISION_1).advance(4000);
			assertThat(starting.revision()).isZero();
			assertThat(starting.advance(1000).revision()).isEqualTo(1);
		}

		@Test
		void adoptsThePeersVersionWhenTheServiceIsStale() {
			ConfigurationSession starting = ConfigurationSession.startingWith(false)
				.publish(REVISION_1)
				.offer(3, REVISION_2);
			starting.advance(500).send(3, REVISION_2).advance(5000);
			assertThat(starting.effects(ConfigurationEffect.Adopted.class)).singleElement()
				.satisfies((adopted) -> assertThat(adopted.configuration().version()).isEqualTo(REVISION_2.version()));
		}

		@Test
		void doesNotAdoptALowerVersionWhileAHigherOneIsPulled() {
			ConfigurationSession starting = ConfigurationSession.startingWith(false)
				.publish(REVISION_1)
				.offer(3, REVISION_2);
			assertThat(starting.advance(10_000).revision()).isZero();
			assertThat(starting.advance(6000).revision()).isEqualTo(1);
		}

		@Test
		void stopsWaitingOnceAllItsContactsHaveResponded() {
			ConfigurationSession starting = ConfigurationSession.startingWith(true, 3L, 4L).publish(REVISION_1);
			starting.apply(new ConfigurationEvent.VersionOffered(3, 0, ConfigurationVersion.none()));
			assertThat(starting.revision()).isZero();
			assertThat(starting.offer(4, REVISION_1).revision()).isEqualTo(1);
		}

		@Test
		void adoptsTheVersionOfTheServiceIfNoPeerResponds() {
			ConfigurationSession starting = ConfigurationSession.startingWith(false, 3L).publish(REVISION_1);
			assertThat(starting.advance(ConfigurationTimes.PEER_QUERY_MILLIS).revision()).isEqualTo(1);
		}

	}

	@Nested
	class CompleteSessions {

		@Test
		void ofAProcessThatStartsWhileTheServiceIsStale() {
			ConfigurationSession starting = ConfigurationSession.startingWith(false, 3L);
			starting.apply(new ConfigurationEvent.ReadPaceChanged(ReadPace.SLOW, 340))
				.advance(750)
				.apply(new ConfigurationEvent.HeadRead(1, REVISION_1.head()))
				.apply(new ConfigurationEvent.PartFailed(REVISION_1.parts().keySet().iterator().next(), "no response"))
				.offer(3, REVISION_2)
				.offer(4, REVISION_2)
				.advance(500)
				.apply(new ConfigurationEvent.PeerDisconnected(3))
				.send(4, REVISION_2)
				.advance(5000)
				.apply(new ConfigurationEvent.VersionRequested(4, REVISION_2.version(),
						List.copyOf(REVISION_1.parts().keySet())))
				.apply(new ConfigurationEvent.HeadRead(1, REVISION_1.head()))
				.apply(new ConfigurationEvent.HeadRead(3,
						"[head]\nrevision = 3\nparts".getBytes(StandardCharsets.UTF_8)))
				.advance(60_000)
				.publish(INVALID_REVISION_3)
				.advance(40_000)
				.apply(new ConfigurationEvent.HeadFailed("response incomplete"))
				.advance(40_000);
			Approvals.verify(starting.transcript());
		}

	}

}
