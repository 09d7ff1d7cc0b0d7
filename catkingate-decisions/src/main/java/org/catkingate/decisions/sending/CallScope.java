package org.catkingate.decisions.sending;

import java.util.List;
import java.util.Objects;

import org.catkingate.decisions.memory.MemoryNeed;
import org.catkingate.model.ModelName;
import org.catkingate.model.ServiceName;

/**
 * What restricts where a call may be sent. Immutable.
 *
 * @param service the service that the call is for
 * @param models the models that a runner must serve; empty for a plain service
 * @param residency the regions in which the call may be served
 * @param quarantined whether the call, or a part of its prompt, has crashed runners and
 * must not be sent
 * @param memory the memory that the call needs at a runner
 * @since 0.1
 */
public record CallScope(ServiceName service, List<ModelName> models, Residency residency, boolean quarantined,
		MemoryNeed memory) {

	public CallScope {
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(residency, "residency must not be null");
		Objects.requireNonNull(memory, "memory must not be null");
		models = List.copyOf(models);
	}

	/**
	 * Creates the scope of a call to a service that publishes no memory.
	 * @param service the service that the call is for
	 * @param models the models that a runner must serve; empty for a plain service
	 * @param residency the regions in which the call may be served
	 * @param quarantined whether the call must not be sent
	 */
	public CallScope(ServiceName service, List<ModelName> models, Residency residency, boolean quarantined) {
		this(service, models, residency, quarantined, MemoryNeed.none());
	}

}
