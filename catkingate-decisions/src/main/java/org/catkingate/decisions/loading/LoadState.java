package org.catkingate.decisions.loading;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.catkingate.model.ModelName;

/**
 * The state of loading weights to one runner. Immutable: each step creates a new state.
 *
 * @param settings the timeouts and limits
 * @param lastReport the last report of the runner, empty while it sends none
 * @param loads the load of each model
 * @param turns the turn of each model, as a fraction of the time for a change; a model
 * without an entry gets a pseudo-random turn
 * @param pending a newer version of each model that waits until the previous one is
 * loaded
 * @since 0.1
 */
public record LoadState(LoadSettings settings, Optional<LoadEvent.Reported> lastReport, Map<ModelName, ModelLoad> loads,
		Map<ModelName, Double> turns, Map<ModelName, ModelLoad> pending) {

	public LoadState {
		loads = Map.copyOf(loads);
		turns = Map.copyOf(turns);
		pending = Map.copyOf(pending);
	}

	/**
	 * Returns the state of a process that has received neither reports nor versions.
	 * @param settings the timeouts and limits
	 * @return the state, never null
	 */
	public static LoadState initial(LoadSettings settings) {
		return new LoadState(settings, Optional.empty(), Map.of(), Map.of(), Map.of());
	}

	LoadState withLastReport(Optional<LoadEvent.Reported> report) {
		return new LoadState(this.settings, report, this.loads, this.turns, this.pending);
	}

	LoadState withLoad(ModelLoad load) {
		Map<ModelName, ModelLoad> next = new HashMap<>(this.loads);
		next.put(load.model(), load);
		return new LoadState(this.settings, this.lastReport, next, this.turns, this.pending);
	}

	LoadState withPending(ModelName model, ModelLoad newer) {
		Map<ModelName, ModelLoad> next = new HashMap<>(this.pending);
		if (newer != null) {
			next.put(model, newer);
		}
		else {
			next.remove(model);
		}
		return new LoadState(this.settings, this.lastReport, this.loads, this.turns, next);
	}

	LoadState withTurn(ModelName model, double fraction) {
		Map<ModelName, Double> next = new HashMap<>(this.turns);
		next.put(model, fraction);
		return new LoadState(this.settings, this.lastReport, this.loads, next, this.pending);
	}

}
