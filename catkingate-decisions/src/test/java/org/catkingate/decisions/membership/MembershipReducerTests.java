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

	/**
	 * The time within which an agent that leaves must no longer receive requests, in
	 * milliseconds.
	 */
	private static final long MAX_DETECTION_MILLIS = 3000;

	private final MembershipSession session = MembershipSession.of(Role.ENTRY);

	private MembershipSession connectedToOneAgent() {
		return this.session.readList(MembershipSession.agentsInDataCentre(1))
			.advance(250)
			.open(1, "a0")
			.announce(1, false);
	}

	@Nested
	class ALeavingAgentAcceptsNoRequests {

		@Test
		void afterItHasAnnouncedDraining() {
			connectedToOneAgent();
			assertThat(MembershipReducerTests.this.session.canAcceptRequests("a0")).isTrue();
			MembershipReducerTests.this.session.announce(1, true);
			assertThat(MembershipReducerTests.this.session.canAcceptRequests("a0")).isFalse();
		}

		@Test
		void afterTheListMarksItAsLeaving() {
			connectedToOneAgent().readList(List.of(MembershipSession.agent("a0", "dc-a", "r1", true)));
			assertThat(MembershipReducerTests.this.session.canAcceptRequests("a0")).isFalse();
		}

		@Test
		void afterItsConnectionHasGoneSilent() {
			connectedToOneAgent().advance(5000, 1);
			assertThat(MembershipReducerTests.this.session.canAcceptRequests("a0")).isTrue();
			MembershipReducerTests.this.session.advance(MAX_DETECTION_MILLIS);
			assertThat(MembershipReducerTests.this.session.canAcceptRequests("a0")).isFalse();
			assertThat(MembershipReducerTests.this.session.effects(MembershipEffect.CloseConnection.class)).hasSize(1);
		}

		@Test
		void afterItHasStoppedAcknowledgingHeartbeatsButStillSends() {
			connectedToOneAgent();
			long acknowledged = MembershipReducerTests.this.session.state().heartbeatSequence();
			for (int i = 0; i < 24; i++) {
				long at = MembershipReducerTests.this.session.state().lastTickMillis();
				MembershipReducerTests.this.session
					.apply(new MembershipEvent.Ticked(
							List.of(new MembershipEvent.ConnectionActivity(1, at, acknowledged, List.of(), at))))
					.advance(250);
			}
			assertThat(MembershipReducerTests.this.session.canAcceptRequests("a0")).isFalse();
		}

	}

	@Nested
	class AnUnreliableList {

		@Test
		void thatIsEmptyDoesNotRemoveConnectedAgents() {
			connectedToOneAgent().readList(List.of()).advance(2 * MembershipTimes.SHRUNK_LIST_DISTRUST_MILLIS, 1);
			assertThat(MembershipReducerTests.this.session.canAcceptRequests("a0")).isTrue();
		}

		@Test
		void thatHasLostMostInstancesIsDistrustedAtFirst() {
			MembershipReducerTests.this.session.readList(MembershipSession.agentsInDataCentre(10))
				.readList(MembershipSession.agentsInDataCentre(2));
			MembershipReducerTests.this.session.advance(2 * MembershipTimes.UNLISTED_RETENTION_MILLIS);
			assertThat(MembershipReducerTests.this.session.state().instances()).hasSize(10);
		}

		@Test
		void thatStaysShortIsAcceptedEventually() {
			MembershipReducerTests.this.session.readList(MembershipSession.agentsInDataCentre(10))
				.readList(MembershipSession.agentsInDataCentre(2));
			MembershipReducerTests.this.session.advance(MembershipTimes.SHRUNK_LIST_DISTRUST_MILLIS)
				.readList(MembershipSession.agentsInDataCentre(2))
				.advance(MembershipTimes.UNLISTED_RETENTION_MILLIS + 250);
			assertThat(MembershipReducerTests.this.session.state().instances()).hasSize(2);
		}

		@Test
		void thatContainsDeadAgentsDoesNotMakeThemAcceptRequests() {
			MembershipReducerTests.this.session.readList(MembershipSession.agentsInDataCentre(1)).advance(250);
			for (int i = 0; i < 20; i++) {
				MembershipReducerTests.this.session.apply(new MembershipEvent.DialFailed(new InstanceId("a0")))
					.advance(5000);
			}
			assertThat(MembershipReducerTests.this.session.canAcceptRequests("a0")).isFalse();
			assertThat(MembershipReducerTests.this.session.effects(MembershipEffect.OpenConnection.class))
				.hasSizeBetween(5, 40);
		}

		@Test
		void thatLacksALiveAgentDoesNotHideItOnceItHasConnected() {
			MembershipSession agent = MembershipSession.of(Role.AGENT).readList(List.of());
			agent.accept(1, "unlisted").announce(1, false).advance(2 * MembershipTimes.UNLISTED_RETENTION_MILLIS, 1);
			assertThat(agent.canAcceptRequests("unlisted")).isTrue();
		}

	}

	@Nested
	class AShortRestart {

		@Test
		void keepsTheAgentKnownButNotAcceptingRequests() {
			connectedToOneAgent().apply(new MembershipEvent.ConnectionClosed(1)).readList(List.of()).advance(10_000);
			assertThat(MembershipReducerTests.this.session.agent("a0")).isNotNull();
			assertThat(MembershipReducerTests.this.session.canAcceptRequests("a0")).isFalse();
		}

		@Test
		void closesTheConnectionsOfThePreviousProcess() {
			connectedToOneAgent().open(2, "a0", 8).announce(2, false);
			assertThat(MembershipReducerTests.this.session.effects(MembershipEffect.CloseConnection.class))
				.extracting(MembershipEffect.CloseConnection::connection)
				.containsExactly(1L);
			assertThat(MembershipReducerTests.this.session.agent("a0").incarnation()).isEqualTo(8);
		}

	}

	@Nested
	class TwoAgentsThatDialEachOther {

		@Test
		void keepTheConnectionThatTheLowerOneDialled() {
			MembershipSession higher = MembershipSession.of(Role.AGENT)
				.readList(MembershipSession.agentsInDataCentre(1));
			higher.open(1, "a0").accept(2, "a0");
			assertThat(higher.state().connections()).containsOnlyKeys(2L);
			MembershipSession lower = MembershipSession.of(Role.AGENT).open(1, "zz").accept(2, "zz");
			assertThat(lower.state().connections()).containsOnlyKeys(1L, 2L);
		}

	}

	@Nested
	class ASilentConnection {

		@Test
		void isReplacedBeforeItIsClosed() {
			connectedToOneAgent().advance(5000, 1).advance(2000);
			assertThat(MembershipReducerTests.this.session.effects(MembershipEffect.OpenConnection.class)).hasSize(2);
			assertThat(MembershipReducerTests.this.session.effects(MembershipEffect.CloseConnection.class)).isEmpty();
			MembershipReducerTests.this.session.open(2, "a0").announce(2, false).advance(1000, 2);
			assertThat(MembershipReducerTests.this.session.canAcceptRequests("a0")).isTrue();
			assertThat(MembershipReducerTests.this.session.state().connections()).containsOnlyKeys(2L);
		}

	}

	@Nested
	class APausedProcess {

		@Test
		void trustsNoAgentUntilItHasRespondedAgain() {
			connectedToOneAgent().advance(5000, 1).pause(30_000, 1);
			assertThat(MembershipReducerTests.this.session.canAcceptRequests("a0")).isFalse();
			assertThat(MembershipReducerTests.this.session.effects(MembershipEffect.PauseDetected.class)).hasSize(1);
			MembershipReducerTests.this.session.advance(250, 1);
			assertThat(MembershipReducerTests.this.session.canAcceptRequests("a0")).isTrue();
		}

		@Test
		void closesAConnectionThatDoesNotRespond() {
			connectedToOneAgent().advance(5000, 1).pause(30_000, 1).advance(MAX_DETECTION_MILLIS);
			assertThat(MembershipReducerTests.this.session.state().connections()).isEmpty();
		}

	}

	@Nested
	class Contacts {

		@Test
		void ofAnEntryAreAllAgentsOfItsRegionAndAFewElsewhere() {
			List<InstanceRecord> all = new ArrayList<>(MembershipSession.agentsInDataCentre(20));
			for (int i = 0; i < 50; i++) {
				all.add(MembershipSession.agent("far" + i, "dc-z", "r2"));
			}
			MembershipReducerTests.this.session.readList(all);
			assertThat(MembershipReducerTests.this.session.state().wanted()).hasSizeBetween(20, 40);
		}

		@Test
		void ofAgentsAreFewAndConnectTheWholeFleet() {
			List<InstanceRecord> all = MembershipSession.agentsInDataCentre(100);
			Map<InstanceId, Set<InstanceId>> graph = new TreeMap<>();
			for (InstanceRecord own : all) {
				ProcessIdentity self = new ProcessIdentity(own.id(), Role.AGENT, 1, own.dataCentre(), own.region(),
						own.labels());
				Set<InstanceId> wanted = ContactPlan.choose(self, PublishedConfiguration.empty(), all);
				assertThat(wanted).hasSizeBetween(1, 12);
				graph.put(own.id(), wanted);
			}
			assertThat(reachableFrom(graph, all.get(0).id())).hasSize(100);
		}

		private static Set<InstanceId> reachableFrom(Map<InstanceId, Set<InstanceId>> graph, InstanceId start) {
			Set<InstanceId> reached = new TreeSet<>();
			Deque<InstanceId> pending = new ArrayDeque<>(List.of(start));
			while (!pending.isEmpty()) {
				InstanceId next = pending.pop();
				if (reached.add(next)) {
					pending.addAll(graph.get(next));
				}
			}
			return reached;
		}

	}

	@Nested
	class CompleteSessions {

		@Test
		void ofAnEntryWhoseAgentsConnectDrainAndDisconnect() {
			MembershipReducerTests.this.session.readList(MembershipSession.agentsInDataCentre(2))
				.advance(1000)
				.open(1, "a0")
				.announce(1, false)
				.open(2, "a1")
				.announce(2, false)
				.advance(2000, 1, 2)
				.announce(2, true)
				.apply(new MembershipEvent.ConnectionClosed(2))
				.apply(new MembershipEvent.DialFailed(new InstanceId("a1")))
				.advance(2000, 1)
				.readList(MembershipSession.agentsInDataCentre(1))
				.advance(1000, 1)
				.pause(20_000, 1)
				.advance(1000, 1)
				.advance(4000)
				.apply(new MembershipEvent.ListFailed("no response"))
				.advance(5000);
			Approvals.verify(MembershipReducerTests.this.session.transcript());
		}

	}

}
