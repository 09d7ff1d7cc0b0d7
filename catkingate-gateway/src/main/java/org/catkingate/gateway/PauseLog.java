package org.catkingate.gateway;

import org.catkingate.decisions.admission.RunnerIntake;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.runtime.calls.RequestedPause;
import org.catkingate.runtime.calls.RunnerResponseHead;

/**
 * Limits the lines in the log about pauses that one runner asks for. Used by the traffic
 * thread only.
 */
final class PauseLog {

	/**
	 * The minimum interval between two lines in the log about pauses that the runner asks
	 * for. A pause may be shorter.
	 */
	private static final long PAUSE_LOG_INTERVAL_MILLIS = 1000;

	/**
	 * The minimum interval between two lines in the log about requested pauses that
	 * cannot be granted as requested.
	 */
	private static final long UNUSABLE_PAUSE_LOG_INTERVAL_MILLIS = 60_000;

	private final RunnerIntakeLog log;

	private long pauseLoggableAtMillis = Long.MIN_VALUE;

	private long unusablePauseLoggableAtMillis = Long.MIN_VALUE;

	PauseLog(RunnerIntakeLog log) {
		this.log = log;
	}

	/**
	 * Records what a response states about pauses.
	 * @param runner the runner
	 * @param status the status of the response
	 * @param response the head of the response
	 * @param grantedMillis the pause that begins, in milliseconds; 0 if none does
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void record(RegisteredRunner runner, int status, RunnerResponseHead response, long grantedMillis, long nowMillis) {
		RequestedPause pause = response.pause();
		if (grantedMillis > 0) {
			boolean logged = nowMillis >= this.pauseLoggableAtMillis;
			this.log.recordPause(runner, status, response, grantedMillis, logged);
			this.pauseLoggableAtMillis = logged ? nowMillis + PAUSE_LOG_INTERVAL_MILLIS : this.pauseLoggableAtMillis;
		}
		boolean unusable = pause.unreadable().isPresent() || pause.millis() > RunnerIntake.MAX_PAUSE_MILLIS;
		if (unusable && nowMillis >= this.unusablePauseLoggableAtMillis) {
			this.log.recordUnusablePause(runner, status, response);
			this.unusablePauseLoggableAtMillis = nowMillis + UNUSABLE_PAUSE_LOG_INTERVAL_MILLIS;
		}
	}

}
