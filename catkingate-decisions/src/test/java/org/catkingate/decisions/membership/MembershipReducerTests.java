package org.catkingate.decisions.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Role;
import org.catkingate.model.published.PublishedConfiguration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link MembershipReducer}.
 */
class MembershipReducerTests {

	/** Within this time a leaving agent must get no new work, in milliseconds. */
	private static final long LEAVING_MILLIS = 3000;

	private final MembershipSession session = MembershipSession.of(Role.ENTRY);

	private MembershipSession meetingOne() {
		return this.session.list(MembershipSession.near(1)).passes(250).opens(1, "a0").announces(1, false);
	}

	@Nested
	class ALeavingAgentGetsNoNewWork {

		@Test
		void afterItHasAnnouncedDraining() {
			meetingOne();
			assertThat(MembershipReducerTests.this.session.takesWork("a0")).isTrue();
			MembershipReducerTests.this.session.announces(1, true);
			assertThat(MembershipReducerTests.this.session.takesWork("a0")).isFalse();
		}

		@Test
		void afterTheListSaysThatItIsLeaving() {
			meetingOne().list(List.of(MembershipSession.agent("a0", "dc-a", "r1", true)));
			assertThat(MembershipReducerTests.this.session.takesWork("a0")).isFalse();
		}

		@Test
		void afterItsConnectionHasGoneSilent() {
			meetingOne().passes(5000, 1);
			assertThat(MembershipReducerTests.this.session.takesWork("a0")).isTrue();
			MembershipReducerTests.this.session.passes(LEAVING_MILLIS);
			assertThat(MembershipReducerTests.this.session.takesWork("a0")).isFalse();
			assertThat(MembershipReducerTests.this.session.effects(MembershipEffect.CloseConnection.class)).hasSize(1);
		}

		@Test
		void afterItHasStoppedAnsweringThoughItStillSpeaks() {
			meetingOne();
			long acknowledged = MembershipReducerTests.this.session.state().sequence();
			for (int i = 0; i < 24; i++) {
				long at = MembershipReducerTests.this.session.state().lastTickMillis();
				MembershipReducerTests.this.session
					.with(new MembershipEvent.Ticked(
							List.of(new MembershipEvent.Heard(1, at, acknowledged, List.of(), at))))
					.passes(250);
			}
			assertThat(MembershipReducerTests.this.session.takesWork("a0")).isFalse();
		}

	}

	@Nested
	class AnUntrustworthyList {

		@Test
		void thatIsEmptyDoesNotEmptyRouting() {
			meetingOne().list(List.of()).passes(2 * MembershipTimes.DOUBT_MILLIS, 1);
			assertThat(MembershipReducerTests.this.session.takesWork("a0")).isTrue();
		}

		@Test
		void thatHasLostMostInstancesIsDoubtedAtFirst() {
			MembershipReducerTests.this.session.list(MembershipSession.near(10)).list(MembershipSession.near(2));
			MembershipReducerTests.this.session.passes(2 * MembershipTimes.GRACE_MILLIS);
			assertThat(MembershipReducerTests.this.session.state().instances()).hasSize(10);
		}

		@Test
		void thatStaysShortIsBelievedInTheEnd() {
			MembershipReducerTests.this.session.list(MembershipSession.near(10)).list(MembershipSession.near(2));
			MembershipReducerTests.this.session.passes(MembershipTimes.DOUBT_MILLIS)
				.list(MembershipSession.near(2))
				.passes(MembershipTimes.GRACE_MILLIS + 250);
			assertThat(MembershipReducerTests.this.session.state().instances()).hasSize(2);
		}

		@Test
		void thatNamesTheDeadGivesThemNoWork() {
			MembershipReducerTests.this.session.list(MembershipSession.near(1)).passes(250);
			for (int i = 0; i < 20; i++) {
				MembershipReducerTests.this.session.with(new MembershipEvent.DialFailed(new InstanceId("a0")))
					.passes(5000);
			}
			assertThat(MembershipReducerTests.this.session.takesWork("a0")).isFalse();
			assertThat(MembershipReducerTests.this.session.effects(MembershipEffect.OpenConnection.class))
				.hasSizeBetween(5, 40);
		}

		@Test
		void thatLacksTheLivingDoesNotHideAnAgentThatHasConnected() {
			MembershipSession agent = MembershipSession.of(Role.AGENT).list(List.of());
			agent.accepts(1, "unlisted").announces(1, false).passes(2 * MembershipTimes.GRACE_MILLIS, 1);
			assertThat(agent.takesWork("unlisted")).isTrue();
		}

	}

	@Nested
	class AShortRestart {

		@Test
		void keepsTheAgentKnownButWithoutWork() {
			meetingOne().with(new MembershipEvent.LinkClosed(1)).list(List.of()).passes(10_000);
			assertThat(MembershipReducerTests.this.session.agent("a0")).isNotNull();
			assertThat(MembershipReducerTests.this.session.takesWork("a0")).isFalse();
		}

		@Test
		void endsTheLinksOfTheFormerProcess() {
			meetingOne().opens(2, "a0", 8).announces(2, false);
			assertThat(MembershipReducerTests.this.session.effects(MembershipEffect.CloseConnection.class))
				.extracting(MembershipEffect.CloseConnection::link)
				.containsExactly(1L);
			assertThat(MembershipReducerTests.this.session.agent("a0").incarnation()).isEqualTo(8);
		}

	}

	@Nested
	class TwoAgentsThatDialEachOther {

		@Test
		void keepTheLinkThatTheLowerOneDialled() {
			MembershipSession higher = MembershipSession.of(Role.AGENT).list(MembershipSession.near(1));
			higher.opens(1, "a0").accepts(2, "a0");
			assertThat(higher.state().links()).containsOnlyKeys(2L);
			MembershipSession lower = MembershipSession.of(Role.AGENT).opens(1, "zz").accepts(2, "zz");
			assertThat(lower.state().links()).containsOnlyKeys(1L, 2L);
		}

	}

	@Nested
	class ASilentLink {

		@Test
		void isReplacedBeforeItIsGivenUp() {
			meetingOne().passes(5000, 1).passes(2000);
			assertThat(MembershipReducerTests.this.session.effects(MembershipEffect.OpenConnection.class)).hasSize(2);
			assertThat(MembershipReducerTests.this.session.effects(MembershipEffect.CloseConnection.class)).isEmpty();
			MembershipReducerTests.this.session.opens(2, "a0").announces(2, false).passes(1000, 2);
			assertThat(MembershipReducerTests.this.session.takesWork("a0")).isTrue();
			assertThat(MembershipReducerTests.this.session.state().links()).containsOnlyKeys(2L);
		}

	}

	@Nested
	class APausedProcess {

		@Test
		void trustsNoAgentUntilItHasAnsweredAgain() {
			meetingOne().passes(5000, 1).isPaused(30_000, 1);
			assertThat(MembershipReducerTests.this.session.takesWork("a0")).isFalse();
			assertThat(MembershipReducerTests.this.session.effects(MembershipEffect.PauseNoticed.class)).hasSize(1);
			MembershipReducerTests.this.session.passes(250, 1);
			assertThat(MembershipReducerTests.this.session.takesWork("a0")).isTrue();
		}

		@Test
		void givesUpALinkThatDoesNotAnswer() {
			meetingOne().passes(5000, 1).isPaused(30_000, 1).passes(LEAVING_MILLIS);
			assertThat(MembershipReducerTests.this.session.state().links()).isEmpty();
		}

	}

	@Nested
	class Contacts {

		@Test
		void ofAnEntryAreAllOfItsRegionAndAFewElsewhere() {
			List<InstanceRecord> all = new ArrayList<>(MembershipSession.near(20));
			for (int i = 0; i < 50; i++) {
				all.add(MembershipSession.agent("far" + i, "dc-z", "r2"));
			}
			MembershipReducerTests.this.session.list(all);
			assertThat(MembershipReducerTests.this.session.state().wanted()).hasSizeBetween(20, 40);
		}

		@Test
		void ofAgentsJoinAllOfThemAndStayFew() {
			List<InstanceRecord> all = MembershipSession.near(100);
			Map<InstanceId, Set<InstanceId>> graph = new TreeMap<>();
			for (InstanceRecord own : all) {
				Self self = new Self(own.id(), Role.AGENT, 1, own.dataCentre(), own.region(), own.labels());
				Set<InstanceId> wanted = ContactPlan.choose(self, PublishedConfiguration.empty(), all);
				assertThat(wanted).hasSizeBetween(1, 12);
				graph.put(own.id(), wanted);
			}
			assertThat(reached(graph, all.get(0).id())).hasSize(100);
		}

		private static Set<InstanceId> reached(Map<InstanceId, Set<InstanceId>> graph, InstanceId start) {
			Set<InstanceId> seen = new TreeSet<>();
			Deque<InstanceId> open = new ArrayDeque<>(List.of(start));
			while (!open.isEmpty()) {
				InstanceId next = open.pop();
				if (seen.add(next)) {
					open.addAll(graph.get(next));
				}
			}
			return seen;
		}

	}

	@Nested
	class WholeSessions {

		@Test
		void ofAnEntryThatMeetsDrainsAndLosesAgents() {
			MembershipReducerTests.this.session.list(MembershipSession.near(2))
				.passes(1000)
				.opens(1, "a0")
				.announces(1, false)
				.opens(2, "a1")
				.announces(2, false)
				.passes(2000, 1, 2)
				.announces(2, true)
				.with(new MembershipEvent.LinkClosed(2))
				.with(new MembershipEvent.DialFailed(new InstanceId("a1")))
				.passes(2000, 1)
				.list(MembershipSession.near(1))
				.passes(1000, 1)
				.isPaused(20_000, 1)
				.passes(1000, 1)
				.passes(4000)
				.with(new MembershipEvent.ListFailed("no answer"))
				.passes(5000);
			Approvals.verify(MembershipReducerTests.this.session.transcript());
		}

	}

}
