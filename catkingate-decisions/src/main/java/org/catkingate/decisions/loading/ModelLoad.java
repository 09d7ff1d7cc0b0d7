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
 * @param failures the number of failed fetches in a row
 * @param window the number of pieces that may be fetched at the same time
 * @param stepStartedAtMillis when the step began, in monotonic milliseconds
 * @param dueAtMillis when the next action of the step is due, in monotonic milliseconds
 * @since 0.1
 */
public record ModelLoad(ModelName model, long version, long declaredAtMillis, LoadStep step, PieceDigests digests,
		Set<Integer> valid, Set<Integer> fetching, int failures, int window, long stepStartedAtMillis,
		long dueAtMillis) {

	private static final int INITIAL_WINDOW = 2;

	public ModelLoad {
		valid = Set.copyOf(valid);
		fetching = Set.copyOf(fetching);
	}

	static ModelLoad declared(ModelName model, long version, long nowMillis) {
		return new ModelLoad(model, version, nowMillis, LoadStep.SETTLED, null, Set.of(), Set.of(), 0, INITIAL_WINDOW,
				nowMillis, nowMillis);
	}

	ModelLoad atStep(LoadStep next, long nowMillis, long dueAtMillis) {
		return new ModelLoad(this.model, this.version, this.declaredAtMillis, next, this.digests, this.valid,
				this.fetching, 0, this.window, nowMillis, dueAtMillis);
	}

	ModelLoad withDigests(PieceDigests changed) {
		return new ModelLoad(this.model, this.version, this.declaredAtMillis, this.step, changed, Set.of(), Set.of(), 0,
				this.window, this.stepStartedAtMillis, this.dueAtMillis);
	}

	ModelLoad withValid(Set<Integer> changed) {
		return new ModelLoad(this.model, this.version, this.declaredAtMillis, this.step, this.digests, changed,
				this.fetching, this.failures, this.window, this.stepStartedAtMillis, this.dueAtMillis);
	}

	ModelLoad withFetching(int index) {
		Set<Integer> next = new HashSet<>(this.fetching);
		next.add(index);
		return new ModelLoad(this.model, this.version, this.declaredAtMillis, this.step, this.digests, this.valid, next,
				this.failures, this.window, this.stepStartedAtMillis, this.dueAtMillis);
	}

	ModelLoad withFetched(int index, boolean staged, int nextWindow, long retryAtMillis) {
		Set<Integer> nextFetching = new HashSet<>(this.fetching);
		nextFetching.remove(index);
		Set<Integer> nextValid = new HashSet<>(this.valid);
		if (staged) {
			nextValid.add(index);
		}
		return new ModelLoad(this.model, this.version, this.declaredAtMillis, this.step, this.digests, nextValid,
				nextFetching, staged ? 0 : this.failures + 1, nextWindow, this.stepStartedAtMillis,
				staged ? this.dueAtMillis : retryAtMillis);
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
