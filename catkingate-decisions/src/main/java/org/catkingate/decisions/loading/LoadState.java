package org.catkingate.decisions.loading;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.catkingate.model.ModelName;

/**
 * The weights of one runner. Immutable: each step makes a new one.
 *
 * @param settings the times and bounds
 * @param runner what the runner told last, empty while it gives no report
 * @param models how far each model has come
 * @param turns when in the time for a change each model's turn comes, as a part of it;
 * without an entry, a turn is drawn
 * @param pending a newer version of each model that waits until the one before has come
 * @since 0.1
 */
public record LoadState(LoadSettings settings, Optional<LoadEvent.Reported> runner, Map<ModelName, ModelLoad> models,
		Map<ModelName, Double> turns, Map<ModelName, ModelLoad> pending) {

	public LoadState {
		models = Map.copyOf(models);
		turns = Map.copyOf(turns);
		pending = Map.copyOf(pending);
	}

	/**
	 * Returns the state of a process that knows neither runner nor versions.
	 * @param settings the times and bounds
	 * @return the state, never null
	 */
	public static LoadState initial(LoadSettings settings) {
		return new LoadState(settings, Optional.empty(), Map.of(), Map.of(), Map.of());
	}

	LoadState with(Optional<LoadEvent.Reported> told) {
		return new LoadState(this.settings, told, this.models, this.turns, this.pending);
	}

	LoadState with(ModelLoad load) {
		Map<ModelName, ModelLoad> next = new HashMap<>(this.models);
		next.put(load.model(), load);
		return new LoadState(this.settings, this.runner, next, this.turns, this.pending);
	}

	LoadState withPending(ModelName model, ModelLoad newer) {
		Map<ModelName, ModelLoad> next = new HashMap<>(this.pending);
		if (newer != null) {
			next.put(model, newer);
		}
		else {
			next.remove(model);
		}
		return new LoadState(this.settings, this.runner, this.models, this.turns, next);
	}

	LoadState withTurn(ModelName model, double part) {
		Map<ModelName, Double> next = new HashMap<>(this.turns);
		next.put(model, part);
		return new LoadState(this.settings, this.runner, this.models, next, this.pending);
	}

}
