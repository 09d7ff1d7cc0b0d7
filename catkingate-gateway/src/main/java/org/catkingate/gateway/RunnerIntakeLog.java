package org.catkingate.gateway;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.admission.RunnerIntake;
import org.catkingate.decisions.permits.LimitChange;
import org.catkingate.decisions.permits.LimitStatement;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.runtime.calls.RunnerResponseHead;

/**
 * Logs and counts what runners state about taking new requests, one line for each change.
 * Safe for use by any thread.
 */
final class RunnerIntakeLog {

	private static final Logger logger = LoggerFactory.getLogger(RunnerIntakeLog.class);

	/** The length up to which a value that cannot be read is logged. */
	private static final int MAX_VALUE_LENGTH = 80;

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

	/**
	 * Records that a runner that took requests has asked for a pause.
	 * @param runner the runner
	 * @param status the status of the response with the request for a pause
	 * @param response the head of that response
	 * @param pauseMillis the pause that it is granted, in milliseconds
	 * @param logged whether to log it, besides counting it
	 */
	void recordPause(RegisteredRunner runner, int status, RunnerResponseHead response, long pauseMillis,
			boolean logged) {
		this.metrics.countRunnerPause();
		if (logged) {
			logger.atInfo()
				.addKeyValue("event", "runner-paused")
				.addKeyValue("runner", runner.id())
				.addKeyValue("started", runner.startedAtEpochMillis())
				.addKeyValue("service", runner.service())
				.addKeyValue("address", runner.addressText())
				.addKeyValue("requested-ms", response.pause().millis())
				.addKeyValue("granted-ms", pauseMillis)
				.addKeyValue("id", response.requestId())
				.addKeyValue("status", status)
				.log("a runner asks for a pause; it gets no requests until it is over");
		}
	}

	/**
	 * Records that the limit of a runner has changed.
	 * @param change the change
	 * @param part the requests a second that this gateway issues permits for
	 * @param ageMillis the time since the statement was received, in milliseconds
	 */
	void recordLimit(LimitChange change, double part, long ageMillis) {
		logger.atInfo()
			.addKeyValue("event", "runner-limit")
			.addKeyValue("runner", change.runner().runner())
			.addKeyValue("started", change.runner().startedAtEpochMillis())
			.addKeyValue("limit-per-s", perSecond(change.statement().requestsPerSecond()))
			.addKeyValue("before-per-s", perSecond(change.previousPerSecond()))
			.addKeyValue("issued-here-per-s", perSecond(part))
			.addKeyValue("source", change.source())
			.addKeyValue("age-ms", ageMillis)
			.log("a runner has changed the number of requests that it takes from all gateways");
	}

	private static String perSecond(double limit) {
		return (limit < LimitStatement.NO_LIMIT) ? String.valueOf(limit) : "none";
	}

	/**
	 * Records that a runner has stated a limit that cannot be read.
	 * @param runner the runner
	 * @param response the head of the response
	 */
	void recordUnreadableLimit(RegisteredRunner runner, RunnerResponseHead response) {
		String value = response.limit().unreadable().orElse("");
		logger.atWarn()
			.addKeyValue("event", "runner-limit-unusable")
			.addKeyValue("runner", runner.id())
			.addKeyValue("started", runner.startedAtEpochMillis())
			.addKeyValue("service", runner.service())
			.addKeyValue("value", value.substring(0, Math.min(MAX_VALUE_LENGTH, value.length())))
			.addKeyValue("id", response.requestId())
			.log("a runner states a limit that is no number; the value is ignored");
	}

	/**
	 * Records that a runner has asked for a pause that cannot be granted as requested.
	 * @param runner the runner
	 * @param status the status of the response
	 * @param response the head of that response
	 */
	void recordUnusablePause(RegisteredRunner runner, int status, RunnerResponseHead response) {
		String value = response.pause().unreadable().orElseGet(() -> response.pause().millis() + " ms");
		logger.atWarn()
			.addKeyValue("event", "runner-pause-unusable")
			.addKeyValue("runner", runner.id())
			.addKeyValue("started", runner.startedAtEpochMillis())
			.addKeyValue("service", runner.service())
			.addKeyValue("address", runner.addressText())
			.addKeyValue("value", value.substring(0, Math.min(MAX_VALUE_LENGTH, value.length())))
			.addKeyValue("used-ms", Math.min(response.pause().millis(), RunnerIntake.MAX_PAUSE_MILLIS))
			.addKeyValue("id", response.requestId())
			.addKeyValue("status", status)
			.log("a runner asks for a pause that is unreadable or too long; the stated time is used");
	}

}
