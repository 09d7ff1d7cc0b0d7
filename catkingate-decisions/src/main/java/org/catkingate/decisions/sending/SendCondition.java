package org.catkingate.decisions.sending;

import java.util.Optional;

/**
 * A condition that must be met for a call to be sent to a runner, in the order in which
 * they are checked. All of them are checked when a runner is chosen and again immediately
 * before the request is written, for first sends, retries, resumed streams, and calls
 * that have waited.
 *
 * @since 0.1
 */
public enum SendCondition {

	/** The call and the parts of its prompt are not in quarantine. */
	NOT_QUARANTINED("it or a part of its prompt is in quarantine", (call, runner, now) -> !call.quarantined()),

	/** The runner belongs to the service of the call. */
	SAME_SERVICE("the runner belongs to another service",
			(call, runner, now) -> runner.service().equals(call.service())),

	/** The runner does not leave. */
	NOT_LEAVING("the runner leaves", (call, runner, now) -> !runner.isLeaving()),

	/** The runner is in a region that the route and the client account allow. */
	ALLOWED_REGION("the runner is in a region in which the call may not be served",
			(call, runner, now) -> call.residency().allows(runner.region())),

	/** The data centre of the runner is not evacuated. */
	NOT_EVACUATED("the data centre of the runner is evacuated", (call, runner, now) -> !runner.isEvacuated()),

	/** The runner serves the models of the service. */
	SERVES_MODELS("the runner does not serve the models of the service",
			(call, runner, now) -> runner.serves(call.models(), now)),

	/** The runner has not asked for a pause. */
	NOT_PAUSED("the runner has asked for a pause", (call, runner, now) -> !runner.isPaused(now)),

	/** The runner is warm, or cold runners may get another request of this gateway. */
	WITHIN_COLD_ALLOWANCE("the requests that cold runners may get are used up",
			(call, runner, now) -> runner.hasColdRoom(now)),

	/** The memory of the runner has room for the call. */
	WITHIN_MEMORY("the memory of the runner has no room for it",
			(call, runner, now) -> runner.hasMemory(call.memory(), now)),

	/**
	 * The limit that the runner has stated leaves room. The last one, since it may be
	 * unmet for a call that gets a permit before it is written.
	 */
	WITHIN_LIMIT("the limit that the runner has stated is used up", (call, runner, now) -> runner.hasPermit(now));

	private static final SendCondition[] IN_ORDER = values();

	private final String unmetReason;

	private final Check check;

	SendCondition(String unmetReason, Check check) {
		this.unmetReason = unmetReason;
		this.check = check;
	}

	/**
	 * Returns the first condition that a call does not meet.
	 * @param call the call
	 * @param runner the runner
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the condition, or empty if the call may be sent
	 */
	public static Optional<SendCondition> firstUnmet(CallScope call, SendTarget runner, long nowMillis) {
		for (SendCondition condition : IN_ORDER) {
			if (!condition.check.isMet(call, runner, nowMillis)) {
				return Optional.of(condition);
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns why a call is not sent if this condition is not met.
	 * @return the reason, for logs and rejections
	 */
	public String unmetReason() {
		return this.unmetReason;
	}

	/**
	 * A check of one condition.
	 */
	@FunctionalInterface
	private interface Check {

		boolean isMet(CallScope call, SendTarget runner, long nowMillis);

	}

}
