package org.catkingate.decisions.prompts;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.ServiceName;
import org.catkingate.model.prompts.RunnerStart;

/**
 * The end of a runner as one gateway observed it. Immutable.
 *
 * @param runner the start of the runner
 * @param service the service of the runner
 * @param serviceRunners the number of runners of the service
 * @param requests the gateway's requests that the runner had not completed
 * @param atMillis when it ended, in monotonic milliseconds
 * @since 0.1
 */
public record RunnerEnd(RunnerStart runner, ServiceName service, int serviceRunners, List<AffectedRequest> requests,
		long atMillis) {

	public RunnerEnd {
		Objects.requireNonNull(runner, "runner must not be null");
		Objects.requireNonNull(service, "service must not be null");
		requests = List.copyOf(requests);
	}

	/**
	 * A request that the runner had not completed.
	 *
	 * @param id its identifier, for the log
	 * @param parts the parts of its prompt that other requests may share
	 * @param progress how far the runner had come with it
	 */
	public record AffectedRequest(String id, List<String> parts, RequestProgress progress) {

		public AffectedRequest {
			Objects.requireNonNull(id, "id must not be null");
			Objects.requireNonNull(progress, "progress must not be null");
			parts = List.copyOf(parts);
		}

	}

}
