package org.catkingate.agent;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.catkingate.agent.idempotency.KeyCounts;
import org.catkingate.agent.requests.AgentRequestHandler;
import org.catkingate.agent.runners.RunnerGate;
import org.catkingate.agent.weights.WeightsDistribution;
import org.catkingate.agent.weights.WeightsProgress;
import org.catkingate.runtime.fleet.Fleet;
import org.catkingate.runtime.fleet.FleetDump;
import org.catkingate.runtime.operators.Readiness;

/**
 * State of an agent as shown to operators. Immutable.
 *
 * @param phase the lifecycle phase of the process
 * @param fleet the agent's view of the fleet
 * @param runners the agent's runners by their identifiers
 * @param weights the progress of the versions
 * @param requestsInProgress the number of requests in progress
 * @param keys the outcomes of calls with an Idempotency-Key
 */
record AgentDump(Readiness.Phase phase, FleetDump fleet, Map<String, Runner> runners, WeightsProgress weights,
		int requestsInProgress, Keys keys) {

	static AgentDump of(Readiness.Phase phase, Fleet fleet, List<RunnerGate> gates, AgentRequestHandler requestHandler,
			WeightsDistribution weights, KeyCounts keys) {
		Map<String, Runner> runners = new TreeMap<>();
		gates.forEach((gate) -> runners.put(gate.runner().value(), Runner.of(gate)));
		return new AgentDump(phase, fleet.dump().orElse(null), runners, weights.progress(), requestHandler.inProgress(),
				Keys.of(keys));
	}

	/**
	 * State of one runner.
	 *
	 * @param service the service that it belongs to
	 * @param admitting whether it accepts requests
	 * @param version the version that it serves, or null
	 * @param requestsInside the number of requests inside its gate
	 */
	record Runner(String service, boolean admitting, String version, int requestsInside) {

		private static Runner of(RunnerGate gate) {
			String version = gate.servedVersion()
				.map(RunnerGate.ServedVersion::version)
				.map(Object::toString)
				.orElse(null);
			return new Runner(gate.service().value(), gate.servedVersion().isPresent(), version, gate.inProgress());
		}

	}

	/**
	 * Number of calls with an Idempotency-Key, by outcome.
	 *
	 * @param started calls that were started
	 * @param refused calls rejected as not run
	 * @param replayed repeats that received the stored response
	 * @param unknown calls whose outcome is unknown
	 */
	record Keys(long started, long refused, long replayed, long unknown) {

		private static Keys of(KeyCounts counts) {
			return new Keys(counts.started().sum(), counts.rejected().sum(), counts.replayed().sum(),
					counts.unknown().sum());
		}

	}

}
