package org.catkingate.decisions.admission;

import java.util.List;
import java.util.Optional;

import org.catkingate.model.registry.Engine;

/**
 * A way to choose among runners. Pure, and safe for use by any thread.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface RunnerChoice {

	/**
	 * Decides about one call.
	 * @param options the runners that could get it
	 * @param demand what it asks for
	 * @param engine the engines of the service, empty for a plain service
	 * @param draw a number from 0 to 1 that spreads equal choices
	 * @return the choice, never null
	 */
	Choice choose(List<RunnerOption> options, Demand demand, Optional<Engine> engine, double draw);

}
