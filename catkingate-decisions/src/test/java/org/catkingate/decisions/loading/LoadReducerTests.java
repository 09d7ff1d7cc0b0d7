package org.catkingate.decisions.loading;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Event;
import org.catkingate.decisions.ReductionResult;
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

	private LoadState state = LoadState.initial(LoadSettings.of(8000, 5));

	private long now = 1000;

	private void apply(Event event) {
		ReductionResult<LoadState> result = this.reducer.reduce(this.state, this.now, event);
		this.state = result.state();
		this.effects.addAll(result.effects());
	}

	private void advance(long millis) {
		this.now += millis;
		apply(new LoadEvent.Ticked());
	}

	private void report(boolean loading, Map<ModelName, Long> models) {
		apply(new LoadEvent.Reported(1, loading, models));
	}

	private <T extends Effect> List<T> takeEffects(Class<T> type) {
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

	private static Set<Integer> allPieces() {
		Set<Integer> all = new HashSet<>();
		for (int i = 0; i < PIECES; i++) {
			all.add(i);
		}
		return all;
	}

	private void fetchAll(long version) {
		List<LoadEffect.FetchPiece> fetches = takeEffects(LoadEffect.FetchPiece.class);
		while (!fetches.isEmpty()) {
			fetches.forEach((fetch) -> apply(new LoadEvent.PieceFetchEnded(MODEL, version, fetch.index(), true, 50)));
			fetches = takeEffects(LoadEffect.FetchPiece.class);
		}
	}

	private void advanceToCheck(long version) {
		if (version > 1) {
			apply(new LoadEvent.Declared(Map.of(MODEL, 1L)));
		}
		apply(new LoadEvent.Declared(Map.of(MODEL, version)));
		assertThat(takeEffects(LoadEffect.RequestDigests.class)).hasSize(1);
		apply(new LoadEvent.DigestsArrived(digests(version)));
		assertThat(takeEffects(LoadEffect.CheckStaged.class)).hasSize(1);
		apply(new LoadEvent.StagedPiecesChecked(MODEL, version, Set.of()));
		fetchAll(version);
		assertThat(takeEffects(LoadEffect.CheckStaged.class)).hasSize(1);
	}

	private void awaitLoadCommand() {
		long deadline = this.now + 8000;
		while (takeEffects(LoadEffect.SendLoadCommand.class).isEmpty()) {
			assertThat(this.now).isLessThan(deadline);
			advance(50);
			takeEffects(LoadEffect.CheckStaged.class)
				.forEach((check) -> apply(new LoadEvent.StagedPiecesChecked(MODEL, 2, allPieces())));
		}
	}

	@Test
	void allLoadersRequestPiecesInTheSameSequence() {
		// a piece that one loader waits for is then already on its way to all loaders
		Set<List<Integer>> sequences = new HashSet<>();
		for (long seed = 0; seed < 10; seed++) {
			this.state = LoadState.initial(LoadSettings.of(8000, seed));
			report(false, Map.of());
			apply(new LoadEvent.Declared(Map.of(MODEL, 1L)));
			apply(new LoadEvent.DigestsArrived(digests(1)));
			apply(new LoadEvent.StagedPiecesChecked(MODEL, 1, Set.of()));
			sequences.add(takeEffects(LoadEffect.FetchPiece.class).stream().map(LoadEffect.FetchPiece::index).toList());
		}
		assertThat(sequences).hasSize(1);
	}

	@Test
	void failedDigestsAreRequestedAgain() {
		report(false, Map.of());
		apply(new LoadEvent.Declared(Map.of(MODEL, 1L)));
		takeEffects(LoadEffect.RequestDigests.class);
		apply(new LoadEvent.DigestsFailed(MODEL, 1));
		assertThat(takeEffects(LoadEffect.RequestDigests.class)).isEmpty();
		advance(200);
		assertThat(takeEffects(LoadEffect.RequestDigests.class)).hasSize(1);
	}

	// Guards against an idle link while the first two pieces wait for the origin, and
	// against all pieces arriving at the same time ahead of requests to the runner.
	@Test
	void otherPiecesAreRequestedWhileGatewaysWaitForTheFirstOnes() {
		report(false, Map.of());
		apply(new LoadEvent.Declared(Map.of(MODEL, 1L)));
		apply(new LoadEvent.DigestsArrived(digests(1)));
		apply(new LoadEvent.StagedPiecesChecked(MODEL, 1, Set.of()));
		takeEffects(LoadEffect.FetchPiece.class);
		for (int index = 0; index < PIECES; index++) {
			apply(new LoadEvent.PiecesPending(List.of(digests(1).digests().get(index).hex())));
		}
		assertThat(takeEffects(LoadEffect.FetchPiece.class)).extracting(LoadEffect.FetchPiece::index)
			.containsExactly(2, 3, 4, 5);
	}

	@Nested
	class AnEmptyRunner {

		@Test
		void isLoadedImmediatelyAfterEveryPieceWasReadBack() {
			report(false, Map.of());
			advanceToCheck(1);
			assertThat(takeEffects(LoadEffect.SendLoadCommand.class)).isEmpty();
			apply(new LoadEvent.StagedPiecesChecked(MODEL, 1, allPieces()));
			assertThat(takeEffects(LoadEffect.SendLoadCommand.class))
				.containsExactly(new LoadEffect.SendLoadCommand(MODEL, 1));
		}

		@Test
		void getsNewCopiesOfCorruptPiecesBeforeItIsLoaded() {
			report(false, Map.of());
			advanceToCheck(1);
			Set<Integer> valid = allPieces();
			valid.remove(7);
			apply(new LoadEvent.StagedPiecesChecked(MODEL, 1, valid));
			assertThat(takeEffects(LoadEffect.SendLoadCommand.class)).isEmpty();
			assertThat(takeEffects(LoadEffect.FetchPiece.class)).extracting(LoadEffect.FetchPiece::index)
				.containsExactly(7);
		}

		@Test
		void isSentTwoPiecesAtATimeAndOneOverASlowLink() {
			// requests to the runner use the same link and wait behind every piece in
			// transit
			report(false, Map.of());
			apply(new LoadEvent.Declared(Map.of(MODEL, 1L)));
			apply(new LoadEvent.DigestsArrived(digests(1)));
			apply(new LoadEvent.StagedPiecesChecked(MODEL, 1, Set.of()));
			List<LoadEffect.FetchPiece> first = takeEffects(LoadEffect.FetchPiece.class);
			assertThat(first).hasSize(2);
			apply(new LoadEvent.PieceFetchEnded(MODEL, 1, first.get(0).index(), true, 60));
			assertThat(takeEffects(LoadEffect.FetchPiece.class)).hasSize(1);
			apply(new LoadEvent.PieceFetchEnded(MODEL, 1, first.get(1).index(), true, 900));
			assertThat(takeEffects(LoadEffect.FetchPiece.class)).isEmpty();
		}

	}

	@Nested
	class ARunnerThatServes {

		@Test
		void isNotChangedWhileItsVersionIsTheDeclaredOne() {
			report(false, Map.of(MODEL, 1L));
			apply(new LoadEvent.Declared(Map.of(MODEL, 1L)));
			advance(5000);
			assertThat(takeEffects(LoadEffect.RequestDigests.class)).isEmpty();
		}

		@Test
		void isSwitchedAtAPseudoRandomTimeWithinTheTimeAllowed() {
			Set<Long> switchTimes = new HashSet<>();
			for (long seed = 0; seed < 10; seed++) {
				LoadReducerTests.this.state = LoadState.initial(LoadSettings.of(8000, seed));
				LoadReducerTests.this.now = 1000;
				report(false, Map.of(MODEL, 1L));
				advanceToCheck(2);
				apply(new LoadEvent.StagedPiecesChecked(MODEL, 2, allPieces()));
				awaitLoadCommand();
				switchTimes.add(LoadReducerTests.this.now);
			}
			assertThat(switchTimes).allMatch((switchTime) -> switchTime <= 1000 + 8000 - 1000);
			assertThat(switchTimes).hasSizeGreaterThan(5);
		}

		@Test
		void isSwitchedAtTheTurnThatItWasAssigned() {
			List<Long> switchTimes = new ArrayList<>();
			for (int position = 0; position < 4; position++) {
				LoadReducerTests.this.state = LoadState.initial(LoadSettings.of(8000, 1));
				LoadReducerTests.this.now = 1000;
				apply(new LoadEvent.TurnAssigned(MODEL, position, 4));
				report(false, Map.of(MODEL, 1L));
				advanceToCheck(2);
				apply(new LoadEvent.StagedPiecesChecked(MODEL, 2, allPieces()));
				awaitLoadCommand();
				switchTimes.add(LoadReducerTests.this.now);
			}
			assertThat(switchTimes).isSorted().doesNotHaveDuplicates();
			assertThat(switchTimes.get(3) - switchTimes.get(2)).isBetween(700L, 900L);
		}

		@Test
		void isSwitchedImmediatelyToAVersionThatWasDeclaredBeforeTheStart() {
			report(false, Map.of(MODEL, 1L));
			apply(new LoadEvent.Declared(Map.of(MODEL, 2L)));
			apply(new LoadEvent.DigestsArrived(digests(2)));
			apply(new LoadEvent.StagedPiecesChecked(MODEL, 2, allPieces()));
			assertThat(takeEffects(LoadEffect.SendLoadCommand.class)).hasSize(1);
		}

		@Test
		void isCheckedAgainIfItsTurnIsLongAfterTheCheck() {
			LoadReducerTests.this.state = LoadState.initial(LoadSettings.of(60_000, 3));
			report(false, Map.of(MODEL, 1L));
			advanceToCheck(2);
			apply(new LoadEvent.StagedPiecesChecked(MODEL, 2, allPieces()));
			advance(59_000);
			assertThat(takeEffects(LoadEffect.SendLoadCommand.class)).isEmpty();
			assertThat(takeEffects(LoadEffect.CheckStaged.class)).hasSize(1);
		}

		private void declareAfterFetching(int pieces, long millis, long newerVersion) {
			report(false, Map.of(MODEL, 1L));
			apply(new LoadEvent.Declared(Map.of(MODEL, 1L)));
			apply(new LoadEvent.Declared(Map.of(MODEL, 2L)));
			apply(new LoadEvent.DigestsArrived(digests(2)));
			apply(new LoadEvent.StagedPiecesChecked(MODEL, 2, Set.of()));
			for (int i = 0; i < pieces; i++) {
				apply(new LoadEvent.PieceFetchEnded(MODEL, 2, i, true, 50));
			}
			advance(millis);
			LoadReducerTests.this.effects.clear();
			apply(new LoadEvent.Declared(Map.of(MODEL, newerVersion)));
		}

		@Test
		void startsANewerVersionWhileLittleOfTheOlderHasArrived() {
			declareAfterFetching(3, 2000, 3);
			assertThat(takeEffects(LoadEffect.RequestDigests.class))
				.containsExactly(new LoadEffect.RequestDigests(MODEL, 3));
			assertThat(LoadReducerTests.this.state.loads().get(MODEL).declaredAtMillis()).isEqualTo(1000);
		}

		@Test
		void skipsALargelyFetchedVersionIfTheNewerCanArriveInItsTime() {
			declareAfterFetching(12, 2000, 3);
			assertThat(takeEffects(LoadEffect.RequestDigests.class))
				.containsExactly(new LoadEffect.RequestDigests(MODEL, 3));
		}

		// Guards against loaders that keep requesting an older version after gateways
		// have given it up, and against turns after the version in service has ended.
		@Test
		void startsTheNewerVersionWhenAPieceOfTheOlderIsRejected() {
			declareAfterFetching(12, 3600, 3);
			assertThat(takeEffects(LoadEffect.RequestDigests.class)).isEmpty();
			apply(new LoadEvent.PieceFetchEnded(MODEL, 2, 12, false, 50));
			assertThat(takeEffects(LoadEffect.RequestDigests.class))
				.containsExactly(new LoadEffect.RequestDigests(MODEL, 3));
			assertThat(LoadReducerTests.this.state.loads().get(MODEL).declaredAtMillis()).isEqualTo(1000);
		}

		// Guards against loaders that wait for an older version during an outage.
		@Test
		void startsTheNewerVersionWhenTheOlderCanNoLongerArriveInTime() {
			declareAfterFetching(12, 3600, 3);
			advance(1100);
			assertThat(takeEffects(LoadEffect.RequestDigests.class)).isEmpty();
			advance(200);
			assertThat(takeEffects(LoadEffect.RequestDigests.class))
				.containsExactly(new LoadEffect.RequestDigests(MODEL, 3));
		}

		// Guards against a runner that waits for its turn after the version that it
		// serves may no longer be used.
		@Test
		void isSwitchedToAnOlderVersionBeforeTheTimeOfItsOwnIsOver() {
			apply(new LoadEvent.TurnAssigned(MODEL, 99, 100));
			declareAfterFetching(19, 5000, 3);
			apply(new LoadEvent.PieceFetchEnded(MODEL, 2, 19, true, 50));
			apply(new LoadEvent.StagedPiecesChecked(MODEL, 2, allPieces()));
			awaitLoadCommand();
			assertThat(LoadReducerTests.this.now).isLessThanOrEqualTo(1000 + 8000 - 1200 + 50);
		}

		@Test
		void finishesALargelyFetchedVersionIfTheNewerCannotArriveInItsTime() {
			declareAfterFetching(12, 3600, 3);
			assertThat(takeEffects(LoadEffect.RequestDigests.class)).isEmpty();
			for (int i = 12; i < PIECES; i++) {
				apply(new LoadEvent.PieceFetchEnded(MODEL, 2, i, true, 50));
			}
			apply(new LoadEvent.StagedPiecesChecked(MODEL, 2, allPieces()));
			awaitLoadCommand();
			assertThat(LoadReducerTests.this.now).isLessThan(1000 + 8000 - 1200);
			report(true, Map.of(MODEL, 1L));
			assertThat(takeEffects(LoadEffect.RequestDigests.class))
				.containsExactly(new LoadEffect.RequestDigests(MODEL, 3));
		}

	}

	@Nested
	class TheTimeUntilTheRunnerIsReady {

		private OptionalLong readyInMillis() {
			return ReadyEstimate.readyInMillis(LoadReducerTests.this.state, LoadReducerTests.this.now);
		}

		// Guards against callers that are told to wait for a time that the pieces cannot
		// keep.
		@Test
		void followsFromTheRateOfThePiecesAndTheTimeOfTheLoad() {
			report(false, Map.of());
			apply(new LoadEvent.Declared(Map.of(MODEL, 1L)));
			apply(new LoadEvent.DigestsArrived(digests(1)));
			apply(new LoadEvent.StagedPiecesChecked(MODEL, 1, Set.of()));
			assertThat(readyInMillis()).isEmpty();
			for (int index = 0; index < 10; index++) {
				LoadReducerTests.this.now += 40;
				apply(new LoadEvent.PieceFetchEnded(MODEL, 1, index, true, 80));
			}
			assertThat(readyInMillis()).hasValue(10 * 40 + 400);
			fetchAll(1);
			apply(new LoadEvent.StagedPiecesChecked(MODEL, 1, allPieces()));
			assertThat(readyInMillis()).hasValue(400);
			advance(250);
			report(false, Map.of(MODEL, 1L));
			assertThat(readyInMillis()).isEmpty();
		}

		// Guards against an estimate that goes on while the origin is unavailable.
		@Test
		void isUnknownWhileNoPiecesArrive() {
			report(false, Map.of());
			apply(new LoadEvent.Declared(Map.of(MODEL, 1L)));
			apply(new LoadEvent.DigestsArrived(digests(1)));
			apply(new LoadEvent.StagedPiecesChecked(MODEL, 1, Set.of()));
			apply(new LoadEvent.PieceFetchEnded(MODEL, 1, 0, true, 80));
			advance(40);
			apply(new LoadEvent.PieceFetchEnded(MODEL, 1, 1, true, 80));
			assertThat(readyInMillis()).isPresent();
			advance(1000);
			assertThat(readyInMillis()).isEmpty();
		}

	}

	@Nested
	class ALoadCommand {

		private void sendLoadCommand() {
			report(false, Map.of());
			advanceToCheck(1);
			apply(new LoadEvent.StagedPiecesChecked(MODEL, 1, allPieces()));
			assertThat(takeEffects(LoadEffect.SendLoadCommand.class)).hasSize(1);
		}

		@Test
		void isNotRepeatedWhileTheRunnerLoads() {
			sendLoadCommand();
			apply(new LoadEvent.LoadCommandResponded(MODEL, 1, true));
			report(true, Map.of());
			advance(5000);
			assertThat(takeEffects(LoadEffect.SendLoadCommand.class)).isEmpty();
			report(false, Map.of(MODEL, 1L));
			assertThat(LoadReducerTests.this.state.loads().get(MODEL).step()).isEqualTo(LoadStep.SETTLED);
		}

		@Test
		void thatIsRejectedIsPreparedAgain() {
			sendLoadCommand();
			apply(new LoadEvent.LoadCommandResponded(MODEL, 1, false));
			advance(200);
			assertThat(takeEffects(LoadEffect.CheckStaged.class)).hasSize(1);
		}

		@Test
		void isPreparedAgainForARunnerThatRestarted() {
			sendLoadCommand();
			apply(new LoadEvent.LoadCommandResponded(MODEL, 1, true));
			report(false, Map.of(MODEL, 1L));
			report(false, Map.of());
			assertThat(takeEffects(LoadEffect.CheckStaged.class)).hasSize(1);
		}

	}

}
