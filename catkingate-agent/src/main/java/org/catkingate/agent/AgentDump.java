package org.catkingate.agent;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.catkingate.agent.idempotency.KeyCounts;
import org.catkingate.agent.requests.AgentRequests;
import org.catkingate.agent.runners.RunnerGate;
import org.catkingate.agent.weights.WeightsDistribution;
import org.catkingate.agent.weights.WeightsProgress;
import org.catkingate.runtime.fleet.Fleet;
import org.catkingate.runtime.fleet.FleetDump;
import org.catkingate.runtime.operators.Readiness;

/**
 * The state of an agent for operators. Immutable.
 *
 * @param phase the phase in the life of the process
 * @param fleet what it knows of the fleet
 * @param runners its runners
 * @param weights how far versions have come
 * @param requestsInProgress requests in progress
 * @param keys what has become of calls with an Idempotency-Key
 */
record AgentDump(Readiness.Phase phase, FleetDump fleet, Map<String, Runner> runners, WeightsProgress weights,
		int requestsInProgress, Keys keys) {

	static AgentDump of(Readiness.Phase phase, Fleet fleet, List<RunnerGate> gates, AgentRequests requests,
			WeightsDistribution weights, KeyCounts keys) {
		Map<String, Runner> runners = new TreeMap<>();
		gates.forEach((gate) -> runners.put(gate.runner().value(), Runner.of(gate)));
		return new AgentDump(phase, fleet.dump().orElse(null), runners, weights.progress(), requests.inProgress(),
				Keys.of(keys));
	}

	/**
	 * One runner.
	 *
	 * @param service the service that it belongs to
	 * @param admitting whether it takes requests
	 * @param version the version that it serves, or null
	 * @param requestsInside requests that have entered and not left
	 */
	record Runner(String service, boolean admitting, String version, int requestsInside) {

		private static Runner of(RunnerGate gate) {
			String version = gate.serving().map(RunnerGate.Serving::version).map(Object::toString).orElse(null);
			return new Runner(gate.service().value(), gate.serving().isPresent(), version, gate.inProgress());
		}

	}

	/**
	 * Calls with an Idempotency-Key.
	 *
	 * @param started calls that were run
	 * @param refused calls refused as not run
	 * @param replayed repeats that got the kept answer
	 * @param unknown calls whose outcome nobody can tell
	 */
	record Keys(long started, long refused, long replayed, long unknown) {

		private static Keys of(KeyCounts counts) {
			return new Keys(counts.started().sum(), counts.rejected().sum(), counts.replayed().sum(),
					counts.unknown().sum());
		}

	}

}
