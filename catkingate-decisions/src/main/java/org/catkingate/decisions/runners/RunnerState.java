package org.catkingate.decisions.runners;

import org.catkingate.model.Digest;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;

/**
 * The state of one runner. Immutable and safe for use by any thread.
 *
 * @param runner the runner
 * @param service the service of the runner
 * @param phase the phase of the switch to another version
 * @param servedVersion the version for which the gate is open; null while it is closed
 * @param report the last valid report of the engine; null if there is none
 * @param stateRequested whether a report has been requested and is outstanding
 * @param validFromMillis the time before which requested reports are outdated, in
 * monotonic milliseconds
 * @param inProgress the number of requests in progress
 * @param notBeforeMillis when the next command may be sent
 * @param failures the number of failed commands in a row
 * @param blockedAtMillis when the runner last had to wait for other runners to switch
 */
record RunnerState(RunnerId runner, ServiceName service, Phase phase, ServedVersion servedVersion, Report report,
		boolean stateRequested, long validFromMillis, int inProgress, long notBeforeMillis, int failures,
		long blockedAtMillis) {

	static RunnerState initial(RunnerId runner, ServiceName service) {
		return new RunnerState(runner, service, Phase.SETTLED, null, null, false, 0, 0, 0, 0, Long.MIN_VALUE / 2);
	}

	boolean isGateOpen() {
		return this.servedVersion != null;
	}

	boolean holds(Digest digest) {
		return this.report != null && digest.equals(this.report.digest());
	}

	RunnerState withPhase(Phase changed) {
		return new RunnerState(this.runner, this.service, changed, this.servedVersion, this.report, this.stateRequested,
				this.validFromMillis, this.inProgress, this.notBeforeMillis, this.failures, this.blockedAtMillis);
	}

	RunnerState withServedVersion(ServedVersion changed) {
		return new RunnerState(this.runner, this.service, this.phase, changed, this.report, this.stateRequested,
				this.validFromMillis, this.inProgress, this.notBeforeMillis, this.failures, this.blockedAtMillis);
	}

	RunnerState withReport(Report changed) {
		return new RunnerState(this.runner, this.service, this.phase, this.servedVersion, changed, false,
				this.validFromMillis, this.inProgress, this.notBeforeMillis, this.failures, this.blockedAtMillis);
	}

	RunnerState withStateRequested(boolean changed) {
		return new RunnerState(this.runner, this.service, this.phase, this.servedVersion, this.report, changed,
				this.validFromMillis, this.inProgress, this.notBeforeMillis, this.failures, this.blockedAtMillis);
	}

	/**
	 * Returns a copy without a report, for which only a report requested from now on is
	 * valid.
	 * @param now the monotonic time, in milliseconds
	 * @return the changed state, never null
	 */
	RunnerState withoutReport(long now) {
		return new RunnerState(this.runner, this.service, this.phase, this.servedVersion, null, false, now,
				this.inProgress, this.notBeforeMillis, this.failures, this.blockedAtMillis);
	}

	RunnerState withInProgress(int changed) {
		return new RunnerState(this.runner, this.service, this.phase, this.servedVersion, this.report,
				this.stateRequested, this.validFromMillis, changed, this.notBeforeMillis, this.failures,
				this.blockedAtMillis);
	}

	RunnerState withNotBefore(long millis, int changedFailures) {
		return new RunnerState(this.runner, this.service, this.phase, this.servedVersion, this.report,
				this.stateRequested, this.validFromMillis, this.inProgress, Math.max(this.notBeforeMillis, millis),
				changedFailures, this.blockedAtMillis);
	}

	RunnerState withBlockedAt(long millis) {
		return new RunnerState(this.runner, this.service, this.phase, this.servedVersion, this.report,
				this.stateRequested, this.validFromMillis, this.inProgress, this.notBeforeMillis, this.failures,
				millis);
	}

	/**
	 * A phase of the switch of a runner to another version.
	 */
	enum Phase {

		/** No switch is in progress. */
		SETTLED,

		/** The runner accepts no more requests and completes those in progress. */
		DRAINING,

		/** The engine has been commanded to load. */
		LOADING

	}

	/**
	 * The version that is served through an open gate. Immutable.
	 *
	 * @param version the version; null for a plain service
	 * @param digest the digest of the weights; null for a plain service
	 */
	record ServedVersion(VersionId version, Digest digest) {

	}

	/**
	 * A report of an engine. Immutable.
	 *
	 * @param requestedAtMillis when the report was requested
	 * @param digest the digest of the weights that the engine holds; null for none
	 * @param fence the highest fencing number that it has accepted
	 */
	record Report(long requestedAtMillis, Digest digest, long fence) {

	}

}
