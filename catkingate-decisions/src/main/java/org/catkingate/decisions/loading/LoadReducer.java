package org.catkingate.decisions.loading;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Event;
import org.catkingate.decisions.Reducer;
import org.catkingate.decisions.ReductionResult;
import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.model.ModelName;

/**
 * The reducer that decides how the declared version of a model is loaded into the runner.
 * The load command is sent only if every piece has recently been read back from the
 * runner and matched its digest. A runner that serves an older version is switched at a
 * time of its own within the time allowed for the change, so that not all runners are
 * unavailable at the same time; a runner without weights is switched immediately.
 * Stateless and safe for use by any thread.
 *
 * @since 0.1
 */
public final class LoadReducer implements Reducer<LoadState> {

	/**
	 * The delay after digests or pieces could not be obtained or a load command was
	 * rejected, in milliseconds.
	 */
	private static final long RETRY_MILLIS = 150;

	/**
	 * The fraction of the time for a change in which pieces are fetched. Over the slowest
	 * known link, a copy takes two fifths of the time for a change. Turns are spread over
	 * the rest.
	 */
	private static final double FETCHING_FRACTION = 0.45;

	/** The maximum age of a check when the load command is sent, in milliseconds. */
	private static final long MAX_CHECK_AGE_MILLIS = 1000;

	/**
	 * The time after which the staged pieces are checked again if the runner does not
	 * report the load as in progress, in milliseconds.
	 */
	private static final long COMMAND_TIMEOUT_MILLIS = 800;

	/**
	 * The time after which an unfinished check or request for digests is repeated, in
	 * milliseconds.
	 */
	private static final long STEP_TIMEOUT_MILLIS = 5000;

	/**
	 * The maximum factor by which the delay grows after failures in a row. Requests stay
	 * open while gateways wait for the origin, so that failures are rare and short.
	 */
	private static final int MAX_RETRY_FACTOR = 2;

	/**
	 * The maximum number of requested pieces that gateways wait for themselves. They use
	 * no bandwidth until they arrive, so others are fetched meanwhile; the limit bounds
	 * what may arrive at the same time ahead of requests to the runner.
	 */
	private static final int MAX_PENDING_PIECES = 4;

	/**
	 * The fetch duration above which the link of a piece is considered saturated, in
	 * milliseconds.
	 */
	private static final long SLOW_PIECE_MILLIS = 350;

	/**
	 * The time after the declaration of a newer version over which the turns for the
	 * previous one are spread, in milliseconds.
	 */
	private static final long SHORTENED_TURNS_MILLIS = 2500;

	/**
	 * The assumed ratio of the fetch duration of the next pieces to that of the previous
	 * ones.
	 */
	private static final double SAFETY_FACTOR = 1.1;

	/**
	 * The number of failures in a row after which the digests are considered wrong and
	 * are requested again.
	 */
	private static final int MAX_FAILURES = 20;

	private LoadReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer, never null
	 */
	public static LoadReducer create() {
		return new LoadReducer();
	}

	@Override
	public ReductionResult<LoadState> reduce(LoadState state, long nowMillis, Event event) {
		List<Effect> effects = new ArrayList<>();
		LoadState next = startPending(apply(state, nowMillis, event), nowMillis);
		for (ModelName model : next.loads().keySet()) {
			ModelLoad before = next.loads().get(model);
			next = next.withLoad(advance(next, before, nowMillis, effects));
		}
		for (ModelLoad load : next.loads().values()) {
			ModelLoad before = state.loads().get(load.model());
			if (before == null || before.step() != load.step()) {
				effects.add(new LoadEffect.ReportStep(load.model(), load.version(), load.step(),
						nowMillis - load.declaredAtMillis(), load.missingCount()));
			}
		}
		return new ReductionResult<>(next, effects);
	}

	private static LoadState apply(LoadState state, long nowMillis, Event event) {
		if (event instanceof LoadEvent.Declared declared) {
			return applyDeclared(state, nowMillis, declared);
		}
		if (event instanceof LoadEvent.TurnAssigned turn) {
			return state.withTurn(turn.model(), (double) turn.position() / turn.count());
		}
		if (event instanceof LoadEvent.Reported reported) {
			return state.withLastReport(Optional.of(reported));
		}
		if (event instanceof LoadEvent.RunnerUnavailable) {
			return state.withLastReport(Optional.empty());
		}
		if (event instanceof LoadEvent.DigestsArrived arrived) {
			ModelLoad load = findLoad(state, arrived.digests().model(), arrived.digests().version());
			return (load == null || load.step() != LoadStep.ASKING) ? state : state
				.withLoad(load.withDigests(arrived.digests()).atStep(LoadStep.CHECKING, nowMillis, nowMillis));
		}
		if (event instanceof LoadEvent.DigestsFailed failed) {
			ModelLoad load = findLoad(state, failed.model(), failed.version());
			return (load == null || load.step() != LoadStep.ASKING) ? state
					: state.withLoad(load.atStep(LoadStep.ASKING, nowMillis, nowMillis + RETRY_MILLIS));
		}
		if (event instanceof LoadEvent.StagedPiecesChecked checked) {
			return applyChecked(state, nowMillis, checked);
		}
		if (event instanceof LoadEvent.PieceFetchEnded ended) {
			ModelLoad load = findLoad(state, ended.model(), ended.version());
			return (load == null || load.step() != LoadStep.FETCHING) ? state
					: state.withLoad(load.withFetched(ended.index(), ended.staged(), nextWindow(state, load, ended),
							nowMillis, nowMillis + RETRY_MILLIS * Math.min(MAX_RETRY_FACTOR, load.failures() + 1)));
		}
		if (event instanceof LoadEvent.PiecesPending pieces) {
			Set<String> digests = Set.copyOf(pieces.digests());
			LoadState next = state;
			for (ModelLoad load : state.loads().values()) {
				next = (load.step() == LoadStep.FETCHING) ? next.withLoad(load.withPending(digests)) : next;
			}
			return next;
		}
		if (event instanceof LoadEvent.LoadCommandResponded response && !response.accepted()) {
			ModelLoad load = findLoad(state, response.model(), response.version());
			return (load == null || load.step() != LoadStep.ORDERED) ? state
					: state.withLoad(load.atStep(LoadStep.CHECKING, nowMillis, nowMillis + RETRY_MILLIS));
		}
		return state;
	}

	/*
	 * Fetches fewer pieces at the same time while they arrive slowly, so that a slow link
	 * keeps bandwidth for the requests to the runner.
	 */
	private static int nextWindow(LoadState state, ModelLoad load, LoadEvent.PieceFetchEnded ended) {
		if (!ended.staged() || load.pending().contains(ended.index())) {
			return load.window();
		}
		return (ended.durationMillis() > SLOW_PIECE_MILLIS) ? Math.max(1, load.window() - 1)
				: Math.min(state.settings().maxConcurrentPieces(), load.window() + 1);
	}

	private static LoadState applyDeclared(LoadState state, long nowMillis, LoadEvent.Declared event) {
		LoadState next = state;
		for (Map.Entry<ModelName, Long> declared : event.versions().entrySet()) {
			next = applyDeclared(next, nowMillis, declared.getKey(), declared.getValue());
		}
		return next;
	}

	/*
	 * Each change makes a runner unavailable for a while. An older version is therefore
	 * skipped if the newer one can be loaded within the time allowed for the older one,
	 * and that time then applies to the newer one. If a version is already declared at
	 * the start, the time of its declaration is unknown, and it is loaded without delay.
	 */
	private static LoadState applyDeclared(LoadState state, long nowMillis, ModelName model, long version) {
		ModelLoad existing = state.loads().get(model);
		if (existing == null) {
			return state.withLoad(ModelLoad.declared(model, version, nowMillis - state.settings().changeMillis()));
		}
		if (existing.version() >= version) {
			return state;
		}
		if (existing.step() == LoadStep.SETTLED) {
			return state.withLoad(ModelLoad.declared(model, version, nowMillis).withLoadTimeOf(existing.pace()));
		}
		if (shouldFinishOlder(state.settings(), existing, nowMillis)) {
			ModelLoad pending = state.pending().get(model);
			return (pending != null && pending.version() >= version) ? state : state.withPending(model,
					ModelLoad.declared(model, version, nowMillis).withLoadTimeOf(existing.pace()));
		}
		return state.withLoad(ModelLoad.declared(model, version, nowMillis).replacing(existing))
			.withPending(model, null);
	}

	/*
	 * The older version is finished if its load command has been sent, or if the newer
	 * version cannot be fetched in the remaining time while the older one can.
	 */
	private static boolean shouldFinishOlder(LoadSettings settings, ModelLoad load, long nowMillis) {
		if (load.step() == LoadStep.ORDERED) {
			return true;
		}
		int fetched = (load.step() == LoadStep.ASKING) ? 0 : load.pieceCount() - load.missingCount();
		if (fetched <= 0) {
			return false;
		}
		double pieceMillis = SAFETY_FACTOR * (nowMillis - load.declaredAtMillis()) / fetched;
		long remainingMillis = load.declaredAtMillis() + settings.changeMillis() - settings.finishMillis() - nowMillis;
		boolean newerArrivesInTime = pieceMillis * load.pieceCount() <= remainingMillis;
		return !newerArrivesInTime && pieceMillis * load.missingCount() <= remainingMillis;
	}

	/*
	 * Pieces of the older version that stopped to arrive make its mean time for a piece
	 * grow, until the version is given up.
	 */
	private static boolean canFinish(LoadSettings settings, ModelLoad load, long nowMillis) {
		int fetched = load.pieceCount() - load.missingCount();
		double pieceMillis = (double) (nowMillis - load.declaredAtMillis()) / Math.max(1, fetched);
		long remainingMillis = load.declaredAtMillis() + settings.changeMillis() - nowMillis;
		return pieceMillis * load.missingCount() <= remainingMillis;
	}

	/*
	 * A newer version starts once the older one is loaded, has taken over the staged
	 * pieces, or cannot be fetched in time. Gateways reject the pieces of an older
	 * version that they no longer read from the origin.
	 */
	private static LoadState startPending(LoadState state, long nowMillis) {
		LoadState next = state;
		for (ModelLoad newer : state.pending().values()) {
			ModelLoad load = state.loads().get(newer.model());
			boolean givenUp = load.step() == LoadStep.FETCHING
					&& (load.failures() > 0 || !canFinish(state.settings(), load, nowMillis));
			// the runner took over the staged pieces when it accepted the command
			boolean stagedPiecesTaken = load.step() == LoadStep.ORDERED
					&& state.lastReport().map(LoadEvent.Reported::loading).orElse(false);
			if (givenUp || load.step() == LoadStep.ASKING) {
				next = next.withLoad(newer.replacing(load)).withPending(newer.model(), null);
			}
			else if (load.step() == LoadStep.SETTLED || stagedPiecesTaken) {
				next = next.withLoad(newer.withLoadTimeOf(load.pace())).withPending(newer.model(), null);
			}
		}
		return next;
	}

	private static ModelLoad findLoad(LoadState state, ModelName model, long version) {
		ModelLoad load = state.loads().get(model);
		return (load != null && load.version() == version) ? load : null;
	}

	private static LoadState applyChecked(LoadState state, long nowMillis, LoadEvent.StagedPiecesChecked event) {
		ModelLoad load = findLoad(state, event.model(), event.version());
		if (load == null || load.step() != LoadStep.CHECKING) {
			return state;
		}
		ModelLoad checked = load.withValid(event.valid());
		if (checked.missingCount() > 0) {
			return state.withLoad(checked.atStep(LoadStep.FETCHING, nowMillis, nowMillis));
		}
		return state.withLoad(checked.atStep(LoadStep.WAITING, nowMillis, turnAtMillis(state, checked, nowMillis)));
	}

	/*
	 * A runner that does not serve the model is switched immediately; the turns of the
	 * others are spread over the remaining time.
	 */
	private static long turnAtMillis(LoadState state, ModelLoad load, long nowMillis) {
		boolean serves = state.lastReport().map((report) -> report.models().containsKey(load.model())).orElse(false);
		if (!serves) {
			return nowMillis;
		}
		LoadSettings settings = state.settings();
		long latest = load.declaredAtMillis() + settings.changeMillis() - settings.finishMillis();
		Double assigned = state.turns().get(load.model());
		double fraction = (assigned != null) ? assigned
				: RendezvousHashing.uniform(RendezvousHashing.mix(settings.seed() + load.version()));
		ModelLoad newer = state.pending().get(load.model());
		if (newer != null) {
			long turn = newer.declaredAtMillis() + (long) (fraction * SHORTENED_TURNS_MILLIS);
			// no runner waits longer than the versions before may serve
			return Math.max(nowMillis, Math.min(latest, turn));
		}
		long earliest = load.declaredAtMillis() + (long) (FETCHING_FRACTION * settings.changeMillis());
		return Math.max(nowMillis, earliest + (long) (fraction * Math.max(0, latest - earliest)));
	}

	private static ModelLoad advance(LoadState state, ModelLoad load, long nowMillis, List<Effect> effects) {
		if (state.lastReport().isEmpty()) {
			return load;
		}
		LoadEvent.Reported report = state.lastReport().get();
		Long served = report.models().get(load.model());
		if (served != null && served >= load.version()) {
			return (load.step() == LoadStep.SETTLED) ? load : load.atStep(LoadStep.SETTLED, nowMillis, nowMillis);
		}
		return switch (load.step()) {
			case SETTLED -> (load.digests() == null) ? requestDigests(load, nowMillis, effects)
					: checkStaged(load, nowMillis, effects);
			case ASKING -> {
				boolean late = nowMillis >= load.stepStartedAtMillis() + STEP_TIMEOUT_MILLIS;
				boolean due = load.dueAtMillis() > load.stepStartedAtMillis() && nowMillis >= load.dueAtMillis();
				yield (due || late) ? requestDigests(load, nowMillis, effects) : load;
			}
			case CHECKING -> {
				boolean late = nowMillis >= load.stepStartedAtMillis() + STEP_TIMEOUT_MILLIS;
				yield (nowMillis >= load.dueAtMillis() || late) ? checkStaged(load, nowMillis, effects) : load;
			}
			case FETCHING -> fetchPieces(load, nowMillis, effects);
			case WAITING -> loadWhenDue(load, report, nowMillis, effects);
			case ORDERED -> (!report.loading() && nowMillis >= load.stepStartedAtMillis() + COMMAND_TIMEOUT_MILLIS)
					? checkStaged(load, nowMillis, effects) : load;
		};
	}

	private static ModelLoad requestDigests(ModelLoad load, long nowMillis, List<Effect> effects) {
		effects.add(new LoadEffect.RequestDigests(load.model(), load.version()));
		return load.atStep(LoadStep.ASKING, nowMillis, nowMillis);
	}

	private static ModelLoad checkStaged(ModelLoad load, long nowMillis, List<Effect> effects) {
		effects.add(new LoadEffect.CheckStaged(load.digests()));
		return load.atStep(LoadStep.CHECKING, nowMillis, Long.MAX_VALUE);
	}

	private static ModelLoad fetchPieces(ModelLoad load, long nowMillis, List<Effect> effects) {
		if (load.missingCount() == 0) {
			return checkStaged(load, nowMillis, effects);
		}
		if (load.failures() >= MAX_FAILURES) {
			return requestDigests(load, nowMillis, effects);
		}
		ModelLoad next = load;
		// all loaders request pieces in the same sequence, so that a piece that one of
		// them waits for is already on its way to all
		int pending = Math.min(MAX_PENDING_PIECES, load.pending().size());
		for (int index = 0; index < load.pieceCount() && next.fetching().size() < load.window() + pending; index++) {
			boolean wanted = !next.valid().contains(index) && !next.fetching().contains(index);
			if (wanted && nowMillis >= load.dueAtMillis()) {
				effects.add(new LoadEffect.FetchPiece(load.digests(), index));
				next = next.withFetching(index);
			}
		}
		return next;
	}

	private static ModelLoad loadWhenDue(ModelLoad load, LoadEvent.Reported report, long nowMillis,
			List<Effect> effects) {
		if (nowMillis < load.dueAtMillis() || report.loading()) {
			return load;
		}
		if (nowMillis > load.stepStartedAtMillis() + MAX_CHECK_AGE_MILLIS) {
			return checkStaged(load, nowMillis, effects);
		}
		effects.add(new LoadEffect.SendLoadCommand(load.model(), load.version()));
		return load.atStep(LoadStep.ORDERED, nowMillis, nowMillis);
	}

}
