package org.catkingate.decisions.registry;

import java.net.InetSocketAddress;
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
import org.catkingate.model.DataCentreName;
import org.catkingate.model.ModelName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.CallerLimits;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.model.registry.RegistryItem;
import org.catkingate.model.registry.RegistryPage;
import org.catkingate.model.registry.RegistryPosition;
import org.catkingate.model.registry.RegistryValue;
import org.catkingate.model.registry.RouteTable;
import org.catkingate.model.registry.ServingConfiguration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FollowReducer}.
 */
class FollowReducerTests {

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

	private void receivePage(boolean hasMore, long revision, RegistryItem... items) {
		reduce(new FollowEvent.PageReceived(call(), moment(), new RegistryPage(List.of(items), hasMore, revision)));
	}

	private void receiveChanges(long revision, RegistryItem... items) {
		reduce(new FollowEvent.ChangesReceived(call(), moment(), new RegistryPage(List.of(items), false, revision)));
	}

	private void failCall(boolean historyGone) {
		reduce(new FollowEvent.CallFailed(call(), historyGone, "no response"));
	}

	private static RegistryItem runner(String id, long revision, boolean draining) {
		return new RegistryItem("runners/" + id, revision,
				new RegistryValue.Runner(new RegisteredRunner(new RunnerId(id), 1, new ServiceName("songs"),
						new InetSocketAddress("127.0.0.1", 1), new DataCentreName("a"), 4, draining, Map.of(), 0)));
	}

	private static RegistryItem removed(String id, long revision) {
		return new RegistryItem("runners/" + id, revision, null);
	}

	private static RegistryItem configuration(long version, long revision) {
		return new RegistryItem("configuration", revision,
				new RegistryValue.Configuration(new ServingConfiguration(version, RouteTable.of(List.of()), Map.of(),
						Map.of(), new CallerLimits(1, 1, 1, 1))));
	}

	private RegistryView published() {
		return this.effects.stream()
			.filter(FollowEffect.Publish.class::isInstance)
			.map(FollowEffect.Publish.class::cast)
			.reduce((first, second) -> second)
			.orElseThrow()
			.view();
	}

	private <T extends Effect> T onlyEffect(Class<T> type) {
		List<T> found = this.effects.stream().filter(type::isInstance).map(type::cast).toList();
		assertThat(found).as("effects of type %s among %s", type.getSimpleName(), this.effects).hasSize(1);
		return found.get(0);
	}

	private void completeFullRead(RegistryItem... items) {
		tickAfter(0);
		receivePage(false, 10, items);
	}

	// Guards against requests that are sent to a runner of the time before a loss of
	// power,
	// whose registration has not expired yet.
	@Test
	void aRunnerIsSupersededByOneThatStartedLaterAtItsAddress() {
		RegistryItem restarted = new RegistryItem("runners/b", 9,
				new RegistryValue.Runner(new RegisteredRunner(new RunnerId("b"), 2, new ServiceName("songs"),
						new InetSocketAddress("127.0.0.1", 1), new DataCentreName("a"), 4, false, Map.of(), 0)));
		completeFullRead(runner("a", 3, false), restarted);
		assertThat(published().runners()).containsOnlyKeys(new RunnerId("b"));
		receiveChanges(12, removed("b", 11));
		assertThat(published().runners()).containsOnlyKeys(new RunnerId("a"));
	}

	@Nested
	class AFullRead {

		@Test
		void requestsPagesInOrderAndThenWatchesFromTheLowestRevision() {
			tickAfter(0);
			assertThat(onlyEffect(FollowEffect.ReadPage.class).afterKey()).isEmpty();
			receivePage(true, 10, runner("a", 3, false));
			assertThat(onlyEffect(FollowEffect.ReadPage.class).afterKey()).isEqualTo("runners/a");
			receivePage(false, 12, runner("b", 11, false));
			assertThat(published().runners()).hasSize(2);
			assertThat(onlyEffect(FollowEffect.Watch.class).afterRevision()).isEqualTo(10);
		}

		@Test
		void restartsWhenTheHistoryIsGone() {
			completeFullRead(runner("a", 3, false));
			failCall(true);
			assertThat(onlyEffect(FollowEffect.ReadPage.class).afterKey()).isEmpty();
			receivePage(false, 90, runner("b", 80, false));
			assertThat(published().runners()).containsOnlyKeys(new RunnerId("b"));
		}

	}

	@Nested
	class Changes {

		@Test
		void thatAreOlderThanTheKnownItemAreDropped() {
			completeFullRead(runner("a", 9, true));
			receiveChanges(11, runner("a", 4, false));
			assertThat(published().runners().get(new RunnerId("a")).draining()).isTrue();
		}

		@Test
		void areBatchedBeforeTheNextWatch() {
			completeFullRead(runner("a", 3, false));
			receiveChanges(11, runner("b", 11, false));
			assertThat(this.watches()).isZero();
			tickAfter(50);
			assertThat(onlyEffect(FollowEffect.Watch.class).afterRevision()).isEqualTo(11);
		}

		private long watches() {
			return FollowReducerTests.this.effects.stream().filter(FollowEffect.Watch.class::isInstance).count();
		}

		@Test
		void neverReplaceAConfigurationWithALowerVersion() {
			completeFullRead(configuration(8, 5));
			receiveChanges(11, configuration(6, 11));
			assertThat(published().configuration().orElseThrow().version()).isEqualTo(8);
			assertThat(onlyEffect(FollowEffect.ReportUnusable.class).reason()).contains("lower");
		}

		@Test
		void thatAreUnreadableAreReportedOnceAndLeaveTheConfigurationInForce() {
			completeFullRead(configuration(8, 5));
			RegistryItem unreadable = new RegistryItem("configuration", 11, new RegistryValue.Unreadable("torn"));
			receiveChanges(11, unreadable);
			assertThat(published().configuration()).isPresent();
			assertThat(onlyEffect(FollowEffect.ReportUnusable.class).key()).isEqualTo("configuration");
		}

		@Test
		void ofADeclaredVersionAppearInTheView() {
			ModelName model = new ModelName("m");
			completeFullRead(new RegistryItem("v", 4, new RegistryValue.DeclaredVersion(model, 2)));
			assertThat(RegistryView.of(RegistryPosition.START, this.items()).version(model)).isEqualTo(2);
		}

		private List<RegistryItem> items() {
			return List.copyOf(FollowReducerTests.this.state.items().values());
		}

	}

	@Nested
	class Failures {

		@Test
		void areRetriedAtGrowingIntervals() {
			tickAfter(0);
			List<Long> waits = new ArrayList<>();
			for (int i = 0; i < 6; i++) {
				failCall(false);
				long before = FollowReducerTests.this.now;
				while (FollowReducerTests.this.effects.stream().noneMatch(FollowEffect.ReadPage.class::isInstance)) {
					tickAfter(10);
				}
				waits.add(FollowReducerTests.this.now - before);
			}
			assertThat(waits.get(0)).isBetween(50L, 110L);
			assertThat(waits.get(5)).isBetween(400L, 810L);
		}

		@Test
		void areReportedOnceAndSoIsTheRecovery() {
			completeFullRead(runner("a", 3, false));
			failCall(false);
			onlyEffect(FollowEffect.ReportUnavailable.class);
			tickAfter(900);
			failCall(false);
			assertThat(FollowReducerTests.this.effects).noneMatch(FollowEffect.ReportUnavailable.class::isInstance);
			tickAfter(900);
			receiveChanges(10);
			assertThat(onlyEffect(FollowEffect.ReportAvailable.class).failures()).isEqualTo(2);
		}

		@Test
		void keepRunnersThatExpiredMeanwhileForTheGracePeriodOnly() {
			completeFullRead(runner("a", 3, false));
			failCall(false);
			tickAfter(900);
			receiveChanges(20, removed("a", 15));
			assertThat(published().runners()).hasSize(1);
			tickAfter(1900);
			assertThat(FollowReducerTests.this.state.items()).isNotEmpty();
			tickAfter(200);
			assertThat(published().runners()).isEmpty();
		}

		// Guards against runners that are dropped at once since the registry, back from
		// an
		// outage, no longer keeps the history.
		@Test
		void keepRunnersThatExpiredMeanwhileAlsoIfTheHistoryIsGone() {
			completeFullRead(runner("a", 3, false));
			failCall(false);
			tickAfter(900);
			failCall(true);
			onlyEffect(FollowEffect.ReportAvailable.class);
			receivePage(false, 20);
			assertThat(published().runners()).hasSize(1);
			tickAfter(2100);
			assertThat(published().runners()).isEmpty();
		}

		@Test
		void doNotKeepARunnerThatWasDraining() {
			completeFullRead(runner("a", 3, true));
			failCall(false);
			tickAfter(900);
			receiveChanges(20, removed("a", 15));
			assertThat(published().runners()).isEmpty();
		}

		@Test
		void ofAnAbandonedCallChangeNothing() {
			completeFullRead(runner("a", 3, false));
			FollowState before = FollowReducerTests.this.state;
			reduce(new FollowEvent.CallFailed(call() - 1, false, "late"));
			assertThat(FollowReducerTests.this.state).isSameAs(before);
		}

	}

	@Nested
	class AConfirmation {

		@Test
		void datesFromTheTimeOfTheRequest() {
			tickAfter(0);
			Moment requestedAt = moment();
			FollowReducerTests.this.now += 400;
			reduce(new FollowEvent.PageReceived(call(), requestedAt, new RegistryPage(List.of(), false, 3)));
			assertThat(onlyEffect(FollowEffect.Confirm.class).at()).isEqualTo(requestedAt);
		}

		@Test
		void agesDuringASuspensionThatOnlyTheWallClockShows() {
			assertThat(new Moment(1000, 50_000).ageMillis(new Moment(1100, 59_000))).isEqualTo(9000);
			assertThat(new Moment(1000, 50_000).ageMillis(new Moment(4000, 20_000))).isEqualTo(3000);
		}

	}

	@Nested
	class AProcessThatWatchesVersionsOnly {

		private void start() {
			FollowReducerTests.this.state = FollowState.initial(FollowTimes.forVersionsOnly(1500), 7);
			tickAfter(0);
		}

		private boolean watchesVersionsOnly() {
			return onlyEffect(FollowEffect.Watch.class).versionsOnly();
		}

		// Guards against all loaders fetching each large configuration over network
		// links that the gateways need for it.
		@Test
		void watchesNothingElseOnceItHasAConfiguration() {
			start();
			receivePage(false, 10, configuration(5, 9));
			assertThat(watchesVersionsOnly()).isTrue();
		}

		@Test
		void watchesEverythingUntilItHasAConfiguration() {
			start();
			receivePage(false, 10);
			assertThat(watchesVersionsOnly()).isFalse();
			receiveChanges(11, configuration(5, 11));
			tickAfter(100);
			assertThat(watchesVersionsOnly()).isTrue();
		}

		@Test
		void takesANewConfigurationFromALaterFullRead() {
			start();
			receivePage(false, 10, configuration(5, 9));
			long watch = call();
			reduce(new FollowEvent.RereadDue());
			assertThat(onlyEffect(FollowEffect.ReadPage.class).afterKey()).isEmpty();
			reduce(new FollowEvent.ChangesReceived(watch, moment(), new RegistryPage(List.of(), false, 10)));
			assertThat(FollowReducerTests.this.effects).isEmpty();
			receivePage(false, 20, configuration(6, 19));
			assertThat(FollowReducerTests.this.state.view().configuration().orElseThrow().version()).isEqualTo(6);
			assertThat(watchesVersionsOnly()).isTrue();
		}

	}

	@Nested
	class ACopyOfAnotherProcess {

		private void receiveCopy(long ageMillis, long afterRevision, long revision, RegistryItem... changes) {
			Set<String> keys = (revision > afterRevision)
					? Arrays.stream(changes).map(RegistryItem::key).collect(Collectors.toSet()) : Set.of();
			reduce(new FollowEvent.CopyReceived(moment().minusMillis(ageMillis),
					new RegistryDelta(new RegistryPosition(0, afterRevision), new RegistryPosition(0, revision), keys,
							List.of(changes))));
		}

		private void loseRegistry() {
			completeFullRead(configuration(1, 5), runner("a", 3, false), runner("b", 4, false));
			failCall(false);
			tickAfter(3500);
		}

		@Test
		void isRequestedOnceTheRegistryHasNotConfirmedTheViewForLongerThanUsual() {
			completeFullRead(configuration(1, 5));
			failCall(false);
			tickAfter(3000);
			assertThat(FollowReducerTests.this.effects).noneMatch(FollowEffect.RequestCopy.class::isInstance);
			tickAfter(400);
			assertThat(onlyEffect(FollowEffect.RequestCopy.class).after().revision()).isEqualTo(10);
			tickAfter(300);
			assertThat(FollowReducerTests.this.effects).noneMatch(FollowEffect.RequestCopy.class::isInstance);
			tickAfter(600);
			onlyEffect(FollowEffect.RequestCopy.class);
		}

		@Test
		void isNotRequestedByAProcessThatReadsTheConfigurationOnlyNowAndThen() {
			FollowReducerTests.this.state = FollowState.initial(FollowTimes.forVersionsOnly(8000), 7);
			loseRegistry();
			tickAfter(60_000);
			assertThat(FollowReducerTests.this.effects).noneMatch(FollowEffect.RequestCopy.class::isInstance);
		}

		@Test
		void replacesItemsAndConfirmsThemAsOfItsOwnAge() {
			loseRegistry();
			receiveCopy(700, 10, 12, configuration(2, 11), runner("b", 12, true));
			assertThat(published().configuration().orElseThrow().version()).isEqualTo(2);
			assertThat(published().runners()).containsOnlyKeys(new RunnerId("b"));
			assertThat(published().runners().get(new RunnerId("b")).draining()).isTrue();
			Moment confirmedAt = onlyEffect(FollowEffect.Confirm.class).at();
			assertThat(confirmedAt.ageMillis(moment())).isEqualTo(700);
		}

		@Test
		void confirmsTheViewIfNothingHasChanged() {
			loseRegistry();
			receiveCopy(700, 10, 10);
			assertThat(FollowReducerTests.this.effects).noneMatch(FollowEffect.Publish.class::isInstance);
			onlyEffect(FollowEffect.Confirm.class);
		}

		// Guards against a configuration that goes back because of an older copy.
		@Test
		void neverReplacesAConfigurationByALowerVersion() {
			loseRegistry();
			receiveCopy(700, 10, 12, configuration(0, 11), runner("a", 3, false), runner("b", 4, false));
			assertThat(published().configuration().orElseThrow().version()).isEqualTo(1);
		}

		@Test
		void thatBelongsToALaterRequestThanTheItemsIsIgnored() {
			loseRegistry();
			receiveCopy(0, 11, 11);
			assertThat(FollowReducerTests.this.effects).isEmpty();
		}

		// Guards against a runner that is used for ever since its registration arrives
		// after the copy that reflects its removal.
		@Test
		void isNotFollowedByOlderChanges() {
			completeFullRead(configuration(1, 5));
			receiveCopy(100, 10, 14, configuration(1, 5));
			receiveChanges(12, runner("a", 11, false));
			assertThat(FollowReducerTests.this.state.view().runners()).isEmpty();
			assertThat(onlyEffect(FollowEffect.Watch.class).afterRevision()).isEqualTo(14);
		}

		// Guards against pages that were requested before the copy and arrive after it.
		@Test
		void isNotReplacedByAnOlderFullRead() {
			tickAfter(0);
			receiveCopy(100, 0, 12, configuration(2, 11), runner("b", 12, true));
			receivePage(false, 10, configuration(1, 5), runner("b", 4, false));
			assertThat(published().runners().get(new RunnerId("b")).draining()).isTrue();
			assertThat(onlyEffect(FollowEffect.Watch.class).afterRevision()).isEqualTo(12);
		}

	}

}
