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
 * @since 0.1
 */
public record LoadState(LoadSettings settings, Optional<LoadEvent.Reported> runner, Map<ModelName, ModelLoad> models) {

	public LoadState {
		models = Map.copyOf(models);
	}

	/**
	 * Returns the state of a process that knows neither runner nor versions.
	 * @param settings the times and bounds
	 * @return the state, never null
	 */
	public static LoadState initial(LoadSettings settings) {
		return new LoadState(settings, Optional.empty(), Map.of());
	}

	LoadState with(Optional<LoadEvent.Reported> told) {
		return new LoadState(this.settings, told, this.models);
	}

	LoadState with(ModelLoad load) {
		Map<ModelName, ModelLoad> next = new HashMap<>(this.models);
		next.put(load.model(), load);
		return new LoadState(this.settings, this.runner, next);
	}

}
