package org.catkingate.decisions.runners;

import org.catkingate.model.Digest;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;

/**
 * What is known of one runner. Immutable and safe for use by any thread.
 *
 * @param runner the runner
 * @param service its service
 * @param phase what is being done
 * @param serving what the gate is open with; null while it is closed
 * @param report the engine's last valid report; null if there is none
 * @param stateRequested whether a report has been asked for
 * @param validFromMillis reports asked for before are too old
 * @param inProgress the requests in progress
 * @param notBeforeMillis when the next order may be given
 * @param failures how many orders have failed in a row
 * @param blockedAtMillis when it last had to wait for other runners to switch
 */
record RunnerState(RunnerId runner, ServiceName service, Phase phase, Serving serving, Report report,
		boolean stateRequested, long validFromMillis, int inProgress, long notBeforeMillis, int failures,
		long blockedAtMillis) {

	static RunnerState initial(RunnerId runner, ServiceName service) {
		return new RunnerState(runner, service, Phase.SETTLED, null, null, false, 0, 0, 0, 0, Long.MIN_VALUE / 2);
	}

	boolean isOpen() {
		return this.serving != null;
	}

	boolean holds(Digest digest) {
		return this.report != null && digest.equals(this.report.digest());
	}

	RunnerState withPhase(Phase changed) {
		return new RunnerState(this.runner, this.service, changed, this.serving, this.report, this.stateRequested,
				this.validFromMillis, this.inProgress, this.notBeforeMillis, this.failures, this.blockedAtMillis);
	}

	RunnerState withServing(Serving changed) {
		return new RunnerState(this.runner, this.service, this.phase, changed, this.report, this.stateRequested,
				this.validFromMillis, this.inProgress, this.notBeforeMillis, this.failures, this.blockedAtMillis);
	}

	RunnerState withReport(Report changed) {
		return new RunnerState(this.runner, this.service, this.phase, this.serving, changed, false,
				this.validFromMillis, this.inProgress, this.notBeforeMillis, this.failures, this.blockedAtMillis);
	}

	RunnerState withStateRequested(boolean changed) {
		return new RunnerState(this.runner, this.service, this.phase, this.serving, this.report, changed,
				this.validFromMillis, this.inProgress, this.notBeforeMillis, this.failures, this.blockedAtMillis);
	}

	/**
	 * Forgets the report: only one asked for from now on counts.
	 * @param now the monotonic time, in milliseconds
	 * @return the changed state, never null
	 */
	RunnerState withoutReport(long now) {
		return new RunnerState(this.runner, this.service, this.phase, this.serving, null, false, now, this.inProgress,
				this.notBeforeMillis, this.failures, this.blockedAtMillis);
	}

	RunnerState withInProgress(int changed) {
		return new RunnerState(this.runner, this.service, this.phase, this.serving, this.report, this.stateRequested,
				this.validFromMillis, changed, this.notBeforeMillis, this.failures, this.blockedAtMillis);
	}

	RunnerState withNotBefore(long millis, int changedFailures) {
		return new RunnerState(this.runner, this.service, this.phase, this.serving, this.report, this.stateRequested,
				this.validFromMillis, this.inProgress, Math.max(this.notBeforeMillis, millis), changedFailures,
				this.blockedAtMillis);
	}

	RunnerState withBlockedAt(long millis) {
		return new RunnerState(this.runner, this.service, this.phase, this.serving, this.report, this.stateRequested,
				this.validFromMillis, this.inProgress, this.notBeforeMillis, this.failures, millis);
	}

	/**
	 * What is being done to a runner.
	 */
	enum Phase {

		/** Nothing. */
		SETTLED,

		/** It takes no more requests, and those in progress come to their end. */
		DRAINING,

		/** It has been ordered to load. */
		LOADING

	}

	/**
	 * What a gate is open with. Immutable.
	 *
	 * @param version the version; null for a plain service
	 * @param digest the digest of the weights; null for a plain service
	 */
	record Serving(VersionId version, Digest digest) {

	}

	/**
	 * An engine's report. Immutable.
	 *
	 * @param requestedAtMillis when it was asked for
	 * @param digest what the engine holds; null for nothing
	 * @param fence the highest fencing number that it has accepted
	 */
	record Report(long requestedAtMillis, Digest digest, long fence) {

	}

}
