package org.catkingate.gateway;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.catkingate.decisions.admission.RunnerIntake;
import org.catkingate.decisions.admission.RunnerOption;
import org.catkingate.decisions.coldstart.ColdRunner;
import org.catkingate.decisions.memory.MemoryNeed;
import org.catkingate.decisions.routing.Distance;
import org.catkingate.decisions.sending.SendTarget;
import org.catkingate.model.ModelName;
import org.catkingate.model.RegionName;
import org.catkingate.model.ServiceName;
import org.catkingate.model.prompts.RunnerStart;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.runtime.calls.RunnerLoad;
import org.catkingate.runtime.calls.RunnerResponseHead;
import org.catkingate.runtime.http.ConnectionPool;
import org.catkingate.wire.RunnerMessage;

/**
 * The state of one runner as seen by this process: its registration, the requests sent to
 * it, the load that the runner and its loader report, failures, and whether it takes new
 * requests. Used by the traffic thread only.
 */
final class RunnerState implements SendTarget {

	/**
	 * The time for which the versions that a loader reports are valid, several of its
	 * report intervals.
	 */
	private static final long LOADER_REPORT_VALID_MILLIS = 2000;

	/**
	 * The time for which no request is sent to a runner that has rejected one because it
	 * had no free slot.
	 */
	private static final long FULL_BACKOFF_MILLIS = 100;

	/**
	 * The time for which a runner that rejected a request as not meant for it counts as
	 * serving nothing, unless its registration changes or its loader reports. After a
	 * loss of power, registrations of the time before may be listed for seconds.
	 */
	private static final long MISDIRECTED_MILLIS = 1500;

	/**
	 * The time for which a runner is suspect after consecutive failures, that is, used
	 * only if no other runner is available.
	 */
	private static final long SUSPECT_MILLIS = 1000;

	/**
	 * The number of consecutive failures that make a runner suspect. A single failure may
	 * be caused by the request itself.
	 */
	private static final int MIN_SUSPECT_FAILURES = 2;

	private final ConnectionPool connections;

	private final Optional<RegionName> region;

	private final Distance distance;

	private final RunnerIntakeLog intakeLog;

	private final PauseLog pauseLog;

	private final RunnerPermits permits;

	private final ColdRunner cold;

	private RunnerIntake intake;

	private RegisteredRunner runner;

	private Map<ModelName, Long> reportedVersions = Map.of();

	private long loaderReportAtMillis = Long.MIN_VALUE / 2;

	private long reportedReadyInMillis = RunnerMessage.RunnerUpdate.UNKNOWN_READY_TIME;

	private final RunnerWork work = new RunnerWork();

	private long fullUntilMillis = Long.MIN_VALUE;

	private long suspectUntilMillis = Long.MIN_VALUE;

	private long misdirectedUntilMillis = Long.MIN_VALUE;

	private int failures;

	private boolean evacuated;

	/**
	 * Creates the state of a runner without any requests.
	 * @param runner the registration
	 * @param region the region of its data centre, empty if it is unknown
	 * @param distance the distance from this process
	 * @param connections the connections to the runner
	 * @param intakeLog logs the statements of the runner
	 * @param permits the limits of runners and the permits to send them requests
	 * @param cold what may be sent to the runner while it is cold
	 */
	RunnerState(RegisteredRunner runner, Optional<RegionName> region, Distance distance, ConnectionPool connections,
			RunnerIntakeLog intakeLog, RunnerPermits permits, ColdRunner cold) {
		this.cold = cold;
		this.pauseLog = new PauseLog(intakeLog);
		this.permits = permits;
		this.intakeLog = intakeLog;
		this.intake = RunnerIntake.open();
		this.runner = runner;
		this.region = region;
		this.distance = distance;
		this.connections = connections;
	}

	RegisteredRunner runner() {
		return this.runner;
	}

	void updateRegistration(RegisteredRunner next) {
		if (!next.equalsExceptColdTime(this.runner)) {
			this.misdirectedUntilMillis = Long.MIN_VALUE;
		}
		this.runner = next;
	}

	RunnerWork work() {
		return this.work;
	}

	ConnectionPool connections() {
		return this.connections;
	}

	/**
	 * Returns what the runner has stated about taking new requests.
	 * @return the intake, never null
	 */
	RunnerIntake intake() {
		return this.intake;
	}

	void restoreIntake(RunnerIntake known) {
		this.intake = known;
	}

	/**
	 * Returns whether the runner leaves, by its registration or its own statement. A
	 * registration does not revoke the statement, since it may be older.
	 * @return whether it gets no new requests for as long as it runs
	 */
	@Override
	public boolean isLeaving() {
		return this.runner.draining() || this.intake.leaving();
	}

	@Override
	public boolean isPaused(long nowMillis) {
		return this.intake.pauseLeftMillis(nowMillis) > 0;
	}

	@Override
	public ServiceName service() {
		return this.runner.service();
	}

	@Override
	public Optional<RegionName> region() {
		return this.region;
	}

	@Override
	public boolean isEvacuated() {
		return this.evacuated;
	}

	void setEvacuated(boolean evacuated) {
		this.evacuated = evacuated;
	}

	@Override
	public boolean serves(Collection<ModelName> models, long nowMillis) {
		return !isMisdirected(nowMillis) && servedVersions(nowMillis).keySet().containsAll(models);
	}

	@Override
	public boolean hasMemory(MemoryNeed need, long nowMillis) {
		return this.work.memory().hasRoom(need, nowMillis);
	}

	@Override
	public boolean hasPermit(long nowMillis) {
		return this.permits.canSend(start(), nowMillis);
	}

	@Override
	public boolean hasColdRoom(long nowMillis) {
		return this.cold.hasRoom(nowMillis);
	}

	ColdRunner cold() {
		return this.cold;
	}

	/**
	 * Returns whether a call could be sent now under the runner's limit, and requests a
	 * permit if there is none.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return whether the runner has stated no limit or there is a permit
	 */
	boolean requestPermit(long nowMillis) {
		return this.permits.request(start(), nowMillis);
	}

	boolean isLimited() {
		return this.permits.isLimited(start());
	}

	/**
	 * Returns the limit that the runner has stated.
	 * @return the requests a second that it takes from all gateways together
	 */
	double limitPerSecond() {
		return this.permits.limitPerSecond(start());
	}

	/**
	 * Takes a permit to send a request.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return gives the permit back if it is not used; empty if there is no permit
	 */
	Optional<Runnable> takePermit(long nowMillis) {
		return this.permits.take(start(), nowMillis);
	}

	private RunnerStart start() {
		return new RunnerStart(this.runner.id(), this.runner.startedAtEpochMillis());
	}

	/**
	 * Records what the head of a response states about the runner.
	 * @param status the status of the response
	 * @param response the head of the response
	 * @param sentAtMillis when the request was sent, in monotonic milliseconds
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void recordResponseHead(int status, RunnerResponseHead response, long sentAtMillis, long nowMillis) {
		response.load().ifPresent((load) -> this.work.recordResponseLoad(load, nowMillis));
		recordLeaving(status, response);
		recordPause(status, response, nowMillis);
		if (!response.misdirected()) {
			this.permits.record(this.runner, response, sentAtMillis, nowMillis);
		}
	}

	/**
	 * Records whether the head of a response states that the runner leaves, which is not
	 * revoked as long as it runs.
	 * @param status the status of the response
	 * @param response the head of the response, possibly to an earlier request
	 */
	void recordLeaving(int status, RunnerResponseHead response) {
		// a misdirected request may have reached another runner at the same address
		if (response.leaving() && !response.misdirected() && !this.intake.leaving()) {
			this.intake = this.intake.withLeaving();
			this.connections.close();
			this.intakeLog.recordLeaving(this.runner, status, response);
		}
	}

	private void recordPause(int status, RunnerResponseHead response, long nowMillis) {
		boolean begins = response.pause().millis() > 0 && this.intake.pauseLeftMillis(nowMillis) == 0;
		this.intake = this.intake.withPause(response.pause().millis(), nowMillis);
		this.pauseLog.record(this.runner, status, response, begins ? this.intake.pauseLeftMillis(nowMillis) : 0,
				nowMillis);
	}

	boolean isFull(long nowMillis) {
		return nowMillis < this.fullUntilMillis;
	}

	/**
	 * Records a report of the loader on the runner's machine.
	 * @param report the report
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void recordReport(RunnerMessage.RunnerUpdate report, long nowMillis) {
		this.reportedVersions = report.loading() ? Map.of() : report.versions();
		this.loaderReportAtMillis = nowMillis;
		this.reportedReadyInMillis = report.readyInMillis();
		this.misdirectedUntilMillis = Long.MIN_VALUE;
		this.work.recordLoad(new RunnerLoad(report.running(), report.waiting(), OptionalDouble.empty()), nowMillis);
	}

	/**
	 * Returns the versions that the runner serves now, as its loader reported them if the
	 * report is recent, or else as registered.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the version of each model
	 */
	Map<ModelName, Long> servedVersions(long nowMillis) {
		return (nowMillis - this.loaderReportAtMillis >= LOADER_REPORT_VALID_MILLIS) ? this.runner.models()
				: this.reportedVersions;
	}

	/**
	 * Returns when the runner will serve the newest declared versions, as its loader
	 * estimates if its report is recent.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the time left, in milliseconds, 0 if it has passed; empty if it is unknown
	 * or no newer version is pending
	 */
	OptionalLong readyInMillis(long nowMillis) {
		long reportAgeMillis = nowMillis - this.loaderReportAtMillis;
		return (this.reportedReadyInMillis < 0 || reportAgeMillis >= LOADER_REPORT_VALID_MILLIS) ? OptionalLong.empty()
				: OptionalLong.of(Math.max(0, this.reportedReadyInMillis - reportAgeMillis));
	}

	void recordRejection(long nowMillis) {
		this.fullUntilMillis = nowMillis + FULL_BACKOFF_MILLIS;
	}

	/**
	 * Records that the runner rejected a request as not meant for it: it is another one
	 * than registered, or does not serve the registered versions.
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void recordMisdirected(long nowMillis) {
		this.misdirectedUntilMillis = nowMillis + MISDIRECTED_MILLIS;
	}

	boolean isMisdirected(long nowMillis) {
		return nowMillis < this.misdirectedUntilMillis;
	}

	void recordFailure(long nowMillis) {
		this.failures++;
		if (this.failures >= MIN_SUSPECT_FAILURES) {
			this.suspectUntilMillis = nowMillis + SUSPECT_MILLIS;
		}
	}

	void recordResponseStart() {
		this.failures = 0;
	}

	RunnerOption createOption(RunnerWork.Circumstances circumstances, long nowMillis) {
		return this.work.createOption(this.runner, this.distance, circumstances, nowMillis < this.suspectUntilMillis,
				nowMillis);
	}

	void close() {
		this.connections.close();
	}

}
