package org.catkingate.decisions.runners;

import java.util.Map;
import java.util.Objects;

import org.catkingate.model.InstanceId;
import org.catkingate.model.Labels;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;

/**
 * The settings of the runners of one agent. Immutable and safe for use by any thread.
 *
 * @param instance the instance of the agent
 * @param labels the labels of the instance
 * @param startedAtEpochSeconds when the agent was started, by the wall clock of the
 * instance, in seconds; the replacement of an agent has a higher one
 * @param services the service of each runner
 * @since 0.1
 */
public record RunnersSettings(InstanceId instance, Labels labels, long startedAtEpochSeconds,
		Map<RunnerId, ServiceName> services) {

	public RunnersSettings {
		Objects.requireNonNull(labels, "labels must not be null");
		Objects.requireNonNull(instance, "instance must not be null");
		services = Map.copyOf(services);
	}

}
