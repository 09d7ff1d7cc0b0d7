package org.catkingate.decisions.admission;

import java.util.List;
import java.util.Optional;

import org.catkingate.model.registry.EngineProfile;

/**
 * A policy that admits a call to one of the available runners or rejects it. Pure, and
 * safe for use by any thread.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface AdmissionPolicy {

	/**
	 * Decides on one call that may be sent to each of the given runners.
	 * @param options the runners that could serve the call
	 * @param call the call
	 * @param engine the parameters of the service's engines, empty for a service without
	 * engines
	 * @param draw a random number from 0 to 1, used to spread calls over equal runners
	 * @return the decision, never null
	 */
	AdmissionDecision decide(List<RunnerOption> options, CallDescription call, Optional<EngineProfile> engine,
			double draw);

}
