package org.catkingate.decisions.registry;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Event;
import org.catkingate.decisions.ReductionResult;
import org.catkingate.model.AccountName;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.ModelName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.CallerLimits;
import org.catkingate.model.registry.RegisteredAccount;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.model.registry.RegistryItem;
import org.catkingate.model.registry.RegistryPage;
import org.catkingate.model.registry.RegistryPosition;
import org.catkingate.model.registry.RegistryValue;
import org.catkingate.model.registry.RouteTable;
import org.catkingate.model.registry.ServingConfiguration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link FollowReducer} with a registry that is restored from a copy.
 */
class RegistryRestoreTests {

	private static final ModelName MODEL = new ModelName("m");

	private static final RunnerId A = new RunnerId("a");

	private static final RunnerId B = new RunnerId("b");

	private final FollowReducer reducer = FollowReducer.create();

	private final List<Effect> effects = new ArrayList<>();

	private FollowState state = FollowState.initial(FollowTimes.forAllItems(1500), 7);

	private long now = 1000;

	private void reduce(Event event) {
		ReductionResult<FollowState> result = this.reducer.reduce(this.state, this.now, event);
		this.state = result.state();
		this.effects.clear();
		this.effects.addAll(result.effects());
	}

	private void tickAfter(long millis) {
		this.now += millis;
		reduce(new FollowEvent.Ticked());
	}

	private long call() {
		return this.state.calls().lastCall();
	}

	private Moment moment() {
		return new Moment(this.now, this.now);
	}

	private void receivePage(boolean hasMore, long era, long revision, RegistryItem... items) {
		reduce(new FollowEvent.PageReceived(call(), moment(),
				new RegistryPage(List.of(items), hasMore, new RegistryPosition(era, revision))));
	}

	private void receiveChanges(long era, long revision, RegistryItem... items) {
		reduce(new FollowEvent.ChangesReceived(call(), moment(),
				new RegistryPage(List.of(items), false, new RegistryPosition(era, revision))));
	}

	private void failCall(boolean historyGone) {
		reduce(new FollowEvent.CallFailed(call(), historyGone, "no response"));
	}

	private void receiveCopy(long ageMillis, RegistryPosition after, RegistryPosition position,
			RegistryItem... changes) {
		Set<String> keys = position.equals(after) ? Set.of()
				: Arrays.stream(changes).map(RegistryItem::key).collect(Collectors.toSet());
		reduce(new FollowEvent.CopyReceived(moment().minusMillis(ageMillis),
				new RegistryDelta(after, position, keys, List.of(changes))));
	}

	private void completeFullRead(long era, long revision, RegistryItem... items) {
		tickAfter(0);
		receivePage(false, era, revision, items);
		tickAfter(2000);
	}

	private static RegistryPosition at(long era, long revision) {
		return new RegistryPosition(era, revision);
	}

	private static RegistryItem item(String key, long revision, RegistryValue value) {
		return new RegistryItem(key, revision, value, key.getBytes(StandardCharsets.UTF_8));
	}

	private static RegistryItem runner(String id, long revision, int port, boolean draining) {
		return item("runners/" + id, revision,
				new RegistryValue.Runner(new RegisteredRunner(new RunnerId(id), 1, new ServiceName("songs"),
						new InetSocketAddress("127.0.0.1", port), new DataCentreName("a"), 4, draining, Map.of(), 0)));
	}

	private static RegistryItem runner(String id, long revision) {
		return runner(id, revision, id.charAt(0), false);
	}

	private static RegistryItem removed(String id, long revision) {
		return new RegistryItem("runners/" + id, revision, null);
	}

	private static RegistryItem configuration(long version, long revision, String... apiKeys) {
		return item("configuration", revision,
				new RegistryValue.Configuration(new ServingConfiguration(version, RouteTable.of(List.of()), Map.of(),
						Arrays.stream(apiKeys)
							.collect(Collectors.toMap((key) -> key,
									(key) -> new RegisteredAccount(new AccountName(key), 0, Set.of()))),
						new CallerLimits(1, 1, 1, 1))));
	}

	private static RegistryItem version(long version, long revision) {
		return item("version", revision, new RegistryValue.DeclaredVersion(MODEL, version));
	}

	private RegistryView view() {
		return this.state.view();
	}

	private long configurationVersion() {
		return view().configuration().orElseThrow().version();
	}

	private boolean has(Class<? extends Effect> type) {
		return this.effects.stream().anyMatch(type::isInstance);
	}

	private <T extends Effect> T onlyEffect(Class<T> type) {
		List<T> found = this.effects.stream().filter(type::isInstance).map(type::cast).toList();
		assertThat(found).as("effects of type %s among %s", type.getSimpleName(), this.effects).hasSize(1);
		return found.get(0);
	}

	@Nested
	class AWatch {

		// Guards against a view that mixes the content of two eras because the watched
		// revision exists again.
		@Test
		void thatReturnsChangesOfALaterEraStartsAFullRead() {
			completeFullRead(1, 10, runner("a", 3), runner("b", 4));
			receiveChanges(2, 12, runner("c", 11));
			assertThat(onlyEffect(FollowEffect.ReadPage.class).afterKey()).isEmpty();
			assertThat(view().runners()).containsOnlyKeys(A, B);
			receivePage(false, 2, 12, runner("a", 3), runner("c", 11));
			assertThat(view().runners()).containsKeys(A, new RunnerId("c"));
			assertThat(onlyEffect(FollowEffect.Watch.class).afterRevision()).isEqualTo(12);
		}

		@Test
		void thatReturnsNothingButALaterEraStartsAFullRead() {
			completeFullRead(1, 10, runner("a", 3));
			receiveChanges(5, 10);
			assertThat(onlyEffect(FollowEffect.ReadPage.class).afterKey()).isEmpty();
			assertThat(has(FollowEffect.Confirm.class)).isFalse();
		}

		// Guards against a registry that is never read again since its revision went
		// back.
		@Test
		void whoseHistoryIsGoneIsFollowedByAFullReadThatMayEndAtALowerRevision() {
			completeFullRead(1, 90, runner("a", 80));
			failCall(true);
			receivePage(false, 2, 40, runner("a", 30, 7, false));
			assertThat(view().position()).isEqualTo(at(2, 40));
			assertThat(view().runners().get(A).address().getPort()).isEqualTo(7);
			assertThat(onlyEffect(FollowEffect.Watch.class).afterRevision()).isEqualTo(40);
		}

		// Guards against content of an era that has ended.
		@Test
		void thatReturnsChangesOfAnOlderEraIsRepeated() {
			completeFullRead(2, 10, runner("a", 3));
			receiveChanges(1, 99, removed("a", 98), runner("b", 97));
			assertThat(view().runners()).containsOnlyKeys(A);
			assertThat(has(FollowEffect.Confirm.class)).isFalse();
			tickAfter(200);
			assertThat(onlyEffect(FollowEffect.Watch.class).afterRevision()).isEqualTo(10);
		}

		@Test
		void ofARegistryThatBeginsToReportErasStartsAFullRead() {
			completeFullRead(0, 10, runner("a", 3));
			receiveChanges(1, 11, runner("b", 11));
			assertThat(onlyEffect(FollowEffect.ReadPage.class).afterKey()).isEmpty();
		}

		@Test
		void reportsTheRestoreOnce() {
			completeFullRead(1, 90, configuration(8, 70), runner("a", 80));
			receiveChanges(4, 40);
			receivePage(false, 4, 40, configuration(7, 30));
			FollowEffect.ReportRestored restored = onlyEffect(FollowEffect.ReportRestored.class);
			assertThat(restored).isEqualTo(new FollowEffect.ReportRestored(at(1, 90), at(4, 40), false, 1, 1));
			receiveChanges(4, 41);
			assertThat(has(FollowEffect.ReportRestored.class)).isFalse();
		}

	}

	@Nested
	class AFullRead {

		// Guards against a full read that is put together from two eras.
		@Test
		void whosePagesDifferInEraStartsAgain() {
			tickAfter(0);
			receivePage(true, 1, 90, runner("a", 80));
			receivePage(false, 2, 40, runner("b", 30));
			assertThat(onlyEffect(FollowEffect.ReadPage.class).afterKey()).isEmpty();
			receivePage(true, 2, 40, runner("b", 30));
			receivePage(false, 2, 41, runner("c", 31));
			assertThat(view().runners()).containsOnlyKeys(B, new RunnerId("c"));
		}

		@Test
		void doesNotTakeALatePageOfTheOlderEra() {
			tickAfter(0);
			receivePage(true, 2, 40, runner("a", 30));
			receivePage(false, 1, 90, runner("b", 80));
			assertThat(view().runners()).isEmpty();
			tickAfter(200);
			assertThat(onlyEffect(FollowEffect.ReadPage.class).afterKey()).isEqualTo("runners/a");
			receivePage(false, 2, 41, runner("c", 31));
			assertThat(view().runners()).containsOnlyKeys(A, new RunnerId("c"));
		}

		@Test
		void ofAnOlderEraThanTheCopyOfAnotherProcessChangesNothing() {
			tickAfter(0);
			receiveCopy(100, at(2, 0), at(2, 40), configuration(1, 5), runner("a", 30));
			receivePage(false, 1, 90, runner("b", 80));
			assertThat(view().runners()).containsOnlyKeys(A);
			assertThat(view().position()).isEqualTo(at(2, 40));
		}

		// Guards against the worst case: the same revision, other content.
		@Test
		void replacesAnItemOfTheSameRevisionAndOtherContent() {
			completeFullRead(1, 10, runner("a", 9, 7, false));
			receiveChanges(2, 10);
			onlyEffect(FollowEffect.ReadPage.class);
			receivePage(false, 2, 10, runner("a", 9, 8, false));
			assertThat(view().runners().get(A).address().getPort()).isEqualTo(8);
		}

	}

	@Nested
	class WhatTheCopyLacks {

		private void restore(long era, long revision, RegistryItem... items) {
			receiveChanges(era, revision);
			receivePage(false, era, revision, items);
		}

		// Guards against a configuration that goes back, and revoked keys with it.
		@Test
		void leavesTheConfigurationInForceUntilItIsWrittenAgain() {
			completeFullRead(1, 90, configuration(8, 80));
			restore(2, 40, configuration(7, 30, "revoked"));
			assertThat(configurationVersion()).isEqualTo(8);
			assertThat(view().configuration().orElseThrow().accounts()).isEmpty();
			receiveChanges(2, 42, configuration(8, 42, "other"));
			assertThat(configurationVersion()).isEqualTo(8);
			assertThat(view().configuration().orElseThrow().accounts()).containsOnlyKeys("other");
		}

		@Test
		void leavesAConfigurationInForceThatTheCopyDoesNotContain() {
			completeFullRead(1, 90, configuration(8, 80));
			restore(2, 40);
			assertThat(configurationVersion()).isEqualTo(8);
			receiveChanges(2, 41, configuration(9, 41));
			assertThat(configurationVersion()).isEqualTo(9);
		}

		@Test
		void leavesDeclaredVersionsInForce() {
			completeFullRead(1, 90, version(3, 80));
			restore(2, 40, version(2, 30));
			assertThat(view().version(MODEL)).isEqualTo(3);
			restore(3, 20);
			assertThat(view().version(MODEL)).isEqualTo(3);
			tickAfter(100);
			receiveChanges(3, 21, version(4, 21));
			assertThat(view().version(MODEL)).isEqualTo(4);
		}

		// Guards against callers that are rejected since runners are dropped at once, and
		// against runners that are kept for ever.
		@Test
		void keepsMissingRunnersForTheGracePeriodOnly() {
			completeFullRead(1, 90, runner("a", 80), runner("b", 81));
			restore(2, 40);
			assertThat(view().runners()).containsOnlyKeys(A, B);
			tickAfter(1000);
			receiveChanges(2, 41, runner("a", 41));
			tickAfter(1100);
			assertThat(view().runners()).containsOnlyKeys(A);
		}

		@Test
		void doesNotKeepAMissingRunnerThatWasDraining() {
			completeFullRead(1, 90, runner("a", 80, 1, true));
			restore(2, 40);
			assertThat(view().runners()).isEmpty();
		}

		// Guards against requests to a runner that has announced its end, which the copy
		// does not show.
		@Test
		void leavesARunnerDrainingUntilItIsWrittenAgain() {
			completeFullRead(1, 90, runner("a", 80, 1, true));
			restore(2, 40, runner("a", 30, 1, false));
			assertThat(view().runners().get(A).draining()).isTrue();
			receiveChanges(2, 41, runner("a", 41, 1, false));
			assertThat(view().runners().get(A).draining()).isFalse();
		}

		@Test
		void isKeptOverTwoRestoresInARow() {
			completeFullRead(1, 90, configuration(8, 80), runner("a", 81));
			restore(2, 40, configuration(7, 30));
			restore(3, 20, configuration(6, 10));
			assertThat(configurationVersion()).isEqualTo(8);
			assertThat(view().runners()).containsOnlyKeys(A);
			tickAfter(2100);
			assertThat(view().runners()).isEmpty();
			assertThat(configurationVersion()).isEqualTo(8);
		}

		// Guards against a wall clock that stands still or jumps during the restore.
		@Test
		void isKeptByTheMonotonicClock() {
			completeFullRead(1, 90, runner("a", 81));
			reduce(new FollowEvent.ChangesReceived(call(), new Moment(RegistryRestoreTests.this.now, -1),
					new RegistryPage(List.of(), false, at(2, 40))));
			reduce(new FollowEvent.PageReceived(call(), new Moment(RegistryRestoreTests.this.now, Long.MAX_VALUE / 4),
					new RegistryPage(List.of(), false, at(2, 40))));
			assertThat(view().runners()).containsOnlyKeys(A);
			tickAfter(2100);
			assertThat(view().runners()).isEmpty();
		}

	}

	@Nested
	class ACopyOfAnotherProcess {

		private void loseRegistry() {
			failCall(false);
			tickAfter(3500);
		}

		// Guards against a gateway that is cut off and never learns of the new era.
		@Test
		void ofALaterEraReplacesTheItemsAlsoWithALowerRevision() {
			completeFullRead(1, 90, configuration(8, 80), runner("a", 81));
			loseRegistry();
			receiveCopy(100, at(2, 0), at(2, 40), configuration(7, 30), runner("b", 31));
			assertThat(view().position()).isEqualTo(at(2, 40));
			assertThat(configurationVersion()).isEqualTo(8);
			assertThat(view().runners()).containsOnlyKeys(A, B);
			tickAfter(2100);
			assertThat(view().runners()).containsOnlyKeys(B);
		}

		@Test
		void ofALaterEraThatIsNotWholeIsIgnored() {
			completeFullRead(1, 30, configuration(8, 20), runner("a", 21));
			receiveCopy(100, at(1, 30), at(2, 40), runner("b", 31));
			assertThat(view().position()).isEqualTo(at(1, 30));
		}

		// Guards against changes that are missed since the watch in progress refers to
		// the earlier era.
		@Test
		void ofALaterEraStartsAWatchFromItsPosition() {
			completeFullRead(1, 90, runner("a", 81));
			long abandoned = call();
			receiveCopy(100, at(2, 0), at(2, 40), runner("a", 31));
			assertThat(onlyEffect(FollowEffect.Watch.class).afterRevision()).isEqualTo(40);
			reduce(new FollowEvent.ChangesReceived(abandoned, moment(), new RegistryPage(List.of(), false, at(2, 95))));
			assertThat(view().position()).isEqualTo(at(2, 40));
		}

		@Test
		void ofAnOlderEraNeitherReplacesNorConfirmsTheItems() {
			completeFullRead(2, 40, configuration(7, 30), runner("a", 31));
			loseRegistry();
			receiveCopy(100, at(2, 40), at(1, 90), configuration(6, 80), runner("b", 81));
			assertThat(view().runners()).containsOnlyKeys(A);
			assertThat(configurationVersion()).isEqualTo(7);
			assertThat(has(FollowEffect.Confirm.class)).isFalse();
		}

		@Test
		void ofAnOlderEraContributesAHigherConfiguration() {
			completeFullRead(2, 40, configuration(7, 30, "revoked"), runner("a", 31));
			receiveCopy(100, at(2, 40), at(1, 90), configuration(8, 80), version(2, 70));
			assertThat(configurationVersion()).isEqualTo(8);
			assertThat(view().version(MODEL)).isEqualTo(2);
			assertThat(view().position()).isEqualTo(at(2, 40));
		}

		@Test
		void containsTheItemsThatTheRegistryLacksAndNoRunnersThatItLacks() {
			completeFullRead(1, 90, configuration(8, 80), runner("a", 81));
			receiveChanges(2, 40);
			receivePage(false, 2, 40, configuration(7, 30), runner("b", 31));
			FollowState holder = RegistryRestoreTests.this.state;
			assertThat(holder.deltaSince(at(2, 40)).changes()).extracting(RegistryItem::key)
				.containsExactly("configuration");
			RegistryDelta whole = holder.deltaSince(at(1, 95));
			assertThat(whole.after()).isEqualTo(at(2, 0));
			assertThat(whole.keys()).containsExactlyInAnyOrder("configuration", "runners/b");
			assertThat(whole.changes()).extracting(RegistryItem::key)
				.containsExactlyInAnyOrder("configuration", "runners/b");
			assertThat(holder.deltaSince(at(3, 1)).changes()).extracting(RegistryItem::key)
				.containsExactly("configuration");
		}

		// Guards against a process that takes a revoked key for valid since the one that
		// it asks has the configuration from a third one and does not pass it on.
		@Test
		void passesOnWhatTheRegistryLacksAlsoToAThirdProcess() {
			completeFullRead(1, 90, configuration(8, 80), version(2, 81));
			receiveChanges(2, 40);
			receivePage(false, 2, 40, configuration(7, 30, "revoked"), version(1, 31));
			RegistryDelta whole = RegistryRestoreTests.this.state.deltaSince(at(1, 95));
			RegistryDelta changes = RegistryRestoreTests.this.state.deltaSince(at(2, 20));
			RegistryDelta first = passOn(at(1, 95), whole).deltaSince(at(2, 40));
			assertThat(first.changes()).extracting(RegistryItem::key)
				.containsExactlyInAnyOrder("configuration", "version");
			assertThat(passOn(at(2, 20), changes).deltaSince(at(2, 40)).changes()).extracting(RegistryItem::key)
				.containsExactlyInAnyOrder("configuration", "version");
			receiveChanges(2, 50, configuration(9, 50));
			assertThat(configurationVersion()).isEqualTo(9);
		}

		/*
		 * Returns the state of a process that receives a copy while it is at a position
		 * with an older configuration.
		 */
		private FollowState passOn(RegistryPosition position, RegistryDelta delta) {
			RegistryRestoreTests.this.state = FollowState.initial(FollowTimes.forAllItems(1500), 7);
			completeFullRead(position.era(), position.revision(), configuration(6, 10), version(1, 11));
			reduce(new FollowEvent.CopyReceived(moment(), delta));
			return RegistryRestoreTests.this.state;
		}

	}

	@Nested
	class TheFirstContentOfAnEra {

		// Guards against a gateway that accepts a revoked key since it has read the copy
		// from before the revocation.
		@Test
		void isConfirmedAsOfTheCopyOfAnotherProcessWhoseConfigurationIsHigher() {
			tickAfter(0);
			receivePage(false, 2, 40, configuration(7, 30, "revoked"));
			assertThat(has(FollowEffect.Confirm.class)).isFalse();
			tickAfter(100);
			receiveCopy(400, at(2, 40), at(2, 40), configuration(8, 30));
			assertThat(view().configuration().orElseThrow().accounts()).isEmpty();
			assertThat(onlyEffect(FollowEffect.Confirm.class).at().ageMillis(moment())).isEqualTo(400);
			receiveChanges(2, 40);
			assertThat(has(FollowEffect.Confirm.class)).isFalse();
		}

		@Test
		void isConfirmedByAResponseRequestedASecondLaterIfTheProcessHasJustStarted() {
			tickAfter(0);
			receivePage(false, 2, 40, configuration(7, 30));
			assertThat(onlyEffect(FollowEffect.Watch.class).waitMillis()).isEqualTo(1000);
			RegistryRestoreTests.this.now += 900;
			Moment requestedAt = moment();
			receiveChanges(2, 40);
			assertThat(has(FollowEffect.Confirm.class)).isFalse();
			assertThat(onlyEffect(FollowEffect.Watch.class).waitMillis()).isEqualTo(100);
			RegistryRestoreTests.this.now += 100;
			reduce(new FollowEvent.ChangesReceived(call(), requestedAt, new RegistryPage(List.of(), false, at(2, 40))));
			assertThat(has(FollowEffect.Confirm.class)).isFalse();
			assertThat(onlyEffect(FollowEffect.Watch.class).waitMillis()).isEqualTo(1);
			receiveChanges(2, 40);
			onlyEffect(FollowEffect.Confirm.class);
			assertThat(onlyEffect(FollowEffect.Watch.class).waitMillis()).isEqualTo(1500);
		}

		// Guards against a gateway that was cut off when a key was revoked, reads the
		// copy from before the revocation and takes it for current.
		@Test
		void isConfirmedByTheRegistryAfterTwoSecondsIfItWasRestored() {
			completeFullRead(1, 90, configuration(7, 80));
			receiveChanges(2, 40);
			receivePage(false, 2, 40, configuration(7, 30));
			confirmAfterTwoSeconds();
		}

		@Test
		void thatAnotherProcessPassesOnIsConfirmedByTheRegistryAfterTwoSecondsToo() {
			completeFullRead(1, 90, configuration(7, 80));
			receiveCopy(100, at(2, 0), at(2, 40), configuration(7, 30));
			confirmAfterTwoSeconds();
		}

		private void confirmAfterTwoSeconds() {
			RegistryRestoreTests.this.now += 1900;
			receiveChanges(2, 40);
			assertThat(has(FollowEffect.Confirm.class)).isFalse();
			RegistryRestoreTests.this.now += 200;
			receiveChanges(2, 40);
			onlyEffect(FollowEffect.Confirm.class);
		}

		@Test
		void isFollowedByRequestsForCopiesUntilOneArrives() {
			tickAfter(0);
			receivePage(false, 2, 40, configuration(7, 30));
			tickAfter(5000);
			assertThat(onlyEffect(FollowEffect.RequestCopy.class).after()).isEqualTo(at(2, 40));
			receiveChanges(2, 40);
			receiveCopy(100, at(2, 40), at(2, 40));
			tickAfter(1000);
			assertThat(has(FollowEffect.RequestCopy.class)).isFalse();
		}

		@Test
		void isFollowedByFurtherRequestsIfACopyIsItselfOutOfDate() {
			tickAfter(0);
			receivePage(false, 2, 40, configuration(7, 30));
			receiveCopy(60_000, at(2, 40), at(2, 40));
			receiveChanges(2, 40);
			tickAfter(1100);
			receiveChanges(2, 40);
			tickAfter(900);
			onlyEffect(FollowEffect.RequestCopy.class);
		}

		@Test
		void isConfirmedAtOnceIfTheRegistryReportsNoEras() {
			tickAfter(0);
			receivePage(false, 0, 40, configuration(7, 30));
			onlyEffect(FollowEffect.Confirm.class);
		}

	}

	@Nested
	class AnEvacuation {

		private static final DataCentreName DATA_CENTRE = new DataCentreName("a");

		private static RegistryItem evacuation(String dataCentre, long revision) {
			return item("evacuations/" + dataCentre, revision,
					new RegistryValue.Evacuation(new DataCentreName(dataCentre)));
		}

		private static RegistryItem takenBack(String dataCentre, long revision) {
			return new RegistryItem("evacuations/" + dataCentre, revision, null);
		}

		private void restore(long revision, RegistryItem... items) {
			receiveChanges(2, revision);
			receivePage(false, 2, revision, items);
		}

		@Test
		void holdsForEachDataCentreUntilItIsTakenBack() {
			completeFullRead(1, 10, evacuation("a", 3));
			receiveChanges(1, 11, evacuation("b", 11));
			assertThat(view().evacuated()).containsExactlyInAnyOrder(DATA_CENTRE, new DataCentreName("b"));
			tickAfter(100);
			receiveChanges(1, 12, takenBack("a", 12));
			assertThat(view().evacuated()).containsExactly(new DataCentreName("b"));
		}

		// Guards against a gateway that has lost the registry and neither begins nor ends
		// an evacuation.
		@Test
		void beginsAndEndsWithTheCopyOfAnotherProcess() {
			completeFullRead(1, 10, runner("a", 3));
			failCall(false);
			receiveCopy(100, at(1, 10), at(1, 12), runner("a", 3), evacuation("a", 12));
			assertThat(view().evacuated()).containsExactly(DATA_CENTRE);
			receiveCopy(50, at(1, 12), at(1, 13), runner("a", 3));
			assertThat(view().evacuated()).isEmpty();
		}

		// Guards against requests to a data centre whose evacuation the registry has lost
		// and that is about to be written again.
		@Test
		void thatARestoredRegistryLacksHoldsWhileItMayBeWrittenAgain() {
			completeFullRead(1, 90, evacuation("a", 80));
			restore(40);
			tickAfter(1900);
			assertThat(view().evacuated()).containsExactly(DATA_CENTRE);
			receiveChanges(2, 41, evacuation("a", 41));
			tickAfter(5000);
			assertThat(view().evacuated()).containsExactly(DATA_CENTRE);
			receiveChanges(2, 42, takenBack("a", 42));
			assertThat(view().evacuated()).isEmpty();
		}

		@Test
		void thatIsNotWrittenAgainEnds() {
			completeFullRead(1, 90, evacuation("a", 80));
			restore(40);
			tickAfter(2100);
			assertThat(view().evacuated()).isEmpty();
		}

		// Guards against an end before that time by the copy of a process that does not
		// know of the evacuation, and by a second full read.
		@Test
		void thatARestoredRegistryLacksIsNotEndedByACopyOrAnotherRead() {
			completeFullRead(1, 90, evacuation("a", 80), runner("a", 3));
			restore(40, runner("a", 3));
			tickAfter(300);
			receiveCopy(100, at(2, 40), at(2, 41), runner("a", 3), runner("b", 41));
			assertThat(view().evacuated()).containsExactly(DATA_CENTRE);
			failCall(true);
			receivePage(false, 2, 42, runner("a", 3), runner("b", 41));
			assertThat(view().evacuated()).containsExactly(DATA_CENTRE);
			tickAfter(2000);
			assertThat(view().evacuated()).isEmpty();
		}

		// Guards against a data centre that counts as usable although the registry, which
		// was restored from a copy of the time of the evacuation, says otherwise.
		@Test
		void thatARestoredRegistryContainsAgainHoldsUntilItIsTakenBack() {
			completeFullRead(1, 90, runner("a", 3));
			restore(40, evacuation("a", 30), runner("a", 3));
			tickAfter(10_000);
			assertThat(view().evacuated()).containsExactly(DATA_CENTRE);
			receiveChanges(2, 41, takenBack("a", 41));
			assertThat(view().evacuated()).isEmpty();
		}

	}

}
