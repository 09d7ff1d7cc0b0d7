package org.catkingate.decisions.loading;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Event;
import org.catkingate.decisions.Step;
import org.catkingate.model.Digest;
import org.catkingate.model.ModelName;
import org.catkingate.model.registry.PieceDigests;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LoadReducer}.
 */
class LoadReducerTests {

	private static final ModelName MODEL = new ModelName("m");

	private static final int PIECES = 20;

	private final LoadReducer reducer = LoadReducer.create();

	private final List<Effect> effects = new ArrayList<>();

	private LoadState state = LoadState.initial(LoadSettings.within(8000, 5));

	private long now = 1000;

	private void happens(Event event) {
		Step<LoadState> step = this.reducer.reduce(this.state, this.now, event);
		this.state = step.state();
		this.effects.addAll(step.effects());
	}

	private void after(long millis) {
		this.now += millis;
		happens(new LoadEvent.Ticked());
	}

	private void reports(boolean loading, Map<ModelName, Long> models) {
		happens(new LoadEvent.Reported(1, loading, models));
	}

	private <T extends Effect> List<T> taken(Class<T> type) {
		List<T> found = this.effects.stream().filter(type::isInstance).map(type::cast).toList();
		this.effects.removeAll(found);
		return found;
	}

	private static PieceDigests digests(long version) {
		List<Digest> digests = new ArrayList<>();
		for (int i = 0; i < PIECES; i++) {
			digests.add(Digest.of((version + "/" + i).getBytes(StandardCharsets.UTF_8)));
		}
		return new PieceDigests(MODEL, version, 100, digests);
	}

	private static Set<Integer> all() {
		Set<Integer> all = new HashSet<>();
		for (int i = 0; i < PIECES; i++) {
			all.add(i);
		}
		return all;
	}

	private void fetchAll(long version) {
		List<LoadEffect.FetchPiece> fetches = taken(LoadEffect.FetchPiece.class);
		while (!fetches.isEmpty()) {
			fetches.forEach((fetch) -> happens(new LoadEvent.PieceEnded(MODEL, version, fetch.index(), true, 50)));
			fetches = taken(LoadEffect.FetchPiece.class);
		}
	}

	private void bringToCheck(long version) {
		if (version > 1) {
			happens(new LoadEvent.Declared(Map.of(MODEL, 1L)));
		}
		happens(new LoadEvent.Declared(Map.of(MODEL, version)));
		assertThat(taken(LoadEffect.AskDigests.class)).hasSize(1);
		happens(new LoadEvent.DigestsArrived(digests(version)));
		assertThat(taken(LoadEffect.CheckStaged.class)).hasSize(1);
		happens(new LoadEvent.Checked(MODEL, version, Set.of()));
		fetchAll(version);
		assertThat(taken(LoadEffect.CheckStaged.class)).hasSize(1);
	}

	private void waitForOrder() {
		long until = this.now + 8000;
		while (taken(LoadEffect.OrderLoad.class).isEmpty()) {
			assertThat(this.now).isLessThan(until);
			after(50);
			taken(LoadEffect.CheckStaged.class).forEach((check) -> happens(new LoadEvent.Checked(MODEL, 2, all())));
		}
	}

	@Test
	void allLoadersAskForPiecesInOneOrderSoThatNoneWaitsForAPieceOfItsOwn() {
		Set<List<Integer>> orders = new HashSet<>();
		for (long seed = 0; seed < 10; seed++) {
			this.state = LoadState.initial(LoadSettings.within(8000, seed));
			reports(false, Map.of());
			happens(new LoadEvent.Declared(Map.of(MODEL, 1L)));
			happens(new LoadEvent.DigestsArrived(digests(1)));
			happens(new LoadEvent.Checked(MODEL, 1, Set.of()));
			orders.add(taken(LoadEffect.FetchPiece.class).stream().map(LoadEffect.FetchPiece::index).toList());
		}
		assertThat(orders).hasSize(1);
	}

	@Test
	void digestsThatCannotBeHadAreAskedForAgain() {
		reports(false, Map.of());
		happens(new LoadEvent.Declared(Map.of(MODEL, 1L)));
		taken(LoadEffect.AskDigests.class);
		happens(new LoadEvent.DigestsFailed(MODEL, 1));
		assertThat(taken(LoadEffect.AskDigests.class)).isEmpty();
		after(200);
		assertThat(taken(LoadEffect.AskDigests.class)).hasSize(1);
	}

	@Nested
	class AnEmptyRunner {

		@Test
		void isLoadedAtOnceAfterEveryPieceWasReadBack() {
			reports(false, Map.of());
			bringToCheck(1);
			assertThat(taken(LoadEffect.OrderLoad.class)).isEmpty();
			happens(new LoadEvent.Checked(MODEL, 1, all()));
			assertThat(taken(LoadEffect.OrderLoad.class)).containsExactly(new LoadEffect.OrderLoad(MODEL, 1));
		}

		@Test
		void getsSpoiltPiecesAnewBeforeItIsLoaded() {
			reports(false, Map.of());
			bringToCheck(1);
			Set<Integer> good = all();
			good.remove(7);
			happens(new LoadEvent.Checked(MODEL, 1, good));
			assertThat(taken(LoadEffect.OrderLoad.class)).isEmpty();
			assertThat(taken(LoadEffect.FetchPiece.class)).extracting(LoadEffect.FetchPiece::index).containsExactly(7);
		}

		@Test
		void hasTwoPiecesUnderWaySoThatRequestsOverItsLinkWaitBehindNoMoreAndOneOverASlowLink() {
			reports(false, Map.of());
			happens(new LoadEvent.Declared(Map.of(MODEL, 1L)));
			happens(new LoadEvent.DigestsArrived(digests(1)));
			happens(new LoadEvent.Checked(MODEL, 1, Set.of()));
			List<LoadEffect.FetchPiece> first = taken(LoadEffect.FetchPiece.class);
			assertThat(first).hasSize(2);
			happens(new LoadEvent.PieceEnded(MODEL, 1, first.get(0).index(), true, 60));
			assertThat(taken(LoadEffect.FetchPiece.class)).hasSize(1);
			happens(new LoadEvent.PieceEnded(MODEL, 1, first.get(1).index(), true, 900));
			assertThat(taken(LoadEffect.FetchPiece.class)).isEmpty();
		}

	}

	@Nested
	class ARunnerThatServes {

		@Test
		void isLeftAloneWhileItsVersionIsTheDeclaredOne() {
			reports(false, Map.of(MODEL, 1L));
			happens(new LoadEvent.Declared(Map.of(MODEL, 1L)));
			after(5000);
			assertThat(taken(LoadEffect.AskDigests.class)).isEmpty();
		}

		@Test
		void isSwitchedAtAMomentOfItsOwnWithinTheTimeAllowed() {
			Set<Long> moments = new HashSet<>();
			for (long seed = 0; seed < 10; seed++) {
				LoadReducerTests.this.state = LoadState.initial(LoadSettings.within(8000, seed));
				LoadReducerTests.this.now = 1000;
				reports(false, Map.of(MODEL, 1L));
				bringToCheck(2);
				happens(new LoadEvent.Checked(MODEL, 2, all()));
				waitForOrder();
				moments.add(LoadReducerTests.this.now);
			}
			assertThat(moments).allMatch((moment) -> moment <= 1000 + 8000 - 1000);
			assertThat(moments).hasSizeGreaterThan(5);
		}

		@Test
		void changesAtTheTurnThatItWasTold() {
			List<Long> moments = new ArrayList<>();
			for (int place = 0; place < 4; place++) {
				LoadReducerTests.this.state = LoadState.initial(LoadSettings.within(8000, 1));
				LoadReducerTests.this.now = 1000;
				happens(new LoadEvent.TurnTold(MODEL, place, 4));
				reports(false, Map.of(MODEL, 1L));
				bringToCheck(2);
				happens(new LoadEvent.Checked(MODEL, 2, all()));
				waitForOrder();
				moments.add(LoadReducerTests.this.now);
			}
			assertThat(moments).isSorted().doesNotHaveDuplicates();
			assertThat(moments.get(3) - moments.get(2)).isBetween(700L, 900L);
		}

		@Test
		void isSwitchedAtOnceToAVersionThatWasDeclaredBeforeTheStart() {
			reports(false, Map.of(MODEL, 1L));
			happens(new LoadEvent.Declared(Map.of(MODEL, 2L)));
			happens(new LoadEvent.DigestsArrived(digests(2)));
			happens(new LoadEvent.Checked(MODEL, 2, all()));
			assertThat(taken(LoadEffect.OrderLoad.class)).hasSize(1);
		}

		@Test
		void isReadBackAgainIfItsTurnCameLate() {
			LoadReducerTests.this.state = LoadState.initial(LoadSettings.within(60_000, 3));
			reports(false, Map.of(MODEL, 1L));
			bringToCheck(2);
			happens(new LoadEvent.Checked(MODEL, 2, all()));
			after(59_000);
			assertThat(taken(LoadEffect.OrderLoad.class)).isEmpty();
			assertThat(taken(LoadEffect.CheckStaged.class)).hasSize(1);
		}

		private void declareAfterFetching(int pieces, long millis, long newer) {
			reports(false, Map.of(MODEL, 1L));
			happens(new LoadEvent.Declared(Map.of(MODEL, 1L)));
			happens(new LoadEvent.Declared(Map.of(MODEL, 2L)));
			happens(new LoadEvent.DigestsArrived(digests(2)));
			happens(new LoadEvent.Checked(MODEL, 2, Set.of()));
			for (int i = 0; i < pieces; i++) {
				happens(new LoadEvent.PieceEnded(MODEL, 2, i, true, 50));
			}
			after(millis);
			LoadReducerTests.this.effects.clear();
			happens(new LoadEvent.Declared(Map.of(MODEL, newer)));
		}

		@Test
		void turnsToANewerVersionWhileLittleOfTheOlderHasCome() {
			declareAfterFetching(3, 2000, 3);
			assertThat(taken(LoadEffect.AskDigests.class)).containsExactly(new LoadEffect.AskDigests(MODEL, 3));
			assertThat(LoadReducerTests.this.state.models().get(MODEL).declaredAtMillis()).isEqualTo(1000);
		}

		@Test
		void skipsAVersionThatHasLargelyComeIfTheNewerCanComeInItsTime() {
			declareAfterFetching(12, 2000, 3);
			assertThat(taken(LoadEffect.AskDigests.class)).containsExactly(new LoadEffect.AskDigests(MODEL, 3));
		}

		@Test
		void finishesAVersionThatIsSoonWholeIfTheNewerCannotComeInItsTime() {
			declareAfterFetching(12, 3600, 3);
			assertThat(taken(LoadEffect.AskDigests.class)).isEmpty();
			for (int i = 12; i < PIECES; i++) {
				happens(new LoadEvent.PieceEnded(MODEL, 2, i, true, 50));
			}
			happens(new LoadEvent.Checked(MODEL, 2, all()));
			waitForOrder();
			assertThat(LoadReducerTests.this.now).isLessThan(1000 + 8000 - 1200);
			reports(true, Map.of(MODEL, 1L));
			assertThat(taken(LoadEffect.AskDigests.class)).containsExactly(new LoadEffect.AskDigests(MODEL, 3));
		}

	}

	@Nested
	class AnOrder {

		private void order() {
			reports(false, Map.of());
			bringToCheck(1);
			happens(new LoadEvent.Checked(MODEL, 1, all()));
			assertThat(taken(LoadEffect.OrderLoad.class)).hasSize(1);
		}

		@Test
		void isNotRepeatedWhileTheRunnerLoads() {
			order();
			happens(new LoadEvent.Ordered(MODEL, 1, true));
			reports(true, Map.of());
			after(5000);
			assertThat(taken(LoadEffect.OrderLoad.class)).isEmpty();
			reports(false, Map.of(MODEL, 1L));
			assertThat(LoadReducerTests.this.state.models().get(MODEL).step()).isEqualTo(LoadStep.SETTLED);
		}

		@Test
		void thatIsRefusedIsPreparedAnew() {
			order();
			happens(new LoadEvent.Ordered(MODEL, 1, false));
			after(200);
			assertThat(taken(LoadEffect.CheckStaged.class)).hasSize(1);
		}

		@Test
		void isPreparedAnewForARunnerThatStartedAgain() {
			order();
			happens(new LoadEvent.Ordered(MODEL, 1, true));
			reports(false, Map.of(MODEL, 1L));
			reports(false, Map.of());
			assertThat(taken(LoadEffect.CheckStaged.class)).hasSize(1);
		}

	}

}
