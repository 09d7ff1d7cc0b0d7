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

	private static final ConfigurationBundle ONE = ConfigurationSession.bundle(1, "a", "b");

	private static final ConfigurationBundle TWO = ConfigurationSession.bundle(2, "a", "c");

	private static final ConfigurationBundle BAD = ConfigurationBundle.of(3, List.of("[group a]\nselectr = *\n"));

	private final ConfigurationSession session = ConfigurationSession.started();

	@Nested
	class ALowerVersion {

		@Test
		void fromAStaleServiceIsNeverAdopted() {
			ConfigurationReducerTests.this.session.serviceGives(TWO).serviceGives(ONE);
			assertThat(ConfigurationReducerTests.this.session.revision()).isEqualTo(2);
			assertThat(ConfigurationReducerTests.this.session.state().lowerReads()).isEqualTo(1);
		}

		@Test
		void fromALaggingPeerIsNeitherAskedForNorAdopted() {
			ConfigurationReducerTests.this.session.serviceGives(TWO).offers(7, ONE).passes(5000).sends(7, ONE);
			assertThat(ConfigurationReducerTests.this.session.revision()).isEqualTo(2);
			assertThat(ConfigurationReducerTests.this.session.effects(ConfigurationEffect.Pull.class)).isEmpty();
		}

		@Test
		void whosePartsArriveAfterThoseOfAHigherOneIsDropped() {
			ConfigurationReducerTests.this.session.with(new ConfigurationEvent.HeadRead(1, ONE.head()))
				.serviceGives(TWO);
			ONE.parts()
				.forEach((digest, part) -> ConfigurationReducerTests.this.session
					.with(new ConfigurationEvent.PartRead(digest, part)));
			assertThat(ConfigurationReducerTests.this.session.revision()).isEqualTo(2);
			assertThat(ConfigurationReducerTests.this.session.state().parts().keySet()).isEqualTo(TWO.parts().keySet());
		}

		@Test
		void ofTheSameRevisionLosesEverywhereToTheHigherDigest() {
			ConfigurationBundle other = ConfigurationSession.bundle(2, "x");
			ConfigurationVersion winner = other.version().isHigherThan(TWO.version()) ? other.version() : TWO.version();
			ConfigurationSession reverse = ConfigurationSession.started().serviceGives(other).serviceGives(TWO);
			ConfigurationReducerTests.this.session.serviceGives(TWO).serviceGives(other);
			assertThat(ConfigurationReducerTests.this.session.state().version()).isEqualTo(winner);
			assertThat(reverse.state().version()).isEqualTo(winner);
		}

	}

	@Nested
	class AFaultyAnswer {

		@Test
		void thatIsHalfAHeadChangesNothingAndIsReadAgain() {
			ConfigurationReducerTests.this.session.serviceGives(ONE);
			byte[] half = Arrays.copyOf(TWO.head(), TWO.head().length / 2);
			ConfigurationReducerTests.this.session.with(new ConfigurationEvent.HeadRead(2, half));
			assertThat(ConfigurationReducerTests.this.session.revision()).isEqualTo(1);
			assertThat(ConfigurationReducerTests.this.session.state().head().index()).isEqualTo(1);
			assertThat(ConfigurationReducerTests.this.session.effects(ConfigurationEffect.Rejected.class)).hasSize(1);
			assertThat(ConfigurationReducerTests.this.session.serviceGives(TWO).revision()).isEqualTo(2);
		}

		@Test
		void thatIsHalfAPartIsReadAgain() {
			Digest part = ONE.parts().keySet().iterator().next();
			ConfigurationReducerTests.this.session.with(new ConfigurationEvent.HeadRead(1, ONE.head()))
				.with(new ConfigurationEvent.PartRead(part, new byte[] { 1 }))
				.passes(2000);
			assertThat(ConfigurationReducerTests.this.session.partsRead()).filteredOn(part::equals).hasSize(2);
			assertThat(ConfigurationReducerTests.this.session.revision()).isZero();
		}

		@Test
		void thatNeverComesIsGivenUp() {
			ConfigurationReducerTests.this.session.passes(60_000);
			assertThat(ConfigurationReducerTests.this.session.effects(ConfigurationEffect.ReadHead.class))
				.hasSizeBetween(5, 20);
		}

		@Test
		void isRetriedFartherAndFartherApartByAllTogetherFewTimes() {
			ConfigurationReducerTests.this.session.passesWhileTheServiceIsDown(60_000);
			assertThat(ConfigurationReducerTests.this.session.effects(ConfigurationEffect.ReadHead.class))
				.hasSizeBetween(10, 40);
			ConfigurationSession slow = ConfigurationSession.started()
				.with(new ConfigurationEvent.DutyChanged(ReadPace.SLOW, 340));
			slow.passesWhileTheServiceIsDown(600_000);
			assertThat(slow.effects(ConfigurationEffect.ReadHead.class)).hasSizeBetween(8, 40);
		}

	}

	@Nested
	class ARejectedVersion {

		@Test
		void leavesTheLastGoodOneInForceAndIsKeptWithAllItsFaults() {
			ConfigurationReducerTests.this.session.serviceGives(TWO).serviceGives(BAD).passes(5000);
			assertThat(ConfigurationReducerTests.this.session.revision()).isEqualTo(2);
			assertThat(ConfigurationReducerTests.this.session.state().rejections()).singleElement()
				.satisfies((rejection) -> assertThat(rejection.version()).isEqualTo(BAD.version()))
				.satisfies((rejection) -> assertThat(rejection.problems()).hasSize(2));
		}

		@Test
		void isReportedOnceAndNeverAskedFor() {
			ConfigurationReducerTests.this.session.serviceGives(BAD).serviceGives(BAD).offers(5, BAD).passes(5000);
			assertThat(ConfigurationReducerTests.this.session.effects(ConfigurationEffect.Rejected.class)).hasSize(1);
			assertThat(ConfigurationReducerTests.this.session.effects(ConfigurationEffect.Pull.class)).isEmpty();
		}

		@Test
		void givesWayToAHigherOne() {
			ConfigurationReducerTests.this.session.serviceGives(BAD).serviceGives(ConfigurationSession.bundle(4, "a"));
			assertThat(ConfigurationReducerTests.this.session.revision()).isEqualTo(4);
		}

	}

	@Nested
	class ThePartsOfAVersion {

		@Test
		void areReadOnlyIfTheyAreNotHeld() {
			ConfigurationReducerTests.this.session.serviceGives(ONE).serviceGives(TWO);
			assertThat(ConfigurationReducerTests.this.session.partsRead()).hasSize(3).doesNotHaveDuplicates();
		}

		@Test
		void areTakenFromPeersThatOfferThem() {
			ConfigurationReducerTests.this.session.offers(5, ONE).sends(5, ONE);
			assertThat(ConfigurationReducerTests.this.session.revision()).isEqualTo(1);
		}

		@Test
		void areAskedOfAnotherPeerIfOneDoesNotAnswer() {
			ConfigurationReducerTests.this.session.offers(5, ONE).offers(6, ONE).passes(1000);
			assertThat(ConfigurationReducerTests.this.session.effects(ConfigurationEffect.Pull.class))
				.extracting(ConfigurationEffect.Pull::link)
				.contains(5L, 6L);
		}

		@Test
		void areSentToFewAskersAtATime() {
			ConfigurationReducerTests.this.session.serviceGives(ONE);
			for (int i = 0; i < 100; i++) {
				ConfigurationReducerTests.this.session.with(new ConfigurationEvent.Asked(i, ONE.version(), List.of()));
			}
			assertThat(ConfigurationReducerTests.this.session.effects(ConfigurationEffect.SendContent.class))
				.hasSize(ConfigurationTimes.CONTENTS_PER_WINDOW);
		}

		@Test
		void areAskedForAgainIfOneMessageCouldNotHoldThem() {
			ConfigurationReducerTests.this.session.offers(5, ONE);
			byte[] first = ONE.parts().values().iterator().next();
			ConfigurationReducerTests.this.session
				.with(new ConfigurationEvent.ContentArrived(5, ONE.head(), List.of(first)));
			assertThat(ConfigurationReducerTests.this.session.effects(ConfigurationEffect.Pull.class)).last()
				.satisfies((pull) -> assertThat(pull.held()).containsExactly(Digest.of(first)));
		}

	}

	@Nested
	class ANewProcess {

		@Test
		void adoptsNothingBeforeItHasAskedItsPeers() {
			ConfigurationSession starting = ConfigurationSession.startingWith(false).serviceGives(ONE).passes(4000);
			assertThat(starting.revision()).isZero();
			assertThat(starting.passes(1000).revision()).isEqualTo(1);
		}

		@Test
		void servesThePeersVersionThoughTheServiceIsStale() {
			ConfigurationSession starting = ConfigurationSession.startingWith(false).serviceGives(ONE).offers(3, TWO);
			starting.passes(500).sends(3, TWO).passes(5000);
			assertThat(starting.effects(ConfigurationEffect.Adopted.class)).singleElement()
				.satisfies((adopted) -> assertThat(adopted.configuration().version()).isEqualTo(TWO.version()));
		}

		@Test
		void doesNotServeAnOlderOneWhileAHigherOneIsOnItsWay() {
			ConfigurationSession starting = ConfigurationSession.startingWith(false).serviceGives(ONE).offers(3, TWO);
			assertThat(starting.passes(10_000).revision()).isZero();
			assertThat(starting.passes(6000).revision()).isEqualTo(1);
		}

		@Test
		void waitsNoLongerOnceAllItsContactsHaveAnswered() {
			ConfigurationSession starting = ConfigurationSession.startingWith(true, 3L, 4L).serviceGives(ONE);
			starting.with(new ConfigurationEvent.Offered(3, 0, ConfigurationVersion.none()));
			assertThat(starting.revision()).isZero();
			assertThat(starting.offers(4, ONE).revision()).isEqualTo(1);
		}

		@Test
		void servesTheServicesWordIfNobodyAnswers() {
			ConfigurationSession starting = ConfigurationSession.startingWith(false, 3L).serviceGives(ONE);
			assertThat(starting.passes(ConfigurationTimes.ASK_PEERS_MILLIS).revision()).isEqualTo(1);
		}

	}

	@Nested
	class WholeSessions {

		@Test
		void ofAProcessThatStartsWhileTheServiceIsStale() {
			ConfigurationSession starting = ConfigurationSession.startingWith(false, 3L);
			starting.with(new ConfigurationEvent.DutyChanged(ReadPace.SLOW, 340))
				.passes(750)
				.with(new ConfigurationEvent.HeadRead(1, ONE.head()))
				.with(new ConfigurationEvent.PartFailed(ONE.parts().keySet().iterator().next(), "no answer"))
				.offers(3, TWO)
				.offers(4, TWO)
				.passes(500)
				.with(new ConfigurationEvent.PeerLost(3))
				.sends(4, TWO)
				.passes(5000)
				.with(new ConfigurationEvent.Asked(4, TWO.version(), List.copyOf(ONE.parts().keySet())))
				.with(new ConfigurationEvent.HeadRead(1, ONE.head()))
				.with(new ConfigurationEvent.HeadRead(3,
						"[head]\nrevision = 3\nparts".getBytes(StandardCharsets.UTF_8)))
				.passes(60_000)
				.serviceGives(BAD)
				.passes(40_000)
				.with(new ConfigurationEvent.HeadFailed("no whole answer"))
				.passes(40_000);
			Approvals.verify(starting.transcript());
		}

	}

}
