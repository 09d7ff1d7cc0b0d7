package org.catkingate.runtime.staging;

import java.util.Map;

import org.catkingate.model.ModelName;

/**
 * The state that a runner reports. Immutable and safe for use by any thread.
 *
 * @param startedAtEpochMillis the time of its start, in milliseconds since the epoch; 0
 * if it is not reported
 * @param loading whether it is executing a command to load weights
 * @param running the number of requests that it is running
 * @param waiting the number of requests in its queue
 * @param models the version of each model that it serves completely
 * @since 0.1
 */
public record RunnerReport(long startedAtEpochMillis, boolean loading, int running, int waiting,
		Map<ModelName, Long> models) {

	public RunnerReport {
		models = Map.copyOf(models);
	}

}
