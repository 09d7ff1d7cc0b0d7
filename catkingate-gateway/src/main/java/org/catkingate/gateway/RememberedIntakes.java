package org.catkingate.gateway;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;

import org.catkingate.decisions.admission.RunnerIntake;
import org.catkingate.model.RunnerId;
import org.catkingate.model.registry.RegisteredRunner;

/**
 * What runners that are not listed any more have stated about taking new requests. A
 * registration can disappear and return while its runner runs, and what the runner has
 * stated still holds then. Bounded. Used by the traffic thread only.
 */
final class RememberedIntakes {

	/** The number of starts of runners that are remembered, the newest ones. */
	private static final int MAX_STARTS = 1000;

	private final Map<Start, RunnerIntake> intakes = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Start, RunnerIntake> eldest) {
			return size() > MAX_STARTS;
		}

	};

	/**
	 * Remembers what a runner has stated, if anything.
	 * @param state the state of the runner, which is not listed any more
	 */
	void add(RunnerState state) {
		if (!state.intake().equals(RunnerIntake.open())) {
			this.intakes.put(Start.of(state.runner()), state.intake());
		}
	}

	/**
	 * Restores what the same start of the runner has stated before, if anything.
	 * @param state the new state of a runner that is listed again
	 */
	void restoreTo(RunnerState state) {
		RunnerIntake known = this.intakes.remove(Start.of(state.runner()));
		if (known != null) {
			state.restoreIntake(known);
		}
	}

	/**
	 * One start of a runner.
	 *
	 * @param runner the runner
	 * @param startedAtEpochMillis when it started, by its own clock
	 * @param address its address
	 */
	private record Start(RunnerId runner, long startedAtEpochMillis, InetSocketAddress address) {

		private static Start of(RegisteredRunner runner) {
			return new Start(runner.id(), runner.startedAtEpochMillis(), runner.address());
		}

	}

}
