package org.catkingate.gateway;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.runtime.calls.RunnerResponseHead;

/**
 * Logs and counts what runners state about taking new requests, one line for each change.
 * Safe for use by any thread.
 */
final class RunnerIntakeLog {

	private static final Logger logger = LoggerFactory.getLogger(RunnerIntakeLog.class);

	private final GatewayMetrics metrics;

	RunnerIntakeLog(GatewayMetrics metrics) {
		this.metrics = metrics;
	}

	/**
	 * Records that a runner has stated for the first time that it leaves.
	 * @param runner the runner
	 * @param status the status of the response with the statement
	 * @param response the head of that response
	 */
	void recordLeaving(RegisteredRunner runner, int status, RunnerResponseHead response) {
		this.metrics.countRunnerLeaving();
		logger.atInfo()
			.addKeyValue("event", "runner-leaving")
			.addKeyValue("runner", runner.id())
			.addKeyValue("started", runner.startedAtEpochMillis())
			.addKeyValue("service", runner.service())
			.addKeyValue("address", runner.addressText())
			.addKeyValue("registered-as-draining", runner.draining())
			.addKeyValue("id", response.requestId())
			.addKeyValue("status", status)
			.log("a runner states that it leaves; it gets no new requests");
	}

}
