package org.catkingate.runtime.staging;

import java.util.Map;

import org.catkingate.model.ModelName;

/**
 * What a runner does, by its own word. Immutable and safe for use by any thread.
 *
 * @param startedAtEpochMillis when it started, in milliseconds since the epoch; 0 if it
 * does not say
 * @param loading whether it carries out an order
 * @param running how many requests it works on
 * @param waiting how many wait at it
 * @param models the version of each model that it serves whole
 * @since 0.1
 */
public record RunnerReport(long startedAtEpochMillis, boolean loading, int running, int waiting,
		Map<ModelName, Long> models) {

	public RunnerReport {
		models = Map.copyOf(models);
	}

}
