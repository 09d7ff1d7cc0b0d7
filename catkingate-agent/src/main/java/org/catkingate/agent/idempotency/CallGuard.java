package org.catkingate.agent.idempotency;

/**
 * Decides on each non-idempotent call, with or without a key, when it arrives: before it
 * waits for a runner, since the time that a key may be repeated runs from then.
 * Idempotent calls do not come here. Safe for use by any thread; never blocks.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface CallGuard {

	/**
	 * Decides on a call. After {@link Admission.Run} the caller must end the permit:
	 * {@link RunPermit#notStarted()} if nothing was sent to the runner, else
	 * {@link RunPermit#ended()} or {@link RunPermit#failed()}.
	 * @param call the call
	 * @return what is to be done with it, never null
	 */
	Admission admit(GuardedCall call);

}
