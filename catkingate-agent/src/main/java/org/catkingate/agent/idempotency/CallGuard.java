package org.catkingate.agent.idempotency;

/**
 * Admission control for non-idempotent calls, with or without a key. A call is checked
 * when it arrives and before it waits for a runner, since the time in which it may be
 * repeated with its key starts then. Idempotent calls are not checked. Safe for use by
 * any thread; never blocks.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface CallGuard {

	/**
	 * Decides whether a call may run. After {@link IdempotencyDecision.Run} the caller
	 * must end the permit: {@link RunPermit#abandon()} if nothing was sent to the runner,
	 * else {@link RunPermit#complete()} or {@link RunPermit#fail()}.
	 * @param call the call
	 * @return the decision, never null
	 */
	IdempotencyDecision admit(NonIdempotentCall call);

}
