package org.catkingate.decisions.loading;

import java.util.HashSet;
import java.util.Set;

import org.catkingate.model.ModelName;
import org.catkingate.model.registry.PieceDigests;

/**
 * The progress of loading one version of a model to a runner. Immutable: each step
 * creates a new load.
 *
 * @param model the model
 * @param version the version
 * @param declaredAtMillis when the version, or the older version that it replaced, was
 * declared, in monotonic milliseconds
 * @param step the current step
 * @param digests the digests of the pieces, null while they are unknown
 * @param valid the indexes of the pieces that are staged and match their digests
 * @param fetching the indexes of the pieces that are being fetched
 * @param pending the indexes of those that a gateway waits for itself
 * @param failures the number of failed fetches in a row
 * @param window the number of pieces that may be fetched at the same time
 * @param stepStartedAtMillis when the step began, in monotonic milliseconds
 * @param dueAtMillis when the next action of the step is due, in monotonic milliseconds
 * @param pace the pace at which pieces arrive and the runner loads
 * @since 0.1
 */
public record ModelLoad(ModelName model, long version, long declaredAtMillis, LoadStep step, PieceDigests digests,
		Set<Integer> valid, Set<Integer> fetching, Set<Integer> pending, int failures, int window,
		long stepStartedAtMillis, long dueAtMillis, Pace pace) {

	private static final int INITIAL_WINDOW = 2;

	public ModelLoad {
		valid = Set.copyOf(valid);
		fetching = Set.copyOf(fetching);
		pending = Set.copyOf(pending);
	}

	static ModelLoad declared(ModelName model, long version, long nowMillis) {
		return new ModelLoad(model, version, nowMillis, LoadStep.SETTLED, null, Set.of(), Set.of(), Set.of(), 0,
				INITIAL_WINDOW, nowMillis, nowMillis, Pace.unknown());
	}

	ModelLoad atStep(LoadStep next, long nowMillis, long dueAtMillis) {
		Pace measured = (this.step == LoadStep.ORDERED && next == LoadStep.SETTLED)
				? this.pace.afterLoad(nowMillis - this.stepStartedAtMillis) : this.pace;
		return new ModelLoad(this.model, this.version, this.declaredAtMillis, next, this.digests, this.valid,
				this.fetching, this.pending, 0, this.window, nowMillis, dueAtMillis, measured);
	}

	ModelLoad withDigests(PieceDigests changed) {
		return new ModelLoad(this.model, this.version, this.declaredAtMillis, this.step, changed, Set.of(), Set.of(),
				Set.of(), 0, this.window, this.stepStartedAtMillis, this.dueAtMillis, this.pace);
	}

	ModelLoad withValid(Set<Integer> changed) {
		return new ModelLoad(this.model, this.version, this.declaredAtMillis, this.step, this.digests, changed,
				this.fetching, this.pending, this.failures, this.window, this.stepStartedAtMillis, this.dueAtMillis,
				this.pace);
	}

	ModelLoad withFetching(int index) {
		return withFetching(with(this.fetching, index), this.pending);
	}

	/**
	 * Records which of the pieces being fetched a gateway waits for itself.
	 * @param pendingDigests the digests of such pieces, in hexadecimal digits
	 * @return the next load
	 */
	ModelLoad withPending(Set<String> pendingDigests) {
		Set<Integer> next = new HashSet<>(this.pending);
		this.fetching.stream()
			.filter((index) -> pendingDigests.contains(this.digests.digests().get(index).hex()))
			.forEach(next::add);
		return withFetching(this.fetching, next);
	}

	private ModelLoad withFetching(Set<Integer> nextFetching, Set<Integer> nextPending) {
		return new ModelLoad(this.model, this.version, this.declaredAtMillis, this.step, this.digests, this.valid,
				nextFetching, nextPending, this.failures, this.window, this.stepStartedAtMillis, this.dueAtMillis,
				this.pace);
	}

	private static Set<Integer> with(Set<Integer> indexes, int added) {
		Set<Integer> next = new HashSet<>(indexes);
		next.add(added);
		return next;
	}

	private static Set<Integer> without(Set<Integer> indexes, int removed) {
		Set<Integer> next = new HashSet<>(indexes);
		next.remove(removed);
		return next;
	}

	ModelLoad withFetched(int index, boolean staged, int nextWindow, long nowMillis, long retryAtMillis) {
		return new ModelLoad(this.model, this.version, this.declaredAtMillis, this.step, this.digests,
				staged ? with(this.valid, index) : this.valid, without(this.fetching, index),
				without(this.pending, index), staged ? 0 : this.failures + 1, nextWindow, this.stepStartedAtMillis,
				staged ? this.dueAtMillis : retryAtMillis, staged ? this.pace.afterPiece(nowMillis) : this.pace);
	}

	/**
	 * Returns this load in place of one that is given up, whose time applies to it.
	 * @param givenUp the load that is given up
	 * @return the next load
	 */
	ModelLoad replacing(ModelLoad givenUp) {
		return declared(this.model, this.version, givenUp.declaredAtMillis).withLoadTimeOf(givenUp.pace);
	}

	/**
	 * Returns this load with the time that loads took before.
	 * @param before the pace of the load before
	 * @return the next load
	 */
	ModelLoad withLoadTimeOf(Pace before) {
		return new ModelLoad(this.model, this.version, this.declaredAtMillis, this.step, this.digests, this.valid,
				this.fetching, this.pending, this.failures, this.window, this.stepStartedAtMillis, this.dueAtMillis,
				before.withoutPieces());
	}

	int pieceCount() {
		return this.digests.digests().size();
	}

	/**
	 * Returns the number of pieces that are not staged or do not match their digests.
	 * @return the number of missing pieces, -1 while the digests are unknown
	 */
	public int missingCount() {
		return (this.digests != null) ? pieceCount() - this.valid.size() : -1;
	}

}
